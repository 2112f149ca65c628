package membership

import (
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// queuedUpdate counts how often the newest update about a member has been sent.
type queuedUpdate struct {
	id   model.HostID
	sent int
}

// updateQueue holds the members whose updates are still being disseminated, at most one entry per member.
type updateQueue struct {
	entries []queuedUpdate // sorted by sent, ascending
}

// pushFront queues a new update about a member, replacing any earlier one.
func (q *updateQueue) pushFront(id model.HostID) {
	q.entries = slices.DeleteFunc(q.entries, func(e queuedUpdate) bool { return e.id == id })
	q.entries = slices.Insert(q.entries, 0, queuedUpdate{id: id})
}

// take returns up to n members with the least sent updates, and drops updates that have been sent limit times.
func (q *updateQueue) take(n, limit int) []model.HostID {
	n = min(n, len(q.entries))
	if n == 0 {
		return nil
	}
	taken := make([]model.HostID, n)
	moved := slices.Clone(q.entries[:n])
	q.entries = slices.Delete(q.entries, 0, n)
	for i := range moved {
		taken[i] = moved[i].id
		moved[i].sent++
		if moved[i].sent < limit {
			q.insert(moved[i])
		}
	}
	return taken
}

// insert adds an entry after the entries that have been sent equally often.
func (q *updateQueue) insert(e queuedUpdate) {
	at, _ := slices.BinarySearchFunc(q.entries, e.sent+1, func(other queuedUpdate, sent int) int { return other.sent - sent })
	q.entries = slices.Insert(q.entries, at, e)
}
