package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/budget"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/duty"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// The contact of a host with the store is the latest moment up to which its copy is known to be complete. "No changes" from a relay is
// worth no more than the relay's own contact, so each reply states its age. The moment is computed from the start of a call and
// not from the arrival of its reply: hosts that only pass "no changes" to each other would otherwise renew their contact without
// the store. All ages are read from the boot clock, which counts the time for which a machine was suspended.

const (
	// minChangeBound and maxChangeBound limit Config.ChangeBound. With less than minChangeBound, contacts in calm would be too old.
	minChangeBound = 3 * time.Second
	maxChangeBound = 10 * time.Second
	// minStoreWait bounds the wait of a call for changes at a slow store, which limits the rate of calls.
	minStoreWait = 600 * time.Millisecond
	// minContactGain is how much later than the puller's contact that of a relay must be to be worth a reply of its own.
	minContactGain = 500 * time.Millisecond
	// pullSlack is how much longer than the store a relay may hold a pull: its contact is renewed at the end of its own call.
	pullSlack = 400 * time.Millisecond
	// firstListingGrace is how much later than others a host that starts calls the store itself: when all hosts start at once, their
	// relays must take slots and list first.
	firstListingGrace = 800 * time.Millisecond
	// timerMargin keeps a timer from firing before the age for which it was set is reached.
	timerMargin = time.Millisecond
	// maxPulledBytes bounds the changes that a host pulls before it applies them.
	maxPulledBytes = 8 << 20
	// hedgeWait is the wait of a call that makes up for one that hangs.
	hedgeWait = 0
)

// contactLimits bound the use of a contact by its age.
type contactLimits struct {
	// tooOld is the age from which a relay passes on no "no changes" any more, and calls the store a second time.
	tooOld time.Duration
	// delay is how much later the other hosts call the store. Most often a relay has contact again by then, for example after all calls
	// for changes have hung because the store dropped its history. A random part spreads the calls.
	delay time.Duration
}

// newContactLimits returns the limits with which changes are in force within a time after the store has acknowledged them. A call to
// the store and the way of a request have an eighth of it.
func newContactLimits(bound time.Duration) contactLimits {
	bound = min(max(bound, minChangeBound), maxChangeBound)
	return contactLimits{tooOld: bound * 7 / 10, delay: bound/10 + rand.N(bound/15)}
}

// storeBackoff spreads the calls of hosts that do not reach the store any better than their relays do, as in an outage.
var storeBackoff = budget.Backoff{Base: 4 * time.Second, Max: 32 * time.Second}

// pullBackoff is the pause between two rounds of pulls that no relay could serve.
var pullBackoff = budget.Backoff{Base: 150 * time.Millisecond, Max: time.Second}

// sourceResult is the result of a call for changes to some source.
type sourceResult struct {
	changes  []store.Change
	revision store.Revision
	// contact is the contact of the source; 0 if the changes are only a part of those that it has.
	contact time.Duration
	err     error
}

// directAccess decides when a host calls the store although it is not the host's source. But for serves, it is used by the follower's
// goroutine only.
type directAccess struct {
	rng *rand.Rand
	// serves is set while the store answers this host and no relay does.
	serves   atomic.Bool
	failures int
	// next is the earliest time of the next call.
	next time.Time
}

