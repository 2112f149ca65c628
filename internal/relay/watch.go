package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// behindLimit is the time for which a relay may be behind the others before it takes the changes from them. A call to the store
// that hangs, because the store turns this host away or its connection has fallen silent, ends by its timeout only.
const behindLimit = 400 * time.Millisecond

// isAhead tells whether a reply brings a relay on. Another relay may be as far behind.
func isAhead(reply *pullReply) bool { return reply.Status != pullChanges || len(reply.Changes) > 0 }

// watched is the result of a call for changes.
type watched struct {
	changes  []store.Change
	revision store.Revision
	err      error
}

// watch waits for changes at the store. If the store refuses, or other relays are ahead for a time, the
// changes come from them.
func (r *Relay) watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Change, store.Revision, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan watched, 1)
	go func() {
		changes, revision, err := r.cfg.Feed.Changes(ctx, prefix, after, wait)
		results <- watched{changes, revision, err}
	}()
	// The time runs from the first notice: later ones must not put it off.
	behind := time.NewTimer(behindLimit)
	defer behind.Stop()
	waiting := true
	for {
		select {
		case got := <-results:
			refused := isRefusal(got.err)
			r.setRefused(refused)
			if !refused {
				return got.changes, got.revision, got.err
			}
			// The store may turn only this host away. The pull waits like the call, so that refused calls stay few.
			reply, err := r.ask(ctx, pull{After: after, Wait: wait}, isAny)
			if err != nil {
				return nil, 0, errors.Join(got.err, err)
			}
			return reply.Changes, reply.Revision, nil
		case <-r.noticed:
			if !waiting {
				waiting = true
				behind.Reset(behindLimit)
			}
		case <-behind.C:
			waiting = false
			if r.newest.Load() <= uint64(after) {
				continue
			}
			reply, err := r.ask(ctx, pull{After: after}, isAhead)
			if isRefusal(err) {
				waiting = true
				behind.Reset(behindLimit)
				continue
			}
			r.logger.Warn("store behind other relays: changes taken from one", zap.Uint64("after", uint64(after)),
				zap.Uint64("newest", r.newest.Load()), zap.Int("changes", len(reply.Changes)), zap.Error(err))
			return reply.Changes, reply.Revision, err
		}
	}
}
