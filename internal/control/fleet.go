package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// minFleetWriteInterval is the minimum time between two writes of the fleet table.
	minFleetWriteInterval = 2 * time.Second
	// fleetTakeoverDelay is how long each relay waits per higher-ranked relay before it writes the table itself.
	fleetTakeoverDelay = 10 * time.Second
	// deadHostRemovalDelay is how long a host must be dead before its shares are reassigned.
	deadHostRemovalDelay = 30 * time.Second
	// maxFleetChange bounds the hosts added or removed by one write, so that the change fits inline in the head.
	maxFleetChange = 64
)

// fleetWriter maintains the fleet table, which lists the hosts that own shares. The highest-ranked relay writes it.
type fleetWriter struct {
	loaded    bool // the key fleet has been read
	revision  store.Revision
	value     []byte
	writing   bool
	nextWrite time.Duration
	// differsSince is when the table started to differ from the membership; valid only while differs is set.
	differsSince time.Duration
	differs      bool
}

// tickFleet writes the table if it has to change and it is this host's turn to write.
func (n *node) tickFleet(now time.Duration) {
	w := &n.fleet
	if now < w.nextWrite || w.writing || !w.loaded || !n.relayIsCurrent(now) {
		return
	}
	w.nextWrite = now + minFleetWriteInterval
	change := n.fleetChange(now)
	if len(change.Put)+len(change.Remove) == 0 {
		w.differs = false
		return
	}
	if !w.differs {
		w.differs = true
		w.differsSince = now
	}
	if now-w.differsSince < time.Duration(n.fleetWriterRank())*fleetTakeoverDelay {
		return
	}
	write, err := n.buildFleetWrite(change)
	if err != nil {
		n.applyFailures++
		return
	}
	w.writing = true
	n.out.fleet = &write
}

// fleetWriterRank returns the rank of this relay among all relays. The relay of rank 0 writes first; the others take
// over after a delay.
func (n *node) fleetWriterRank() int {
	relays := append(slices.Clone(n.remoteRelays), n.topology.relays...)
	slices.SortFunc(relays, compareByWeight(relaySeed))
	return slices.IndexFunc(relays, func(m membership.Member) bool { return m.ID == n.members.Self().ID })
}

// fleetChange returns the difference between the fleet table and the membership.
func (n *node) fleetChange(now time.Duration) configstate.FleetChange {
	table := n.state.Fleet.Document().Hosts
	byID := make(map[model.HostID]configstate.FleetHost, len(table))
	for _, host := range table {
		byID[host.ID] = host
	}
	var change configstate.FleetChange
	aliveCentres := map[model.DataCentreID]bool{}
	for _, member := range n.members.Members() {
		host := configstate.FleetHost{ID: member.ID, Address: member.Address, DataCentre: member.DataCentre, Region: member.Region}
		// Incarnation 0 comes from the host list: the host itself has not been heard from.
		confirmed := member.State == membership.Alive && member.Incarnation > 0
		if confirmed && byID[member.ID] != host {
			change.Put = append(change.Put, host)
		}
		if member.State == membership.Alive {
			aliveCentres[member.DataCentre] = true
		}
	}
	change.Remove = n.deadHosts(now, table, aliveCentres)
	slices.SortFunc(change.Put, func(a, b configstate.FleetHost) int { return compareIDs(a.ID, b.ID) })
	if len(table) > 0 {
		change.Put = change.Put[:min(len(change.Put), maxFleetChange)]
	}
	return change
}

func compareIDs(a, b model.HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// deadHosts returns the hosts of the table that have been dead for at least deadHostRemovalDelay. A relay that sees
// no live member in a majority of the data centres may itself be partitioned, and returns none.
func (n *node) deadHosts(now time.Duration, table []configstate.FleetHost, alive map[model.DataCentreID]bool) []model.HostID {
	centres := map[model.DataCentreID]bool{}
	var dead []model.HostID
	for _, host := range table {
		centres[host.DataCentre] = true
		member, since, known := n.members.Lookup(host.ID)
		if len(dead) < maxFleetChange && known && member.State == membership.Dead && now-since >= deadHostRemovalDelay {
			dead = append(dead, host.ID)
		}
	}
	reachable := 0
	for centre := range centres {
		if alive[centre] {
			reachable++
		}
	}
	if 2*reachable <= len(centres) {
		return nil
	}
	return dead
}

// buildFleetWrite builds the next value of the key fleet from the last value read.
func (n *node) buildFleetWrite(change configstate.FleetChange) (fleetWrite, error) {
	format := configstate.FleetFormat()
	var head configstate.Head[configstate.FleetChange]
	if n.fleet.revision > 0 {
		var err error
		if head, err = configstate.DecodeHead[configstate.FleetChange](n.fleet.value); err != nil {
			return fleetWrite{}, err
		}
	}
	if head.Generation != n.state.Fleet.Generation() {
		return fleetWrite{}, fmt.Errorf("fleet table generation %d has not been applied yet", head.Generation)
	}
	id := fmt.Sprintf("%s-%d-%d", n.members.Self().ID, n.members.Self().Incarnation, head.Generation+1)
	proposal, err := format.Next(head, n.state.Fleet.Document(), id, change)
	if err != nil {
		return fleetWrite{}, err
	}
	value, err := proposal.Head.Encode()
	return fleetWrite{expected: n.fleet.revision, value: value, segments: proposal.Segments}, err
}

// fleetWritten handles the completion of a write. It ignores the outcome: the next read returns the current table.
func (n *node) fleetWritten() {
	n.fleet.writing = false
	n.fleet.loaded = false
}
