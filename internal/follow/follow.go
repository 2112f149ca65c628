// Package follow keeps a copy of the keys of a store up to date: it lists them, waits for changes, and starts again
// where the history is lost.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/budget"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// changeWait is the time for which the store holds a call for changes. Calls that have fallen silent, on all hosts at once when
	// the store drops its history, are noticed callGrace after it: hosts that pull from a relay learn the rest within 4 s.
	changeWait = 2500 * time.Millisecond
	// callGrace is the time after the wait within which the store's answer arrives.
	callGrace = 700 * time.Millisecond
	// minCallTimeout and maxCallTimeout bound a listing and the first call after a failure. They double with each second failure: a
	// short one notices soon that a silent store has returned, and a long one is answered by a slow store.
	minCallTimeout = 700 * time.Millisecond
	maxCallTimeout = 2500 * time.Millisecond
	// gatherTime is the pause after changes. Changes that come together then cost one call.
	gatherTime = 250 * time.Millisecond
	// maxBackoff bounds the pause after a failed call.
	maxBackoff = time.Second
)

var callBackoff = budget.Backoff{Base: 150 * time.Millisecond, Max: maxBackoff}

// Sink takes what the follower learns. Its methods are called from one goroutine.
type Sink interface {
	// Reset takes all entries.
	Reset(entries []store.Entry)
	// Apply takes changes in the order of their revisions.
	Apply(changes []store.Change)
	// Lost notes that the store did not answer or refused, Regained that it answers again.
	Lost(err error)
	Regained()
}

// Source is where a follower reads. store.Feed describes the methods.
type Source interface {
	List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error)
	Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Change, store.Revision, error)
}

// Follower follows one range of keys.
type Follower struct {
	logger *zap.Logger
	source Source
	prefix string
	sink   Sink
	rng    *rand.Rand

	revision store.Revision
	listed   bool
	failures int
	lostAt   time.Time
}

// New returns a follower of the keys with the prefix.
func New(logger *zap.Logger, source Source, prefix string, sink Sink) *Follower {
	return &Follower{
		logger: logger, source: source, prefix: prefix, sink: sink, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, err := f.step(ctx)
		if err != nil && ctx.Err() == nil {
			pause = f.failed(err)
		}
		_ = ctxtime.Sleep(ctx, pause) // the loop ends with the context
	}
}

// step makes one call and returns the pause before the next.
func (f *Follower) step(ctx context.Context) (time.Duration, error) {
	if !f.listed {
		return 0, f.list(ctx)
	}
	wait, timeout := changeWait, changeWait+callGrace
	if f.failures > 0 {
		wait, timeout = 0, f.callTimeout()
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	changes, revision, err := f.source.Changes(bounded, f.prefix, f.revision, wait)
	if errors.Is(err, store.ErrHistoryLost) {
		f.logger.Warn("store history lost: listing again", zap.Uint64("after", uint64(f.revision)))
		f.listed = false
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	f.succeeded()
	f.revision = max(f.revision, revision)
	if len(changes) == 0 {
		return 0, nil
	}
	f.sink.Apply(changes)
	return gatherTime, nil
}

// callTimeout returns the time for a call that the store answers at once.
func (f *Follower) callTimeout() time.Duration {
	return min(minCallTimeout<<min(f.failures/2, 8), maxCallTimeout)
}

func (f *Follower) list(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, f.callTimeout())
	defer cancel()
	entries, revision, err := f.source.List(bounded, f.prefix)
	if err != nil {
		return err
	}
	f.succeeded()
	f.revision, f.listed = revision, true
	f.sink.Reset(entries)
	return nil
}

// succeeded notes that the store answers.
func (f *Follower) succeeded() {
	if f.failures > 0 {
		f.logger.Info("store regained", zap.Duration("away", time.Since(f.lostAt)), zap.Int("failed_calls", f.failures))
		f.sink.Regained()
	}
	f.failures = 0
}

// failed notes a failed call and returns the pause before the next: a random time that doubles with each failure.
func (f *Follower) failed(err error) time.Duration {
	if f.failures == 0 {
		f.lostAt = time.Now()
		f.logger.Warn("store lost", zap.Error(err), zap.Uint64("revision", uint64(f.revision)))
	}
	f.failures++
	f.sink.Lost(err)
	return callBackoff.Wait(f.rng, f.failures)
}
