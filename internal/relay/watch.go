package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/duty"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// maxLag is how long a relay may lag behind the others before it takes changes from them. A store call that hangs,
// because the store refuses this host or the connection is dead, otherwise ends only by its timeout.
const maxLag = 400 * time.Millisecond

// isNonEmpty rejects replies without changes, which come from relays that lag just as far behind as this one.
func isNonEmpty(reply *pullReply) bool {
	return reply.Status != pullChanges || len(reply.Changes) > 0
}

// changesResult is the result of a Feed.Changes call.
type changesResult struct {
	changes  []store.Change
	revision store.Revision
	err      error
}

// watchStore waits for changes at the store. It takes them from other relays if the store call fails or if other relays
// stay ahead for maxLag.
func (r *Relay) watchStore(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Change, store.Revision, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan changesResult, 1)
	go func() {
		var got changesResult
		if err := duty.Try(r.logger, "wait for changes", func() {
			got.changes, got.revision, got.err = r.cfg.Feed.Changes(ctx, prefix, after, wait)
		}); err != nil {
			got = changesResult{err: fmt.Errorf("%w: %w", store.ErrUnavailable, err)}
		}
		results <- got
	}()
	// The timer runs from the start of the call and, once it has fired, from the next announcement. It is not restarted by
	// announcements while it runs, so that frequent ones do not delay it.
	lagTimer := time.NewTimer(maxLag)
	defer lagTimer.Stop()
	armed := true
	for {
		select {
		case got := <-results:
			failed := isSourceFailure(got.err)
			r.setStoreFailed(failed)
			if !failed {
				return got.changes, got.revision, got.err
			}
			// The store may refuse only this host. The pull waits as long as the store call would, which limits the
			// rate of refused calls.
			reply, err := r.pullFromAny(ctx, pull{After: after, Wait: wait}, acceptAny)
			if err != nil {
				return nil, 0, errors.Join(got.err, err)
			}
			return reply.Changes, reply.Revision, nil
		case <-r.revisionRaised:
			if !armed {
				armed = true
				lagTimer.Reset(maxLag)
			}
		case <-lagTimer.C:
			armed = false
			if r.newestRevision.Load() <= uint64(after) {
				continue
			}
			reply, err := r.pullFromAny(ctx, pull{After: after}, isNonEmpty)
			if isSourceFailure(err) {
				armed = true
				lagTimer.Reset(maxLag)
				continue
			}
			r.logger.Warn("store behind other relays: changes taken from one", zap.Uint64("after", uint64(after)),
				zap.Uint64("newest", r.newestRevision.Load()), zap.Int("changes", len(reply.Changes)), zap.Error(err))
			return reply.Changes, reply.Revision, err
		}
	}
}
