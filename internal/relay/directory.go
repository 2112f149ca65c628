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
	// avoidance is the time for which a relay that did not answer is asked last.
	avoidance = 2 * time.Second
	// censusMemory is the time for which the count of a relay, and the number of hosts, is kept: what hosts that have gone
	// spent of shared budgets counts for as long.
	censusMemory = 15 * time.Second
	// minLeaders is the least number of relays, of all data centres together, that follow the store themselves: two of them
	// may be cut off at once without a sign, and the news of the third shows it.
	minLeaders = 3
)

// directory holds the known relays and the number of hosts. It is safe for concurrent use.
type directory struct {
	self record

	mu     sync.Mutex
	slots  map[string]record
	avoid  map[model.HostID]time.Time
	counts map[string]count
	// pullers holds the time of the last pull of each host from this one.
	pullers map[model.HostID]time.Time
	told    count // by the relay that this host pulls from
	large   count // the greatest number of large relays lately
}

type count struct {
	hosts int
	at    time.Time
}

func newDirectory(self record) *directory {
	return &directory{
		self:    self,
		slots:   map[string]record{},
		avoid:   map[model.HostID]time.Time{},
		counts:  map[string]count{},
		pullers: map[model.HostID]time.Time{},
	}
}

// reset takes the slots of a listing.
func (d *directory) reset(entries []store.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots = map[string]record{}
	for _, entry := range entries {
		if r, ok := decodeSlot(entry); ok {
			d.slots[entry.Key] = r
		}
	}
}

// apply takes a change of a slot.
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

// free returns the slots of this host's data centre that nobody holds. Hosts begin at different ones.
func (d *directory) free(slots int) []string {
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

// own returns the slot that names this host.
func (d *directory) own() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, r := range d.slots {
		if r.Host == d.self.Host {
			return key, true
		}
	}
	return "", false
}

// relays returns the relays in the order in which this host asks them: those of its data centre first, those that did not
// answer last. The hash spreads the hosts over the relays.
func (d *directory) relays(now time.Time) []record {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []record
	for _, r := range d.slots {
		if r.Host != d.self.Host && !r.Leaving {
			all = append(all, r)
		}
	}
	rank := func(r record) int {
		switch {
		case now.Before(d.avoid[r.Host]):
			return 2
		case r.DataCentre != d.self.DataCentre:
			return 1
		}
		return 0
	}
	hash := func(r record) uint64 { return xxhash.Sum64String(string(d.self.Host) + "/" + string(r.Host)) }
	slices.SortFunc(all, func(a, b record) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(hash(a), hash(b)))
	})
	return all
}

// leaders returns the relays of this host's data centre that follow the store themselves: those with the lowest slots. The
// other relays follow them, so that the calls to the store stay few.
func (d *directory) leaders() []record {
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
	var leaders []record
	for _, key := range keys[:min(each, len(keys))] {
		leaders = append(leaders, d.slots[key])
	}
	return leaders
}

// failed notes that a relay did not answer.
func (d *directory) failed(host model.HostID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoid[host] = now.Add(avoidance)
}

// pulled notes a pull of another host.
func (d *directory) pulled(host model.HostID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pullers[host] = now
}

// take notes the count of another relay.
func (d *directory) take(c census, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[c.Key] = count{c.Hosts, now}
}

// tell notes the number of hosts that a relay told this host. A lower number counts once the higher one is old.
func (d *directory) tell(hosts int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if hosts >= d.told.hosts || now.Sub(d.told.at) > censusMemory {
		d.told = count{hosts, now}
	}
}

// served returns the number of hosts that pull from this one, itself included.
func (d *directory) served(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servedLocked(now)
}

func (d *directory) servedLocked(now time.Time) int {
	served := 1
	for host, at := range d.pullers {
		if now.Sub(at) > censusMemory {
			delete(d.pullers, host)
			continue
		}
		served++
	}
	return served
}

// hosts returns the number of hosts: as the relay told, or what the relays count together.
func (d *directory) hosts(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := d.servedLocked(now)
	for key, r := range d.slots {
		if r.Host == d.self.Host {
			continue
		}
		// A relay whose count is not known yet counts for itself.
		c, known := d.counts[key]
		if !known {
			c.hosts = 1
		}
		total += c.hosts
	}
	for key, c := range d.counts {
		if _, there := d.slots[key]; !there && now.Sub(c.at) < censusMemory {
			total += c.hosts
		}
	}
	return max(total, d.told.hosts)
}
