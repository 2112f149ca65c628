package relay

import (
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// largeShare is the least part of a shared budget that the large relays divide, because the queries of the other hosts go through
// them. The rest is divided among the others, for queries that no large relay takes.
const largeShare = 0.8

// Fleet is what a host knows of the hosts that share budgets.
type Fleet struct {
	// Hosts is the greatest number of hosts that may serve at present.
	Hosts int
	// Relays are the hosts that hold slots, this one included if it does, ordered by id.
	Relays []model.HostID
	// Part is the part of each shared budget that this host may use. The parts of all hosts add up to 1 at most.
	Part float64
}

// Equal tells whether two hosts' views give the same rights.
func (f Fleet) Equal(other Fleet) bool {
	return f.Hosts == other.Hosts && f.Part == other.Part && slices.Equal(f.Relays, other.Relays)
}

// Gatherer is a host that gathers the answers of other hosts' queries.
type Gatherer struct {
	Host    model.HostID
	Address string
}

// fleet returns the present view. isRelay tells whether this host holds a slot.
func (d *directory) fleet(now time.Time, isRelay bool) Fleet {
	hosts := d.hosts(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	f := Fleet{Hosts: hosts}
	large := 0
	for _, r := range d.slots {
		f.Relays = append(f.Relays, r.Host)
		if r.Large {
			large++
		}
	}
	slices.Sort(f.Relays)
	f.Relays = slices.Compact(f.Relays)
	if large >= d.large.hosts || now.Sub(d.large.at) > censusMemory {
		d.large = count{large, now}
	}
	f.Part = part(hosts, d.large.hosts, isRelay && d.self.Large)
	return f
}

// part returns a host's part of a shared budget.
func part(hosts, large int, isLarge bool) float64 {
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

// isAvoided tells whether the host did not answer a short time ago.
func (d *directory) isAvoided(host model.HostID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.avoid[host])
}
