package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// largeShare is the minimum fraction of a shared budget that is divided among the large hosts, because they handle the
// other hosts' queries. The rest is divided among the other hosts, for queries that no large host takes.
const largeShare = 0.8

// Fleet is a host's view of the hosts that share budgets.
type Fleet struct {
	// Hosts is an estimate of the number of hosts that may be serving, which errs on the high side.
	Hosts int
	// Relays lists the hosts that hold slots, including this one if it does, ordered by ID.
	Relays []model.HostID
	// Part is this host's fraction of each shared budget. The fractions of all hosts sum to at most 1.
	Part float64
}

// Equal reports whether two views grant the same budgets.
func (f Fleet) Equal(other Fleet) bool {
	return f.Hosts == other.Hosts && f.Part == other.Part && slices.Equal(f.Relays, other.Relays)
}

// Aggregator is a host that executes queries on behalf of other hosts and merges the answers of the shards.
type Aggregator struct {
	Host    model.HostID
	Address string
}

// fleet returns the current view.
func (d *directory) fleet(now time.Time) Fleet {
	d.mu.Lock()
	defer d.mu.Unlock()
	holders := d.slotHoldersLocked()
	size := d.counter.total(holders, now)
	f := Fleet{Hosts: size.Hosts, Relays: slices.Sorted(maps.Keys(holders))}
	if size.Large >= d.recentLarge.hosts || now.Sub(d.recentLarge.at) > countTTL {
		d.recentLarge = timedCount{size.Large, now}
	}
	f.Part = budgetShare(size.Hosts, d.recentLarge.hosts, d.self.Large)
	return f
}

// budgetShare returns one host's fraction of a shared budget. All large hosts have equal fractions, whether or not they
// hold a slot, because each of them executes its own callers' queries.
func budgetShare(hosts, large int, isLarge bool) float64 {
	others := hosts - large
	share := max(largeShare, float64(large)/float64(max(1, hosts)))
	switch {
	case large == 0 || others <= 0:
		return 1 / float64(max(1, hosts, large))
	case isLarge:
		return share / float64(large)
	}
	return (1 - share) / float64(others)
}
