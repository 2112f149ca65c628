// Package subset decides which hosts connect to which targets when there are too many hosts for every target's
// connection limit. The unit of assignment is a set of targets that a host uses together: a group of replicas, or a whole
// index. It is pure and deterministic: every host computes the same assignment from the same members.
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
	// connections that a host needs.
	HostsPerUnit int
	// Slack is the part by which a host may have more units than the mean, for instance 0.1. Less slack balances better
	// and moves more when a host leaves.
	Slack float64
}

// Validate returns an error that names the faulty field.
func (c Config) Validate() error {
	if c.HostsPerUnit < 1 {
		return fmt.Errorf("hosts per unit is %d: use at least 1", c.HostsPerUnit)
	}
	if c.Slack < 0 || c.Slack > 1 || math.IsNaN(c.Slack) {
		return fmt.Errorf("slack is %g: use 0 to 1", c.Slack)
	}
	return nil
}

// Assignment lists the hosts of each unit, ordered by preference.
type Assignment map[string][]model.HostID

// Units returns the units of a host in order.
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

// ConnectionsPerHost returns the number of connections that each host may open to a target with a connection limit, so
// that the limit holds for all hosts of the target together.
func ConnectionsPerHost(limit, hosts int) int {
	if hosts < 1 {
		return limit
	}
	return limit / hosts
}

// Rendezvous assigns each unit to the hosts with its highest rendezvous scores, passing over hosts that have reached the
// bound. Units are served in an order of their hashes, so that no name is preferred.
func Rendezvous(cfg Config, hosts []model.HostID, units []string) Assignment {
	r := newRendezvous(cfg, hosts, len(units))
	ordered := hashed(units)
	slices.SortFunc(ordered, func(a, b hashedUnit) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	result := make(Assignment, len(units))
	for _, unit := range ordered {
		result[unit.name] = r.assign(unit.hash)
	}
	return result
}

// Homes gives each host one unit: the one with the highest rendezvous score that has not reached the bound. It suits a
// fleet with more hosts than units, where Rendezvous would leave hosts without a unit and give others two.
func Homes(slack float64, hosts []model.HostID, units []string) Assignment {
	var choosers []string
	for _, host := range hosts {
		choosers = append(choosers, string(host))
	}
	var chosen []model.HostID
	for _, unit := range units {
		chosen = append(chosen, model.HostID(unit))
	}
	result := make(Assignment, len(units))
	swapped := Rendezvous(Config{HostsPerUnit: 1, Slack: slack}, chosen, choosers)
	for _, host := range slices.Sorted(slices.Values(choosers)) {
		for _, unit := range swapped[host] {
			result[string(unit)] = append(result[string(unit)], model.HostID(host))
		}
	}
	return result
}

type hashedUnit struct {
	name string
	hash uint64
}

func hashed(units []string) []hashedUnit {
	result := make([]hashedUnit, len(units))
	for i, unit := range units {
		result[i] = hashedUnit{unit, xxhash.Sum64String(unit)}
	}
	return result
}

// rendezvous is an assignment in progress.
type rendezvous struct {
	hosts  []model.HostID
	hashes []uint64
	load   []int
	per    int
	bound  int
	best   []scored
}

type scored struct {
	score uint64
	host  int
}

func newRendezvous(cfg Config, hosts []model.HostID, units int) *rendezvous {
	r := &rendezvous{hosts: slices.Sorted(slices.Values(hosts)), load: make([]int, len(hosts))}
	r.per = min(cfg.HostsPerUnit, len(hosts))
	if len(hosts) > 0 {
		mean := float64(units*r.per) / float64(len(hosts))
		r.bound = int(math.Ceil(mean * (1 + cfg.Slack)))
	}
	for _, host := range r.hosts {
		r.hashes = append(r.hashes, xxhash.Sum64String(string(host)))
	}
	return r
}

// assign returns the hosts of one unit. When fewer hosts than needed are below the bound, the others of the highest
// scores make up for them, so that every unit has its number of hosts.
func (r *rendezvous) assign(unit uint64) []model.HostID {
	r.best = r.best[:0]
	for host, hash := range r.hashes {
		if r.load[host] < r.bound {
			r.offer(scored{mix(hash, unit), host})
		}
	}
	if len(r.best) < r.per {
		for host, hash := range r.hashes {
			if r.load[host] >= r.bound {
				r.offer(scored{mix(hash, unit), host})
			}
		}
	}
	chosen := make([]model.HostID, len(r.best))
	for i, s := range r.best {
		r.load[s.host]++
		chosen[i] = r.hosts[s.host]
	}
	return chosen
}

// offer keeps the candidate if it is among the highest scores so far. best is ordered, the highest first.
func (r *rendezvous) offer(candidate scored) {
	if len(r.best) == r.per {
		if candidate.score <= r.best[r.per-1].score {
			return
		}
		r.best = r.best[:r.per-1]
	}
	at, _ := slices.BinarySearchFunc(r.best, candidate, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	r.best = slices.Insert(r.best, at, candidate)
}

// mix spreads the combination of two hashes over 64 bits.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
