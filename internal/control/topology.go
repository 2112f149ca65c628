package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// treeFanout is the number of children of an inner node in a pull tree; 354 hosts need three levels. Each host pulls
// twice a second, alternating between its two trees, so an inner node answers 8 pulls a second.
const treeFanout = 8

// Hash seeds for selecting the relays and ordering the pull trees.
const (
	relaySeed = "relay/"
	treeSeed  = "tree/"
)

func hashWeight(seed string, id model.HostID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(seed) // never returns an error
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

func compareByWeight(seed string) func(a, b membership.Member) int {
	return func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(hashWeight(seed, a.ID), hashWeight(seed, b.ID)), cmp.Compare(a.ID, b.ID))
	}
}

// topology is a host's position within its data centre.
type topology struct {
	// slot is the rank of this host among the relays, or -1 if it is not a relay.
	slot   int
	relays []membership.Member
	// parents are the hosts to pull from, one for each tree.
	parents []membership.Member
}

// newTopology computes the position of a host. members are the hosts of its data centre, including itself. Hosts that
// are leaving or out of service become neither relays nor inner nodes, unless there are no others.
func newTopology(self membership.Member, members []membership.Member, out func(model.HostID) bool) topology {
	serving := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.State == membership.Leaving || out(m.ID)
	})
	if len(serving) == 0 {
		serving = slices.Clone(members)
	}
	slices.SortFunc(serving, compareByWeight(relaySeed))
	t := topology{slot: -1, relays: serving[:min(configstate.RelaysPerDataCentre, len(serving))]}
	t.slot = slices.IndexFunc(t.relays, func(m membership.Member) bool { return m.ID == self.ID })
	if t.slot >= 0 {
		return t
	}
	ordered := serving[len(t.relays):]
	slices.SortFunc(ordered, compareByWeight(treeSeed))
	for _, relay := range t.relays {
		t.parents = append(t.parents, parentOf(self, ordered, relay))
		// The second tree uses the reverse order, so that no host is an inner node in both.
		slices.Reverse(ordered)
	}
	return t
}

// parentOf returns the parent of a host in the tree formed by the ordered hosts below a relay.
func parentOf(self membership.Member, ordered []membership.Member, relay membership.Member) membership.Member {
	place := slices.IndexFunc(ordered, func(m membership.Member) bool { return m.ID == self.ID })
	if place < treeFanout {
		return relay
	}
	return ordered[(place-treeFanout)/treeFanout]
}

// relaysOutside returns the relays of all data centres except one.
func relaysOutside(members []membership.Member, excluded model.DataCentreID) []membership.Member {
	byCentre := map[model.DataCentreID][]membership.Member{}
	for _, m := range members {
		if m.DataCentre == excluded || m.State == membership.Leaving {
			continue
		}
		ranked := append(byCentre[m.DataCentre], m)
		slices.SortFunc(ranked, compareByWeight(relaySeed))
		byCentre[m.DataCentre] = ranked[:min(configstate.RelaysPerDataCentre, len(ranked))]
	}
	var relays []membership.Member
	for _, ranked := range byCentre {
		relays = append(relays, ranked...)
	}
	slices.SortFunc(relays, compareByWeight(relaySeed))
	return relays
}
