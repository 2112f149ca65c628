package relay

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// maxLogged bounds the changes that a relay keeps. A host that is further behind lists the entries again.
const maxLogged = 4096

// changeLog is a relay's copy of the keys with the latest changes. It is safe for concurrent use.
type changeLog struct {
	mu       sync.Mutex
	entries  map[string]store.Entry
	changes  []store.Change
	revision store.Revision
	// since is the revision after which all changes are kept.
	since   store.Revision
	listed  bool
	away    bool
	changed chan struct{}
}

func newChangeLog() *changeLog {
	return &changeLog{entries: map[string]store.Entry{}, changed: make(chan struct{})}
}

// reset takes all entries as of a listing. What happened before it is not known.
func (l *changeLog) reset(entries []store.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = make(map[string]store.Entry, len(entries))
	for _, entry := range entries {
		l.entries[entry.Key] = entry
		l.revision = max(l.revision, entry.Revision)
	}
	l.changes, l.since = nil, l.revision
	l.listed = true
	l.wake()
}

// apply takes changes in the order of their revisions.
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
	if surplus := len(l.changes) - maxLogged; surplus > 0 {
		l.since = l.changes[surplus-1].Revision
		l.changes = append([]store.Change(nil), l.changes[surplus:]...)
	}
	l.wake()
}

// setAway notes whether the store can be reached.
func (l *changeLog) setAway(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
	l.wake()
}

// wake ends the waits of pulls. It runs under the mutex.
func (l *changeLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// latest returns the highest revision that the relay knows.
func (l *changeLog) latest() store.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// answer waits for changes after the revision and returns them.
func (l *changeLog) answer(ctx context.Context, p pull) pullReply {
	timer := time.NewTimer(p.Wait)
	defer timer.Stop()
	for {
		reply, changed := l.look(p)
		if reply.Status != pullChanges || len(reply.Changes) > 0 {
			return reply
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

// look returns the present answer, and a channel that is closed at the next change.
func (l *changeLog) look(p pull) (pullReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := pullReply{Status: pullChanges, Revision: l.revision}
	switch {
	case l.away || !l.listed:
		reply.Status = pullAway
	case p.After == 0:
		reply.Status = pullEntries
		for _, entry := range l.entries {
			reply.Entries = append(reply.Entries, entry)
		}
	case p.After < l.since:
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
