package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// treeFanout is the number of children of an inner host in a pull tree. With two trees and two pulls a second of each
// host, it answers 16 pulls a second, and 354 hosts need three levels.
const treeFanout = 8

// seeds of the hashes that choose the relays and order the trees.
const relaySeed = "relay/"

var treeSeeds = [configstate.Relays]string{"tree0/", "tree1/"}

func weight(seed string, id model.HostID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(seed) // a digest never fails
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

func compareByWeight(seed string) func(a, b membership.Member) int {
	return func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(weight(seed, a.ID), weight(seed, b.ID)), cmp.Compare(a.ID, b.ID))
	}
}

// topology is a host's place among those of its data centre.
type topology struct {
	// slot is the rank of this host among the relays, or -1.
	slot   int
	relays []membership.Member
	// parents are the hosts to pull from, one for each tree.
	parents []membership.Member
}

// newTopology computes the place of a host. members are those of its data centre, with it. Hosts that leave or are out of
// service are neither relays nor inner hosts, unless there are no others.
func newTopology(self membership.Member, members []membership.Member, out func(model.HostID) bool) topology {
	serving := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.State == membership.Leaving || out(m.ID)
	})
	if len(serving) == 0 {
		serving = slices.Clone(members)
	}
	slices.SortFunc(serving, compareByWeight(relaySeed))
	t := topology{slot: -1, relays: serving[:min(configstate.Relays, len(serving))]}
	t.slot = slices.IndexFunc(t.relays, func(m membership.Member) bool { return m.ID == self.ID })
	if t.slot >= 0 {
		return t
	}
	rest := serving[len(t.relays):]
	for tree := range t.relays {
		t.parents = append(t.parents, parentOf(self, rest, t.relays[tree], treeSeeds[tree]))
	}
	return t
}

// parentOf returns the parent of a host in the tree below a relay.
func parentOf(self membership.Member, rest []membership.Member, relay membership.Member, seed string) membership.Member {
	ordered := slices.Clone(rest)
	slices.SortFunc(ordered, compareByWeight(seed))
	place := slices.IndexFunc(ordered, func(m membership.Member) bool { return m.ID == self.ID })
	if place < treeFanout {
		return relay
	}
	return ordered[(place-treeFanout)/treeFanout]
}

// relaysOf returns the relays of every data centre but one.
func relaysOf(members []membership.Member, without model.DataCentreID) []membership.Member {
	byCentre := map[model.DataCentreID][]membership.Member{}
	for _, m := range members {
		if m.DataCentre == without || m.State == membership.Leaving {
			continue
		}
		best := append(byCentre[m.DataCentre], m)
		slices.SortFunc(best, compareByWeight(relaySeed))
		byCentre[m.DataCentre] = best[:min(configstate.Relays, len(best))]
	}
	var relays []membership.Member
	for _, best := range byCentre {
		relays = append(relays, best...)
	}
	slices.SortFunc(relays, compareByWeight(relaySeed))
	return relays
}