func newDirectAccess() *directAccess {
	return &directAccess{rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// record records the result of a call to the store.
func (d *directAccess) record(err error) {
	served := !isSourceFailure(err)
	d.serves.Store(served)
	if served {
		d.failures, d.next = 0, time.Time{}
		return
	}
	d.failures++
	d.next = time.Now().Add(storeBackoff.Wait(d.rng, d.failures))
}

// mayCallStore reports whether this host may call the store although it is not the host's source.
func (r *Relay) mayCallStore() bool {
	return !time.Now().Before(r.direct.next) && (r.direct.serves.Load() || r.untilTooOld() <= 0)
}

// untilTooOld returns the time until this host's contact is too old. Hosts without a slot, which are many, wait for some time more.
func (r *Relay) untilTooOld() time.Duration {
	limit := r.log.limits.tooOld
	if !r.IsRelay() {
		limit += r.log.limits.delay
	}
	return limit - r.ContactAge()
}

// ContactAge returns the age of the contact of this host with the store.
func (r *Relay) ContactAge() time.Duration { return r.log.contactAge() }

// State is the content of the "relay" dump.
type State struct {
	IsRelay, IsLeader bool
	// CallsStore means that no relay serves this host and the store does.
	CallsStore   bool
	Revision     store.Revision
	ContactMSAgo int64
}

// Dump returns the current state.
func (r *Relay) Dump() State {
	return State{IsRelay: r.IsRelay(), IsLeader: r.IsRelay() && r.isLeader(), CallsStore: r.direct.serves.Load(),
		Revision: r.log.latest(), ContactMSAgo: r.ContactAge().Milliseconds()}
}

// callStore asks the store for changes and records how late its answer is.
func (r *Relay) callStore(ctx context.Context, prefix string, after store.Revision, wait time.Duration) sourceResult {
	started := r.cfg.Clock()
	var got sourceResult
	if err := duty.Try(r.logger, "wait for changes", func() {
		got.changes, got.revision, got.err = r.cfg.Feed.Changes(ctx, prefix, after, wait)
	}); err != nil {
		got = sourceResult{err: fmt.Errorf("%w: %w", store.ErrUnavailable, err)}
	}
	answered := r.cfg.Clock()
	got.contact = answered
	if got.err == nil && len(got.changes) == 0 {
		// The store decided at the end of the wait that there are no changes.
		got.contact = min(answered, started+wait)
		r.lateness.Store(int64(answered - got.contact))
	}
	return got
}

// storeWait returns how long the store may hold a call for changes. It is shorter than the given wait while the store is slow, so that
// contacts become no older.
func (r *Relay) storeWait(wait time.Duration) time.Duration {
	late := 2 * time.Duration(r.lateness.Load())
	return max(min(wait, minStoreWait), wait-late)
}

// pullOrCallStore pulls from relays. If no reply has come by the time at which this host's contact is too old, it calls the store as
// well, and returns the first success.
func (r *Relay) pullOrCallStore(ctx context.Context, prefix string, relays []slotRecord, p pull) sourceResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pulled, called := make(chan sourceResult, 1), make(chan sourceResult, 1)
	go func() { pulled <- r.pullChanges(ctx, relays, p, acceptAny) }()
	tooOld := time.NewTimer(r.untilTooOld() + timerMargin)
	defer tooOld.Stop()
	waiting := 1
	for {
		var got sourceResult
		select {
		case got = <-pulled:
		case got = <-called:
			r.direct.record(got.err)
		case <-tooOld.C:
			if r.mayCallStore() {
				r.logContactLost("pulling")
				waiting++
				go func() { called <- r.callStore(ctx, prefix, p.After, hedgeWait) }()
			}
			continue
		}
		waiting--
		if waiting == 0 || !isSourceFailure(got.err) {
			return got
		}
	}
}

func (r *Relay) logContactLost(source string) {
	r.logger.Warn("contact with the store too old: calling it", zap.String("source", source), zap.Duration("age", r.ContactAge()),
		zap.Uint64("revision", uint64(r.log.latest())))
}

// pullChanges pulls changes from the given relays in order, part by part: a host that paused after each part would fall behind while
// many keys change. What was pulled before a failure counts, but brings no contact.
func (r *Relay) pullChanges(ctx context.Context, relays []slotRecord, p pull, accept func(*pullReply) bool) sourceResult {
	p.ContactAge = r.ContactAge()
	reply, err := r.pullInOrder(ctx, relays, p, accept)
	got := sourceResult{changes: reply.Changes, revision: reply.Revision, contact: reply.contact, err: err}
	for size := sizeOfAll(reply.Changes); reply.More && len(reply.Changes) > 0 && size < maxPulledBytes; size += sizeOfAll(reply.Changes) {
		ctxtime.Progress(ctx)
		p.After, p.Wait = got.revision, 0
		if reply, err = r.pullInOrder(ctx, relays, p, acceptAny); err != nil {
			return got
		}
		got.changes = append(got.changes, reply.Changes...)
		got.revision = max(got.revision, reply.Revision)
		got.contact = reply.contact
	}
	return got
}

// deliver passes a result on to the follower. The contact counts once the changes are applied.
func (r *Relay) deliver(got sourceResult) ([]store.Change, store.Revision, error) {
	if got.err != nil {
		return nil, 0, got.err
	}
	r.delivered = got.contact
	if len(got.changes) == 0 {
		r.log.confirm(got.contact)
	}
	return got.changes, got.revision, nil
}

// isSourceFailure reports whether a call for changes failed because its source could not serve it.
func isSourceFailure(err error) bool { return err != nil && !errors.Is(err, store.ErrHistoryLost) }
