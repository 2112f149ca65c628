// Package follow keeps a copy of a store's keys up to date. It lists the keys, waits for changes, and lists again when
// the store's history is lost.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/budget"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// changeWait is how long the source may hold a call for changes. Its answer confirms that there are none.
	changeWait = 1800 * time.Millisecond
	// callGrace is how long after the wait the answer may arrive. A source may ask another one in that time.
	callGrace = 1200 * time.Millisecond
	// minCallTimeout and maxCallTimeout bound the timeout of a listing and of the first call after a failure, without progress
	// of the source. The timeout doubles with every second failure: short timeouts detect quickly that a silent store is back,
	// long ones allow a slow store to answer.
	minCallTimeout = 700 * time.Millisecond
	maxCallTimeout = 2500 * time.Millisecond
	// maxCallDuration bounds a call that makes progress: a listing of the largest deployment on the thinnest link.
	maxCallDuration = 30 * time.Second
	// coalesceInterval is the pause after changes, so that changes in quick succession cost one call.
	coalesceInterval = 250 * time.Millisecond
	// maxBackoff bounds the delay after a failed call.
	maxBackoff = time.Second
)

var callBackoff = budget.Backoff{Base: 150 * time.Millisecond, Max: maxBackoff}

// Sink receives the data read by a Follower. Its methods are called from a single goroutine.
type Sink interface {
	// Reset replaces all entries with a listing. The changes after the revision follow; entries may be later than it.
	Reset(entries []store.Entry, revision store.Revision)
	// Apply applies changes in revision order.
	Apply(changes []store.Change)
	// Lost is called after each failed call, Regained at the first successful call after failures.
	Lost(err error)
	Regained()
}

// Source is the data source of a Follower. The methods are documented at store.Feed. They call ctxtime.Progress while an answer arrives:
// without it a call ends after its timeout.
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
	// ahead holds the revisions of the listed entries that are later than their listing, by key.
	ahead    map[string]store.Revision
	listed   bool
	failures int
	lostAt   time.Time
}

// New returns a Follower for the keys with the prefix.
func New(logger *zap.Logger, source Source, prefix string, sink Sink) *Follower {
	return &Follower{
		logger: logger, source: source, prefix: prefix, sink: sink, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Run follows the source until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, err := f.step(ctx)
		if err != nil && ctx.Err() == nil {
			pause = f.recordFailure(err)
		}
		_ = ctxtime.Sleep(ctx, pause) // the loop ends with the context
	}
}

// step makes one call and returns the delay before the next.
func (f *Follower) step(ctx context.Context) (time.Duration, error) {
	if !f.listed {
		return 0, f.list(ctx)
	}
	wait, timeout := changeWait, changeWait+callGrace
	if f.failures > 0 {
		wait, timeout = 0, f.callTimeout()
	}
	bounded, cancel := boundCall(ctx, timeout)
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
	f.recordSuccess()
	f.revision = max(f.revision, revision)
	changes = store.LatestChanges(f.withoutListed(changes))
	if len(changes) == 0 {
		return 0, nil
	}
	f.sink.Apply(changes)
	return coalesceInterval, nil
}

// boundCall returns a context that ends when a call stalls for the timeout, and after maxCallDuration.
func boundCall(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelAll := context.WithTimeout(ctx, maxCallDuration)
	ctx, cancel := ctxtime.WithStallTimeout(ctx, timeout)
	return ctx, func() {
		cancel()
		cancelAll()
	}
}

// callTimeout returns the timeout of a call that the store answers without waiting.
func (f *Follower) callTimeout() time.Duration {
	return min(minCallTimeout<<min(f.failures/2, 8), maxCallTimeout)
}

func (f *Follower) list(ctx context.Context) error {
	bounded, cancel := boundCall(ctx, f.callTimeout())
	defer cancel()
	entries, revision, err := f.source.List(bounded, f.prefix)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.revision, f.listed = revision, true
	f.ahead = map[string]store.Revision{}
	for _, entry := range entries {
		if entry.Revision > revision {
			f.ahead[entry.Key] = entry.Revision
		}
	}
	f.sink.Reset(entries, revision)
	return nil
}

// withoutListed drops the changes that a listed entry already includes: the pages of a listing are not a snapshot. Without
// this, an entry that was removed and written again between two pages would be removed once more.
func (f *Follower) withoutListed(changes []store.Change) []store.Change {
	if len(f.ahead) == 0 {
		return changes
	}
	return slices.DeleteFunc(changes, func(change store.Change) bool {
		listed, ok := f.ahead[change.Key]
		if ok && change.Revision >= listed {
			delete(f.ahead, change.Key)
		}
		return ok && change.Revision < listed
	})
}

// recordSuccess records a successful call.
func (f *Follower) recordSuccess() {
	if f.failures > 0 {
		f.logger.Info("store regained", zap.Duration("away", time.Since(f.lostAt)), zap.Int("failed_calls", f.failures))
		f.sink.Regained()
	}
	f.failures = 0
}

// recordFailure records a failed call and returns the delay before the next: random, and doubling with
// each failure up to maxBackoff.
func (f *Follower) recordFailure(err error) time.Duration {
	if f.failures == 0 {
		f.lostAt = time.Now()
		f.logger.Warn("store lost", zap.Error(err), zap.Uint64("revision", uint64(f.revision)))
	}
	f.failures++
	f.sink.Lost(err)
	return callBackoff.Wait(f.rng, f.failures)
}
