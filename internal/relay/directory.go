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
	// avoidTTL is how long a relay is ranked last that did not answer or has lost its source of changes.
	avoidTTL = 2 * time.Second
	// minLeaders is the minimum number of relays, across all data centres, that follow the store directly. With three,
	// two may lose the store at once without noticing: the revisions announced by the third reveal it.
	minLeaders = 3
)

// directory tracks the known relays and estimates the number of hosts. It is safe for concurrent use.
type directory struct {
	self slotRecord

	mu    sync.Mutex
	slots map[string]slotRecord
	// followed is the revision up to which the slots are complete; 0 before the first listing of the followed store.
	followed store.Revision
	// unresponsiveUntil and sourceLostUntil are the times until which a relay is ranked last: because it did not answer,
	// or because it answered that its source of changes fails. The latter still executes queries.
	unresponsiveUntil map[model.HostID]time.Time
	sourceLostUntil   map[model.HostID]time.Time
	counter           hostCounter
	// recentLarge is the highest number of large hosts seen within countTTL.
	recentLarge timedCount
}

// timedCount is a count and the time at which it was recorded.
type timedCount struct {
	hosts int
	at    time.Time
}

func newDirectory(self slotRecord) *directory {
	return &directory{
		self:              self,
		slots:             map[string]slotRecord{},
		unresponsiveUntil: map[model.HostID]time.Time{},
		sourceLostUntil:   map[model.HostID]time.Time{},
		counter:           newHostCounter(self),
	}
}

// reset replaces the known slots with those in a full listing, which the changes after the revision follow.
func (d *directory) reset(entries []store.Entry, revision store.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots = map[string]slotRecord{}
	d.followed = 0
	d.learnLocked(entries)
	d.followed = revision
}

// learn adds the slots of a listing that may be stale. Only slots that are later than the followed changes are news: the others
// may have been removed or replaced since.
func (d *directory) learn(entries []store.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learnLocked(entries)
}

func (d *directory) learnLocked(entries []store.Entry) {
	for _, entry := range entries {
		if r, ok := decodeSlot(entry); ok && entry.Revision > d.followed {
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
		d.followed = max(d.followed, change.Revision)
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
		case !d.hasSourceLocked(r.Host, now):
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

// markUnresponsive records that a relay did not answer.
func (d *directory) markUnresponsive(host model.HostID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsiveUntil[host] = now.Add(avoidTTL)
}

// markSourceLost records that a relay answered that its source of changes fails.
func (d *directory) markSourceLost(host model.HostID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sourceLostUntil[host] = now.Add(avoidTTL)
}

// isResponsive reports whether the host was not recently marked unresponsive.
func (d *directory) isResponsive(host model.HostID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !now.Before(d.unresponsiveUntil[host])
}

// hasSource reports whether the host is responsive and its source of changes was not recently lost.
func (d *directory) hasSource(host model.HostID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasSourceLocked(host, now)
}

func (d *directory) hasSourceLocked(host model.HostID, now time.Time) bool {
	return !now.Before(d.unresponsiveUntil[host]) && !now.Before(d.sourceLostUntil[host])
}

// recordPull records a pull by another host.
func (d *directory) recordPull(host model.HostID, p pull, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter.recordPull(host, p, now)
}

// recordMove records that another host now pulls from another relay.
func (d *directory) recordMove(host model.HostID, number uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter.recordMove(host, number, now)
}

// recordCensus stores the count of another relay.
func (d *directory) recordCensus(host model.HostID, size fleetSize, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter.recordCensus(host, size, now)
}

// recordReport stores the size of the fleet reported by a relay.
func (d *directory) recordReport(size fleetSize, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter.recordReport(size, now)
}

// served returns the number of hosts that this one counts.
func (d *directory) served(now time.Time) fleetSize {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counter.served(d.slotHoldersLocked(), now)
}

// size estimates the size of the fleet. It errs on the high side.
func (d *directory) size(now time.Time) fleetSize {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counter.total(d.slotHoldersLocked(), now)
}

// slotHoldersLocked returns the hosts that hold a slot. The caller holds d.mu.
func (d *directory) slotHoldersLocked() map[model.HostID]slotRecord {
	holders := make(map[model.HostID]slotRecord, len(d.slots))
	for _, r := range d.slots {
		holders[r.Host] = r
	}
	return holders
}
