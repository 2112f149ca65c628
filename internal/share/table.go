package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// allOwnersLimit is the fleet size up to which every host owns a share of every key.
	allOwnersLimit = 16
	// ownersPerRegion is the number of owners of a key in each region of a larger fleet.
	ownersPerRegion = 2
)

// TableHost is a host that owns shares.
type TableHost struct {
	ID     model.HostID
	Region model.RegionID
}

// Table lists the hosts that own shares. The generations of successive tables differ by one.
type Table struct {
	Generation uint64
	Hosts      []TableHost
}

// heldTable is a current or former table of this host.
type heldTable struct {
	generation uint64
	hosts      []hashedHost
	// replacedAt is the time at which the host received a newer table, or never.
	replacedAt time.Duration
	// confirmedEmpty is set if it was confirmed that no table existed yet.
	confirmedEmpty bool
}

type hashedHost struct {
	TableHost
	hash uint64
}

const never = time.Duration(math.MaxInt64)

func newHeldTable(table Table) heldTable {
	held := heldTable{generation: table.Generation, replacedAt: never}
	for _, host := range table.Hosts {
		held.hosts = append(held.hosts, hashedHost{host, xxhash.Sum64String(string(host.ID))})
	}
	return held
}

func (t heldTable) contains(host model.HostID) bool {
	return slices.ContainsFunc(t.hosts, func(h hashedHost) bool { return h.ID == host })
}

// mixHashes combines two hashes into one of 64 bits, using the finalizer of MurmurHash3.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// owners returns the hosts that own the key, ordered by rendezvous score.
func (t heldTable) owners(key Key) []model.HostID {
	keyHash := xxhash.Sum64String(string(key.Kind) + "/" + key.ID)
	ranked := make([]hashedHost, len(t.hosts))
	for i, host := range t.hosts {
		ranked[i] = hashedHost{host.TableHost, mixHashes(host.hash, keyHash)}
	}
	slices.SortFunc(ranked, func(a, b hashedHost) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.ID, b.ID))
	})
	perRegion := len(ranked)
	if len(ranked) > allOwnersLimit {
		perRegion = ownersPerRegion
	}
	chosen := map[model.RegionID]int{}
	var owners []model.HostID
	for _, host := range ranked {
		if key.Kind == Cold && len(owners) == 1 {
			break
		}
		if chosen[host.Region] < perRegion {
			chosen[host.Region]++
			owners = append(owners, host.ID)
		}
	}
	return owners
}

// ownerShare returns the share of the owner at a position. Units are divided into whole numbers; the first owners
// get one more if there is a remainder.
func ownerShare(kind Kind, grant float64, position, owners int) float64 {
	if position < 0 {
		return 0
	}
	if !kind.isUnits() {
		return grant / float64(owners)
	}
	whole := int(grant)
	units := whole / owners
	if position < whole%owners {
		units++
	}
	return float64(units)
}
