package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// countedFleet is a fleet of host counters whose pulls and censuses arrive at once. The hosts of a data centre are spread
// over its relays, and the relays that are not the first of their data centre pull from the first one.
type countedFleet struct {
	now    time.Time
	slots  map[model.HostID]slotRecord
	hosts  map[model.HostID]*hostCounter
	source map[model.HostID]model.HostID
	number uint64
}

// newCountedFleet places the hosts round robin in data centres of three relays each.
func newCountedFleet(hosts, dataCentres int) *countedFleet {
	f := &countedFleet{
		now:    time.Unix(1000, 0),
		slots:  map[model.HostID]slotRecord{},
		hosts:  map[model.HostID]*hostCounter{},
		source: map[model.HostID]model.HostID{},
	}
	for i := range hosts {
		id := countedHost(i)
		row := i / dataCentres
		record := slotRecord{Host: id, Large: row < slotsPerDataCentre}
		counter := newHostCounter(record)
		f.hosts[id] = &counter
		if row < slotsPerDataCentre {
			f.slots[id] = record
		}
		if row > 0 {
			relayRow := row % slotsPerDataCentre
			if row < slotsPerDataCentre {
				relayRow = 0
			}
			f.source[id] = countedHost(relayRow*dataCentres + i%dataCentres)
		}
	}
	return f
}

func countedHost(i int) model.HostID { return model.HostID(fmt.Sprintf("h%03d", i)) }

// step lets every host pull and every relay send its census, and advances the clock by one census interval.
func (f *countedFleet) step() {
	for host, source := range f.source {
		if counter := f.hosts[source]; counter != nil && f.hosts[host] != nil {
			f.number++
			_, large := f.slots[host]
			counter.recordPull(host, pull{Number: f.number, Large: large}, f.now)
			f.hosts[host].recordReport(counter.total(f.slots, f.now), f.now)
		}
	}
	for sender := range f.slots {
		for receiver := range f.slots {
			if from, to := f.hosts[sender], f.hosts[receiver]; from != nil && to != nil && sender != receiver {
				to.recordCensus(sender, from.served(f.slots, f.now), f.now)
			}
		}
	}
	f.now = f.now.Add(censusInterval)
}

// move lets a host pull from another relay, and tells the previous one.
func (f *countedFleet) move(host, relay model.HostID) {
	previous := f.source[host]
	f.number++
	f.hosts[relay].recordPull(host, pull{Number: f.number}, f.now)
	f.hosts[previous].recordMove(host, f.number, f.now)
	f.source[host] = relay
}

// requireAll requires every live host to count between low and high hosts.
func (f *countedFleet) requireAll(t *testing.T, low, high int) {
	t.Helper()
	for id, counter := range f.hosts {
		got := counter.total(f.slots, f.now).Hosts
		require.GreaterOrEqual(t, got, low, "%s: budgets are divided among too few hosts", id)
		require.LessOrEqual(t, got, high, "%s: a host is counted more than once", id)
	}
}

// TestEachHostIsCountedOnce guards against dividing budgets among hosts that do not exist: a relay that pulls from
// another one, and a host that has moved between relays, were in several counts.
func TestEachHostIsCountedOnce(t *testing.T) {
	for _, fleet := range []struct{ hosts, dataCentres int }{{19, 4}, {138, 4}, {295, 6}} {
		t.Run(fmt.Sprint(fleet.hosts), func(t *testing.T) {
			f := newCountedFleet(fleet.hosts, fleet.dataCentres)
			for range 3 {
				f.step()
			}
			f.requireAll(t, fleet.hosts, fleet.hosts)
			mover := countedHost(fleet.hosts - 1)
			first, second := countedHost(0), countedHost(fleet.dataCentres)
			for range 4 {
				f.move(mover, first)
				f.step()
				f.move(mover, second)
				f.step()
				f.requireAll(t, fleet.hosts, fleet.hosts+2)
			}
			for range int(2 * countTTL / censusInterval) {
				f.step()
			}
			f.requireAll(t, fleet.hosts, fleet.hosts)
		})
	}
}

// TestHostsOfLostRelayStayCounted guards against a number that is too low, which would let the fleet exceed its budgets,
// while a relay is lost and its hosts move to another one.
func TestHostsOfLostRelayStayCounted(t *testing.T) {
	for _, fleet := range []struct{ hosts, dataCentres int }{{19, 4}, {138, 4}, {295, 6}} {
		f := newCountedFleet(fleet.hosts, fleet.dataCentres)
		for range 3 {
			f.step()
		}
		lost, other := countedHost(fleet.dataCentres), countedHost(0)
		delete(f.hosts, lost)
		live := fleet.hosts - 1
		f.step()
		f.requireAll(t, live, 2*fleet.hosts)
		for host, source := range f.source {
			if source == lost {
				f.source[host] = other
			}
		}
		for f.step(); ; f.step() {
			f.requireAll(t, live, 2*fleet.hosts)
			if f.now.Sub(time.Unix(1000, 0)) > slotTTL {
				break
			}
		}
		delete(f.slots, lost) // its lease has ended
		for range 2 * int(countTTL/censusInterval) {
			f.step()
			f.requireAll(t, live, 2*fleet.hosts)
		}
		f.requireAll(t, live, live)
	}
}

// TestLateNoticeOfMoveIsIgnored guards against leaving out a host that has come back before the notice of its move.
func TestLateNoticeOfMoveIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newHostCounter(slotRecord{Host: "relay"})
	c.recordPull("host", pull{Number: 8}, now)
	c.recordMove("host", 7, now)
	require.Equal(t, 2, c.served(nil, now.Add(countTTL)).Hosts)
	c.recordMove("host", 9, now)
	require.Equal(t, 2, c.served(nil, now.Add(moveGrace)).Hosts, "the other relay's census may still be on its way")
	require.Equal(t, 1, c.served(nil, now.Add(moveGrace+time.Second)).Hosts)
}

// TestOldReportIsNotKeptAlive guards against two relays that confirm an old, too high number to each other for ever.
func TestOldReportIsNotKeptAlive(t *testing.T) {
	now := time.Unix(1000, 0)
	slots := map[model.HostID]slotRecord{"a": {Host: "a"}, "b": {Host: "b"}}
	a, b := newHostCounter(slots["a"]), newHostCounter(slots["b"])
	a.recordReport(fleetSize{Hosts: 40}, now)
	for range 20 {
		now = now.Add(censusInterval)
		a.recordCensus("b", b.served(slots, now), now)
		b.recordCensus("a", a.served(slots, now), now)
		b.recordReport(a.total(slots, now), now)
		a.recordReport(b.total(slots, now), now)
	}
	require.Equal(t, 2, a.total(slots, now).Hosts)
	require.Equal(t, 2, b.total(slots, now).Hosts)
}

// TestLargeHostsWithoutSlotHaveEqualBudgets guards against large hosts that execute their callers' queries with the small
// budget of hosts that hand theirs over.
func TestLargeHostsWithoutSlotHaveEqualBudgets(t *testing.T) {
	const hosts = 19
	sum := 0.0
	for range hosts {
		sum += budgetShare(hosts, hosts, true)
	}
	require.InDelta(t, 1, sum, 1e-9)
	d := newDirectory(slotRecord{Host: "h18", Large: true})
	now := time.Unix(1000, 0)
	d.recordReport(fleetSize{Hosts: hosts, Large: hosts}, now)
	require.InDelta(t, 1.0/hosts, d.fleet(now).Part, 1e-9)
}
