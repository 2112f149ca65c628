package relay

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// changeLog is a relay's copy of the keys, from which it answers pulls. It is safe for concurrent use.
type changeLog struct {
	mu          sync.Mutex
	history     history
	listed      bool
	unavailable bool
	changed     chan struct{}
	// clock reads the boot clock. contact is the reading up to which the copy is known to be complete; until the first listing it
	// is the start of the process and firstListingGrace.
	clock   func() time.Duration
	contact time.Duration
	limits  contactLimits
}

func newChangeLog(clock func() time.Duration, limits contactLimits) *changeLog {
	return &changeLog{history: newHistory(), changed: make(chan struct{}), clock: clock, limits: limits,
		contact: clock() + firstListingGrace}
}

// confirm records the contact of the source of the copy, and wakes waiting pulls if it is later than the known one.
func (l *changeLog) confirm(contact time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if contact > l.contact {
		l.contact = contact
		l.notifyLocked()
	}
}

// contactAge returns the age of the contact with the store.
func (l *changeLog) contactAge() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock() - l.contact
}

// reset replaces all entries with a full listing and discards the change history. The revision is that of the listing: those of
// its entries say neither what was removed before it nor what was written between its pages.
func (l *changeLog) reset(entries []store.Entry, revision store.Revision, contact time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.reset(entries, revision)
	if contact > l.contact || !l.listed {
		l.contact = contact
	}
	l.listed = true
	l.notifyLocked()
}

// apply adds changes, which must be in revision order, and the contact up to which they are complete, 0 if they are not.
func (l *changeLog) apply(changes []store.Change, contact time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range changes {
		l.history.apply(&changes[i])
	}
	l.contact = max(l.contact, contact)
	l.notifyLocked()
}

// setUnavailable records whether the store is unreachable.
func (l *changeLog) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
	l.notifyLocked()
}

// notifyLocked wakes waiting pulls. The caller holds l.mu.
func (l *changeLog) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// latest returns the revision up to which the copy is complete.
func (l *changeLog) latest() store.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history.revision
}

// awaitReply returns the reply to a pull. If there are no changes yet, it waits for them, up to p.Wait, until the contact with the store
// is renewed or too old, or until wake is closed.
func (l *changeLog) awaitReply(ctx context.Context, p pull, wake <-chan struct{}) pullReply {
	arrived := l.clock()
	known := arrived - p.ContactAge
	timer := time.NewTimer(p.Wait)
	defer timer.Stop()
	for {
		reply, changed := l.currentReply(p)
		now := l.clock()
		reply.Held = now - arrived
		if reply.Status != pullChanges || len(reply.Changes) > 0 || now-reply.ContactAge-known > minContactGain {
			return reply
		}
		tooOld := time.NewTimer(l.limits.tooOld - reply.ContactAge + timerMargin)
		select {
		case <-changed:
		case <-tooOld.C:
		case <-wake:
			return reply
		case <-timer.C:
			return reply
		case <-ctx.Done():
			return reply
		}
		tooOld.Stop()
	}
}

// currentReply returns the reply to a pull without waiting, and a channel that is closed on the next change or renewed contact.
func (l *changeLog) currentReply(p pull) (pullReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := pullReply{Status: pullChanges, Revision: l.history.revision, ContactAge: l.clock() - l.contact}
	stale := reply.ContactAge > l.limits.tooOld
	switch {
	case l.unavailable || !l.listed || stale && p.After == 0:
		reply.Status = pullUnavailable
	case p.After == 0:
		reply.Status = pullEntries
		reply.Entries, reply.More = l.history.page(p.Page, p.Paged)
	case p.After < l.history.compacted:
		reply.Status = pullHistoryLost
	default:
		reply.Changes, reply.Revision = l.history.since(p.After)
		reply.More = reply.Revision < l.history.revision
		if stale && len(reply.Changes) == 0 {
			reply.Status = pullUnavailable
		}
	}
	return reply, l.changed
}
