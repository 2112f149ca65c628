// Package subset decides which hosts connect to which targets when all hosts together would exceed the targets'
// connection limits. The unit of assignment is a set of targets that a host uses together: a replica group or a whole
// index. The package is pure and deterministic: all hosts compute the same assignment from the same members.
package subset

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Config describes an assignment.
type Config struct {
	// HostsPerUnit is the number of hosts that connect to each unit: the connection limit of a target divided by the
	// connections that each host needs.
	HostsPerUnit int
	// Slack is the fraction by which the number of units of a host may exceed the mean, for instance 0.1. Less slack
	// improves the balance but moves more units when a host leaves.
	Slack float64
}

// Validate returns an error that names the first invalid field.
func (c Config) Validate() error {
	if c.HostsPerUnit < 1 {
		return fmt.Errorf("hosts per unit is %d, must be at least 1", c.HostsPerUnit)
	}
	if c.Slack < 0 || c.Slack > 1 || math.IsNaN(c.Slack) {
		return fmt.Errorf("slack is %g, must be between 0 and 1", c.Slack)
	}
	return nil
}

// Assignment maps each unit to its hosts in order of preference.
type Assignment map[string][]model.HostID

// Units returns the sorted units of a host.
func (a Assignment) Units(host model.HostID) []string {
	var units []string
	for unit, hosts := range a {
		if slices.Contains(hosts, host) {
			units = append(units, unit)
		}
	}
	slices.Sort(units)
	return units
}

// ConnectionsPerHost returns the number of connections that each host may open to a target, so that all hosts of the
// target together stay within its connection limit.
func ConnectionsPerHost(limit, hosts int) int {
	if hosts < 1 {
		return limit
	}
	return limit / hosts
}

// Rendezvous assigns each unit to the hosts with the highest rendezvous scores, skipping hosts that have reached the
// maximum load. Units are processed in the order of their hashes, so that no name is favoured.
func Rendezvous(cfg Config, hosts []model.HostID, units []string) Assignment {
	r := newRendezvous(cfg, hosts, len(units))
	ordered := hashUnits(units)
	slices.SortFunc(ordered, func(a, b hashedUnit) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	result := make(Assignment, len(units))
	for _, unit := range ordered {
		result[unit.name] = r.assign(unit.hash)
	}
	return result
}

// OneUnitPerHost assigns one unit to each host: the one with the highest rendezvous score that has not reached the
// maximum load. It suits fleets with more hosts than units, where Rendezvous would leave some hosts without a unit and
// give others two.
func OneUnitPerHost(slack float64, hosts []model.HostID, units []string) Assignment {
	var hostNames []string
	for _, host := range hosts {
		hostNames = append(hostNames, string(host))
	}
	// Rendezvous is called with the roles of hosts and units exchanged.
	var unitIDs []model.HostID
	for _, unit := range units {
		unitIDs = append(unitIDs, model.HostID(unit))
	}
	result := make(Assignment, len(units))
	unitsByHost := Rendezvous(Config{HostsPerUnit: 1, Slack: slack}, unitIDs, hostNames)
	for _, host := range slices.Sorted(slices.Values(hostNames)) {
		for _, unit := range unitsByHost[host] {
			result[string(unit)] = append(result[string(unit)], model.HostID(host))
		}
	}
	return result
}

type hashedUnit struct {
	name string
	hash uint64
}

func hashUnits(units []string) []hashedUnit {
	result := make([]hashedUnit, len(units))
	for i, unit := range units {
		result[i] = hashedUnit{unit, xxhash.Sum64String(unit)}
	}
	return result
}

// rendezvous is the state of an assignment in progress.
type rendezvous struct {
	hosts        []model.HostID
	hashes       []uint64
	load         []int
	hostsPerUnit int
	maxLoad      int
	candidates   []scoredHost
}

type scoredHost struct {
	score uint64
	host  int
}

func newRendezvous(cfg Config, hosts []model.HostID, units int) *rendezvous {
	r := &rendezvous{hosts: slices.Sorted(slices.Values(hosts)), load: make([]int, len(hosts))}
	r.hostsPerUnit = min(cfg.HostsPerUnit, len(hosts))
	if len(hosts) > 0 {
		mean := float64(units*r.hostsPerUnit) / float64(len(hosts))
		r.maxLoad = int(math.Ceil(mean * (1 + cfg.Slack)))
	}
	for _, host := range r.hosts {
		r.hashes = append(r.hashes, xxhash.Sum64String(string(host)))
	}
	return r
}

// assign returns the hosts of one unit. If too few hosts are below the maximum load, those with the highest scores
// among the others are added, so that every unit gets its number of hosts.
func (r *rendezvous) assign(unit uint64) []model.HostID {
	r.candidates = r.candidates[:0]
	for host, hash := range r.hashes {
		if r.load[host] < r.maxLoad {
			r.insertCandidate(scoredHost{combineHashes(hash, unit), host})
		}
	}
	if len(r.candidates) < r.hostsPerUnit {
		for host, hash := range r.hashes {
			if r.load[host] >= r.maxLoad {
				r.insertCandidate(scoredHost{combineHashes(hash, unit), host})
			}
		}
	}
	chosen := make([]model.HostID, len(r.candidates))
	for i, s := range r.candidates {
		r.load[s.host]++
		chosen[i] = r.hosts[s.host]
	}
	return chosen
}

// insertCandidate adds the candidate if its score is among the highest so far. The candidates are sorted by descending
// score.
func (r *rendezvous) insertCandidate(candidate scoredHost) {
	if len(r.candidates) == r.hostsPerUnit {
		if candidate.score <= r.candidates[r.hostsPerUnit-1].score {
			return
		}
		r.candidates = r.candidates[:r.hostsPerUnit-1]
	}
	at, _ := slices.BinarySearchFunc(r.candidates, candidate, func(a, b scoredHost) int { return cmp.Compare(b.score, a.score) })
	r.candidates = slices.Insert(r.candidates, at, candidate)
}

// combineHashes combines two hashes into one whose 64 bits are well distributed.
func combineHashes(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
