// Package duty runs the long-lived goroutines of a process. One that panics is logged and started again, so that an unexpected
// input neither ends the process nor leaves it running without that duty.
package duty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/budget"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
)

// restartBackoff is the delay before a duty starts again. A duty that fails each time must not use up the processor.
var restartBackoff = budget.Backoff{Base: 100 * time.Millisecond, Max: 5 * time.Second}

// settled is how long a duty runs until earlier failures no longer count.
const settled = time.Minute

// failures counts the panics of all duties of the process.
var failures atomic.Int64

// Failures returns the number of panics of the process's duties.
func Failures() int64 { return failures.Load() }

// Run calls body, which runs until the context ends or its work is done, and calls it again if it panics.
func Run(ctx context.Context, logger *zap.Logger, name string, body func(context.Context)) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for failed := 1; ctx.Err() == nil; failed++ {
		started := time.Now()
		err := Try(logger, name, func() { body(ctx) })
		if err == nil {
			return
		}
		if time.Since(started) > settled {
			failed = 1
		}
		_ = ctxtime.Sleep(ctx, restartBackoff.Wait(rng, failed)) // the loop ends with the context
	}
}

// Try calls f. A panic is logged with its stack, counted and returned as an error.
func Try(logger *zap.Logger, name string, f func()) error {
	recovered := panics.Try(f)
	if recovered == nil {
		return nil
	}
	failures.Add(1)
	logger.Error("duty failed", zap.String("duty", name), zap.Error(recovered.AsError()))
	return fmt.Errorf("%s: %w", name, recovered.AsError())
}
