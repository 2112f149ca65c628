package relay

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// maxLogChanges limits the change history of a relay. A host that is further behind must list all entries again.
const maxLogChanges = 4096

// changeLog is a relay's copy of the keys, with a bounded history of changes. It is safe for concurrent use.
type changeLog struct {
	mu      sync.Mutex
	entries map[string]store.Entry
	changes []store.Change
	// revision is the one up to which the copy is complete. Entries may be later: the pages of a listing are not a snapshot.
	revision store.Revision
	// compactRevision is the revision after which the change history is complete.
	compactRevision store.Revision
	listed          bool
	unavailable     bool
	changed         chan struct{}
}

func newChangeLog() *changeLog {
	return &changeLog{entries: map[string]store.Entry{}, changed: make(chan struct{})}
}

// reset replaces all entries with a full listing and discards the change history. The revision is that of the listing: those of
// its entries say neither what was removed before it nor what was written between its pages.
func (l *changeLog) reset(entries []store.Entry, revision store.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = make(map[string]store.Entry, len(entries))
	for _, entry := range entries {
		l.entries[entry.Key] = entry
	}
	l.revision, l.compactRevision, l.changes = revision, revision, nil
	l.listed = true
	l.notifyLocked()
}

// apply adds changes, which must be in revision order.
func (l *changeLog) apply(changes []store.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, change := range changes {
		if change.Removed {
			delete(l.entries, change.Key)
		} else {
			l.entries[change.Key] = change.Entry
		}
		l.revision = max(l.revision, change.Revision)
	}
	l.changes = append(l.changes, changes...)
	if surplus := len(l.changes) - maxLogChanges; surplus > 0 {
		l.compactRevision = l.changes[surplus-1].Revision
		l.changes = append([]store.Change(nil), l.changes[surplus:]...)
	}
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
	return l.revision
}

// awaitReply returns the reply to a pull. If there are no changes yet, it waits for them, up to p.Wait or until wake is closed.
func (l *changeLog) awaitReply(ctx context.Context, p pull, wake <-chan struct{}) pullReply {
	timer := time.NewTimer(p.Wait)
	defer timer.Stop()
	for {
		reply, changed := l.currentReply(p)
		if reply.Status != pullChanges || len(reply.Changes) > 0 {
			return reply
		}
		select {
		case <-changed:
		case <-wake:
			return reply
		case <-timer.C:
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

// currentReply returns the reply to a pull without waiting, and a channel that is closed on the next change.
func (l *changeLog) currentReply(p pull) (pullReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := pullReply{Status: pullChanges, Revision: l.revision}
	switch {
	case l.unavailable || !l.listed:
		reply.Status = pullUnavailable
	case p.After == 0:
		reply.Status = pullEntries
		for _, entry := range l.entries {
			reply.Entries = append(reply.Entries, entry)
		}
	case p.After < l.compactRevision:
		reply.Status = pullHistoryLost
	default:
		for _, change := range l.changes {
			if change.Revision > p.After {
				reply.Changes = append(reply.Changes, change)
			}
		}
	}
	return reply, l.changed
}
