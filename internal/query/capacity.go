package query

import "github.com/knapweedrouter/knapweedrouter/internal/model"

const (
	// queriesPerPlace is the number of queries in progress for each attempt that the busiest group may have in flight. A
	// query has an attempt at a group during a part of its time only, since it lasts as long as its slowest shard.
	queriesPerPlace = 1
	// noCapacityLimit is the answer for a search without a group that limits it.
	noCapacityLimit = 1 << 10
)

// Capacity returns the number of queries of a search that this host should run at once. The limits on attempts in flight
// at each target follow what the targets shed, so that the group with the fewest places bounds the search. More queries
// than that would hold places at other groups while they wait for this one.
func (e *Engine) Capacity(catalogue *model.Catalogue, id model.SearchID) int {
	v := e.currentView(catalogue, e.now())
	s, ok := v.searches[id]
	if !ok {
		return noCapacityLimit
	}
	least := noCapacityLimit
	for _, index := range catalogue.Indexes {
		for _, reads := range s.indexes {
			if reads != index.ID {
				continue
			}
			for _, group := range index.Groups {
				if places := v.places(group); places > 0 {
					least = min(least, places)
				}
			}
		}
	}
	return queriesPerPlace * least
}

// places returns the number of attempts that may be in flight at the targets of a group.
func (v *view) places(g model.Group) int {
	places := 0
	for _, id := range g.Targets {
		if t := v.targets[id]; t != nil {
			t.mu.Lock()
			places += t.limiter.Limit()
			t.mu.Unlock()
		}
	}
	return places
}
