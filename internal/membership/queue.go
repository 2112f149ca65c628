package membership

import (
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// queued is a member whose newest statement has been sent a number of times.
type queued struct {
	id   model.HostID
	sent int
}

// updateQueue holds the members whose statements still have to spread, at most one entry per member.
type updateQueue struct {
	entries []queued // the least sent first
}

// add puts a member at the front.
func (q *updateQueue) add(id model.HostID) {
	q.entries = slices.DeleteFunc(q.entries, func(e queued) bool { return e.id == id })
	q.entries = slices.Insert(q.entries, 0, queued{id: id})
}

// take returns up to n members, the least sent first, and drops those that have been sent limit times.
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
			q.put(moved[i])
		}
	}
	return taken
}

// put inserts an entry behind those that were sent as often.
func (q *updateQueue) put(e queued) {
	at, _ := slices.BinarySearchFunc(q.entries, e.sent+1, func(other queued, sent int) int { return other.sent - sent })
	q.entries = slices.Insert(q.entries, at, e)
}
