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
	// fleetInterval is the shortest time between two writes of the fleet table.
	fleetInterval = 2 * time.Second
	// fleetPatience is the time that each further relay gives those before it to write the table.
	fleetPatience = 10 * time.Second
	// deadBeforeRemoval is the time that a host has to be dead before its shares go to others.
	deadBeforeRemoval = 30 * time.Second
	// maxFleetChange bounds the hosts that one write adds or removes, so that the change stays inline in the head.
	maxFleetChange = 64
)

// fleetWriter keeps the table of share-owning hosts up to date. The first relay of the fleet writes it.
type fleetWriter struct {
	known    bool // the key has been read
	revision store.Revision
	value    []byte
	writing  bool
	next     time.Duration
	// wanted is since when the table has differed from the members, while it does.
	wanted   time.Duration
	isWanted bool
}

// tickFleet writes the table if it is this host's turn and the table has to change.
func (n *node) tickFleet(now time.Duration) {
	w := &n.fleet
	if now < w.next || w.writing || !w.known || !n.relayServes(now) {
		return
	}
	w.next = now + fleetInterval
	change := n.fleetChange(now)
	if len(change.Put)+len(change.Remove) == 0 {
		w.isWanted = false
		return
	}
	if !w.isWanted {
		w.isWanted = true
		w.wanted = now
	}
	if now-w.wanted < time.Duration(n.fleetRank())*fleetPatience {
		return
	}
	write, err := n.nextFleet(change)
	if err != nil {
		n.failed++
		return
	}
	w.writing = true
	n.out.fleet = &write
}

// fleetRank is the place of this relay among all relays: the others wait for the first.
func (n *node) fleetRank() int {
	relays := append(slices.Clone(n.foreign), n.topology.relays...)
	slices.SortFunc(relays, compareByWeight(relaySeed))
	return slices.IndexFunc(relays, func(m membership.Member) bool { return m.ID == n.members.Self().ID })
}

// fleetChange returns what the table lacks and what it has too much.
func (n *node) fleetChange(now time.Duration) configstate.FleetChange {
	table := n.state.Fleet.Document().Hosts
	byID := make(map[model.HostID]configstate.FleetHost, len(table))
	for _, host := range table {
		byID[host.ID] = host
	}
	var change configstate.FleetChange
	centres := map[model.DataCentreID]bool{}
	for _, member := range n.members.Members() {
		host := configstate.FleetHost{ID: member.ID, Address: member.Address, DataCentre: member.DataCentre, Region: member.Region}
		proven := member.State == membership.Alive && (member.Incarnation > 0)
		if proven && byID[member.ID] != host {
			change.Put = append(change.Put, host)
		}
		if member.State == membership.Alive {
			centres[member.DataCentre] = true
		}
	}
	change.Remove = n.deadHosts(now, table, centres)
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

// deadHosts returns the hosts of the table that have been dead for long. A relay that sees no majority of the data
// centres alive may itself be cut off from them, and removes nobody.
func (n *node) deadHosts(now time.Duration, table []configstate.FleetHost, alive map[model.DataCentreID]bool) []model.HostID {
	centres := map[model.DataCentreID]bool{}
	var dead []model.HostID
	for _, host := range table {
		centres[host.DataCentre] = true
		member, since, known := n.members.Lookup(host.ID)
		if len(dead) < maxFleetChange && known && member.State == membership.Dead && now-since >= deadBeforeRemoval {
			dead = append(dead, host.ID)
		}
	}
	seen := 0
	for centre := range centres {
		if alive[centre] {
			seen++
		}
	}
	if 2*seen <= len(centres) {
		return nil
	}
	return dead
}

// nextFleet builds the next value of the key fleet from the value that was read last.
func (n *node) nextFleet(change configstate.FleetChange) (fleetWrite, error) {
	format := configstate.FleetFormat()
	var head configstate.Head[configstate.FleetChange]
	if n.fleet.revision > 0 {
		var err error
		if head, err = configstate.DecodeHead[configstate.FleetChange](n.fleet.value); err != nil {
			return fleetWrite{}, err
		}
	}
	if head.Generation != n.state.Fleet.Generation() {
		return fleetWrite{}, fmt.Errorf("fleet table of generation %d is not applied yet", head.Generation)
	}
	id := fmt.Sprintf("%s-%d-%d", n.members.Self().ID, n.members.Self().Incarnation, head.Generation+1)
	proposal, err := format.Next(head, n.state.Fleet.Document(), id, change)
	if err != nil {
		return fleetWrite{}, err
	}
	value, err := proposal.Head.Encode()
	return fleetWrite{expected: n.fleet.revision, value: value, segments: proposal.Segments}, err
}

// fleetWritten takes the outcome of a write. Whatever it was, the next read shows the table in force.
func (n *node) fleetWritten() {
	n.fleet.writing = false
	n.fleet.known = false
}
