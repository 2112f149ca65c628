package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// avoidTTL is how long an unresponsive relay is ranked last.
	avoidTTL = 2 * time.Second
	// censusTTL is how long host counts, pulls and the number of large relays are remembered. The shares of the remaining
	// hosts in a budget grow only after it, because departed hosts may have spent theirs.
	censusTTL = 15 * time.Second
	// minLeaders is the minimum number of relays, across all data centres, that follow the store directly. With three,
	// two may lose the store at once without noticing: the revisions announced by the third reveal it.
	minLeaders = 3
)

// directory tracks the known relays and estimates the number of hosts. It is safe for concurrent use.
type directory struct {
	self slotRecord

	mu         sync.Mutex
	slots      map[string]slotRecord
	avoidUntil map[model.HostID]time.Time
	hostCounts map[string]timedCount
	// lastPull holds the time of the latest pull by each host from this one.
	lastPull      map[model.HostID]time.Time
	reportedHosts timedCount // reported by the relay this host pulls from
	recentLarge   timedCount // the highest number of large relays seen within censusTTL
}

// timedCount is a count and the time at which it was recorded.
type timedCount struct {
	hosts int
	at    time.Time
}

func newDirectory(self slotRecord) *directory {
	return &directory{
		self:       self,
		slots:      map[string]slotRecord{},
		avoidUntil: map[model.HostID]time.Time{},
		hostCounts: map[string]timedCount{},
		lastPull:   map[model.HostID]time.Time{},
	}
}

// reset replaces the known slots with those in a full listing.
func (d *directory) reset(entries []store.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots = map[string]slotRecord{}
	for _, entry := range entries {
		if r, ok := decodeSlot(entry); ok {
			d.slots[entry.Key] = r
		}
	}
}

// apply updates the known slots from incremental changes.
func (d *directory) apply(changes []store.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range changes {
		if change.Removed {
			delete(d.slots, change.Key)
		} else if r, ok := decodeSlot(change.Entry); ok {
			d.slots[change.Key] = r
		}
	}
}

// freeSlots returns the unclaimed slots of this host's data centre. The starting slot depends on the host, to spread
// claims.
func (d *directory) freeSlots(slots int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var free []string
	first := int(xxhash.Sum64String(string(d.self.Host)) % uint64(slots))
	for i := range slots {
		key := slotKey(d.self.DataCentre, (first+i)%slots)
		if _, taken := d.slots[key]; !taken {
			free = append(free, key)
		}
	}
	return free
}

// ownSlot returns the key of the slot that names this host.
func (d *directory) ownSlot() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, r := range d.slots {
		if r.Host == d.self.Host {
			return key, true
		}
	}
	return "", false
}

// relays returns the relays in the order in which this host tries them: same data centre first, recently unresponsive
// ones last. Ties are broken by a per-host hash that spreads hosts across relays.
func (d *directory) relays(now time.Time) []slotRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []slotRecord
	for _, r := range d.slots {
		if r.Host != d.self.Host && !r.Leaving {
			all = append(all, r)
		}
	}
	rank := func(r slotRecord) int {
		switch {
		case now.Before(d.avoidUntil[r.Host]):
			return 2
		case r.DataCentre != d.self.DataCentre:
			return 1
		}
		return 0
	}
	hash := func(r slotRecord) uint64 { return xxhash.Sum64String(string(d.self.Host) + "/" + string(r.Host)) }
	slices.SortFunc(all, func(a, b slotRecord) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(hash(a), hash(b)))
	})
	return all
}

// leaders returns the relays of this host's data centre that follow the store directly: those in the lowest slots. The
// other relays follow them, which limits the number of store calls.
func (d *directory) leaders() []slotRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	dataCentres := map[model.DataCentreID]bool{d.self.DataCentre: true}
	var keys []string
	for key, r := range d.slots {
		if r.Leaving {
			continue
		}
		dataCentres[r.DataCentre] = true
		if r.DataCentre == d.self.DataCentre {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	each := (minLeaders + len(dataCentres) - 1) / len(dataCentres)
	var leaders []slotRecord
	for _, key := range keys[:min(each, len(keys))] {
		leaders = append(leaders, d.slots[key])
	}
	return leaders
}

// markFailed records that a relay did not answer.
func (d *directory) markFailed(host model.HostID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoidUntil[host] = now.Add(avoidTTL)
}

// recordPull records a pull by another host.
func (d *directory) recordPull(host model.HostID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastPull[host] = now
}

// recordCensus stores the host count sent by another relay.
func (d *directory) recordCensus(c census, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hostCounts[c.Key] = timedCount{c.Hosts, now}
}

// recordHostCount stores the number of hosts reported by a relay. A lower number replaces a higher one only after
// censusTTL.
func (d *directory) recordHostCount(hosts int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if hosts >= d.reportedHosts.hosts || now.Sub(d.reportedHosts.at) > censusTTL {
		d.reportedHosts = timedCount{hosts, now}
	}
}

// servedHosts returns the number of hosts that pull from this one, including itself.
func (d *directory) servedHosts(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servedHostsLocked(now)
}

func (d *directory) servedHostsLocked(now time.Time) int {
	served := 1
	for host, at := range d.lastPull {
		if now.Sub(at) > censusTTL {
			delete(d.lastPull, host)
			continue
		}
		served++
	}
	return served
}

// hostCount estimates the number of hosts: the larger of the number reported by a relay and the sum of the relays'
// counts.
func (d *directory) hostCount(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := d.servedHostsLocked(now)
	for key, r := range d.slots {
		if r.Host == d.self.Host {
			continue
		}
		// A relay that has not sent a count yet counts as one host.
		c, known := d.hostCounts[key]
		if !known {
			c.hosts = 1
		}
		total += c.hosts
	}
	for key, c := range d.hostCounts {
		if _, there := d.slots[key]; !there && now.Sub(c.at) < censusTTL {
			total += c.hosts
		}
	}
	return max(total, d.reportedHosts.hosts)
}
