package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// maxLag is how long a relay may lag behind the others before it takes changes from them. A store call that hangs,
	// because the store refuses this host or the connection is dead, otherwise ends only by its timeout.
	maxLag = 400 * time.Millisecond
	// staleDelay is how long a host whose contact is too old waits for the store before it takes changes from relays whose contact is
	// too old as well. Taking them at once would give up the store's answer, which holds everything, for a part of it each time.
	staleDelay = 250 * time.Millisecond
)

// storeWatch is one wait for changes at the store. It takes them from other relays if those stay ahead for maxLag. If the call brings
// nothing by the time at which this host's contact is too old, it makes a second one and asks the other relays. Calls and pulls run
// beside each other, and the first success counts.
type storeWatch struct {
	relay  *Relay
	ctx    context.Context
	prefix string
	after  store.Revision

	called, pulled chan sourceResult
	// calls is the number of open store calls; isPulling is set while a pull is open.
	calls     int
	isPulling bool
	// lagTimer runs from the start of the call and, once it has fired, from the next announcement. It is not restarted by
	// announcements while it runs, so that frequent ones do not delay it.
	lagTimer *time.Timer
	lagArmed bool
	// staleTimer runs while this host's contact is too old and no relay has a better one.
	staleTimer *time.Timer
	isStale    bool
}

// watchStore waits for changes at the store, or at other relays where the store does not answer in time.
func (r *Relay) watchStore(ctx context.Context, prefix string, after store.Revision, wait time.Duration) sourceResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &storeWatch{relay: r, ctx: ctx, prefix: prefix, after: after, called: make(chan sourceResult, 2), pulled: make(chan sourceResult, 1),
		lagTimer: time.NewTimer(maxLag), lagArmed: true, staleTimer: time.NewTimer(staleDelay)}
	w.staleTimer.Stop()
	defer w.lagTimer.Stop()
	defer w.staleTimer.Stop()
	tooOld := time.NewTimer(r.untilTooOld() + timerMargin)
	defer tooOld.Stop()
	if wait == 0 {
		tooOld.Stop() // the caller bounds the time of such a call
	}
	w.call(r.storeWait(wait))
	got, fromStore := w.await(tooOld.C)
	if fromStore {
		return r.orPull(ctx, got, pull{After: after, Wait: wait})
	}
	return got
}

// await returns the first success, or the failure of the last store call, and whether it comes from the store.
func (w *storeWatch) await(tooOld <-chan time.Time) (got sourceResult, fromStore bool) {
	r := w.relay
	for {
		select {
		case got = <-w.called:
			w.calls--
			if w.calls == 0 || !isSourceFailure(got.err) {
				return got, true
			}
		case got = <-w.pulled:
			w.isPulling = false
			if !isSourceFailure(got.err) {
				w.logPulled(&got)
				return got, false
			}
			w.pullFailed()
		case <-r.revisionRaised:
			w.armLagTimer()
		case <-w.lagTimer.C:
			w.lagArmed = false
			if !w.isStale && r.newestRevision.Load() > uint64(w.after) {
				w.pull(isNonEmpty)
			}
		case <-tooOld:
			w.isStale = true
			r.logContactLost("store")
			w.call(hedgeWait)
			w.pull(r.hasRecentContact)
		case <-w.staleTimer.C:
			w.pull(r.hasNews)
		}
	}
}

// logPulled logs that a relay was ahead of the store's answers. One that has no changes only has a later contact.
func (w *storeWatch) logPulled(got *sourceResult) {
	if len(got.changes) == 0 && got.err == nil {
		return
	}
	w.relay.logger.Warn("store behind other relays: changes taken from one", zap.Uint64("after", uint64(w.after)),
		zap.Uint64("newest", w.relay.newestRevision.Load()), zap.Int("changes", len(got.changes)), zap.Error(got.err))
}

// call starts a call to the store.
func (w *storeWatch) call(wait time.Duration) {
	w.calls++
	go func() { w.called <- w.relay.callStore(w.ctx, w.prefix, w.after, wait) }()
}

// pull asks the other relays, unless a pull is open.
func (w *storeWatch) pull(accept func(*pullReply) bool) {
	if w.isPulling {
		return
	}
	w.isPulling = true
	go func() { w.pulled <- w.relay.pullChanges(w.ctx, w.relay.sources(), pull{After: w.after}, accept) }()
}

// pullFailed schedules the next pull.
func (w *storeWatch) pullFailed() {
	if w.isStale {
		w.staleTimer.Reset(staleDelay)
		return
	}
	w.armLagTimer()
}

func (w *storeWatch) armLagTimer() {
	if !w.lagArmed {
		w.lagArmed = true
		w.lagTimer.Reset(maxLag)
	}
}

// isNonEmpty rejects replies without changes, which come from relays that lag just as far behind as this one.
func isNonEmpty(reply *pullReply) bool {
	return reply.Status != pullChanges || len(reply.Changes) > 0
}

// hasRecentContact rejects replies of relays whose contact with the store is too old.
func (r *Relay) hasRecentContact(reply *pullReply) bool {
	return reply.Status == pullChanges && r.cfg.Clock()-reply.source <= r.log.limits.tooOld
}

// hasNews rejects replies that bring this host neither changes nor a contact that is not too old.
func (r *Relay) hasNews(reply *pullReply) bool { return isNonEmpty(reply) || r.hasRecentContact(reply) }

// orPull returns the result of the store, or that of a relay if the store fails: it may refuse only this host.
func (r *Relay) orPull(ctx context.Context, got sourceResult, p pull) sourceResult {
	failed := isSourceFailure(got.err)
	r.setStoreFailed(failed)
	if !failed {
		return got
	}
	// The pull waits as long as the store call would, which limits the rate of refused calls.
	pulled := r.pullChanges(ctx, r.sources(), p, acceptAny)
	if pulled.err != nil {
		pulled = sourceResult{err: errors.Join(got.err, pulled.err)}
	}
	return pulled
}
