package query

import "github.com/knapweedrouter/knapweedrouter/internal/model"

const (
	// queriesPerAttempt is the number of concurrent queries per attempt that the most limited group may have in flight.
	// A query has an attempt in flight at a given group for only part of its duration, because it lasts as long as its
	// slowest shard.
	queriesPerAttempt = 1
	// noCapacityLimit is the result for a search that no group limits.
	noCapacityLimit = 1 << 10
)

// Capacity returns the number of queries of a search that this host should run concurrently. The limits on attempts in
// flight at each target adapt to how much the targets shed, so the group with the lowest limit bounds the search.
// Further queries would occupy other groups while they wait for that one.
func (e *Engine) Capacity(catalogue *model.Catalogue, id model.SearchID) int {
	v := e.currentView(catalogue, e.now())
	s, ok := v.searches[id]
	if !ok {
		return noCapacityLimit
	}
	lowest := noCapacityLimit
	for _, index := range catalogue.Indexes {
		for _, searched := range s.indexes {
			if searched != index.ID {
				continue
			}
			for _, group := range index.Groups {
				if limit := v.concurrencyLimit(group); limit > 0 {
					lowest = min(lowest, limit)
				}
			}
		}
	}
	return queriesPerAttempt * lowest
}

// concurrencyLimit returns the sum of the limits on attempts in flight at the targets of a group.
func (v *view) concurrencyLimit(g model.Group) int {
	total := 0
	for _, id := range g.Targets {
		if t := v.targets[id]; t != nil {
			t.mu.Lock()
			total += t.limiter.Limit()
			t.mu.Unlock()
		}
	}
	return total
}
