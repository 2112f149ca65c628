package subset

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func hostIDs(count int) (hosts []model.HostID) {
	for i := range count {
		hosts = append(hosts, model.HostID(fmt.Sprintf("host-%04d", i)))
	}
	return hosts
}

func unitNames(count int) (units []string) {
	for i := range count {
		units = append(units, fmt.Sprintf("parts-g%02d-%d", i/3, i%3))
	}
	return units
}

func loads(a Assignment, hosts []model.HostID) map[model.HostID]int {
	result := map[model.HostID]int{}
	for _, host := range hosts {
		result[host] = 0
	}
	for _, assigned := range a {
		for _, host := range assigned {
			result[host]++
		}
	}
	return result
}

// TestRendezvousIsBoundedAndComplete guards against a unit with too few hosts, a host far above the mean load, and
// hosts that compute different assignments because they learned of the members in a different order.
func TestRendezvousIsBoundedAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostIDs(rapid.IntRange(1, 40).Draw(t, "hosts"))
		units := unitNames(rapid.IntRange(1, 120).Draw(t, "units"))
		cfg := Config{HostsPerUnit: rapid.IntRange(1, 10).Draw(t, "per"), Slack: 0.25}
		a := Rendezvous(cfg, hosts, units)
		per := min(cfg.HostsPerUnit, len(hosts))
		for _, unit := range units {
			require.Len(t, a[unit], per)
			require.Len(t, slices.Compact(slices.Sorted(slices.Values(a[unit]))), per)
		}
		mean := float64(len(units)*per) / float64(len(hosts))
		for _, load := range loads(a, hosts) {
			require.LessOrEqual(t, float64(load), mean*1.25+1+float64(per))
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		rng.Shuffle(len(units), func(i, j int) { units[i], units[j] = units[j], units[i] })
		require.Equal(t, a, Rendezvous(cfg, hosts, units))
		for _, load := range loads(OneUnitPerHost(0.25, hosts, units), hosts) {
			require.Equal(t, 1, load)
		}
	})
}

// TestConnectionLimitHolds guards against hosts that together open more connections than a target accepts.
func TestConnectionLimitHolds(t *testing.T) {
	require.Equal(t, 4, ConnectionsPerHost(50, 12))
	for limit := 2; limit < 200; limit++ {
		for hosts := 1; hosts < 40; hosts++ {
			require.LessOrEqual(t, hosts*ConnectionsPerHost(limit, hosts), limit)
		}
	}
}

// countMoved returns the number of pairs of a unit and a host in after that are not in before.
func countMoved(before, after Assignment) (count int) {
	for unit, hosts := range after {
		for _, host := range hosts {
			if !slices.Contains(before[unit], host) {
				count++
			}
		}
	}
	return count
}

// TestLeavingHostMovesFewConnections guards against an assignment that moves most connections when one host leaves.
func TestLeavingHostMovesFewConnections(t *testing.T) {
	hosts, units, cfg := hostIDs(12), unitNames(150), Config{HostsPerUnit: 4, Slack: 0.25}
	before := Rendezvous(cfg, hosts, units)
	for _, host := range hosts {
		rest := slices.DeleteFunc(slices.Clone(hosts), func(h model.HostID) bool { return h == host })
		require.Less(t, countMoved(before, Rendezvous(cfg, rest, units)), 2*len(before.Units(host)))
	}
}

// BenchmarkAssign reports, for each algorithm and size, the highest and lowest number of units per host relative to the
// mean, and the number of pairs that move when one host leaves relative to the pairs of that host (1 is the minimum).
func BenchmarkAssign(b *testing.B) {
	algorithms := []struct {
		name   string
		slack  float64
		assign func(Config, []model.HostID, []string) Assignment
	}{
		{"rendezvous-unbounded", 1, Rendezvous}, {"rendezvous-0.25", 0.25, Rendezvous},
		{"rendezvous-0.10", 0.1, Rendezvous}, {"chunks", 0, ShuffledChunks},
		{"one-per-host-0.10", 0.1, oneUnitPerHost}, {"one-per-host-0.02", 0.02, oneUnitPerHost},
	}
	sizes := []struct {
		hosts, units, per int
		unitKind          string
	}{{12, 150, 4, "targets"}, {4600, 31000, 30, "targets"}, {4600, 169, 27, "indexes"}}
	for _, size := range sizes {
		hosts, units := hostIDs(size.hosts), unitNames(size.units)
		for _, algorithm := range algorithms {
			if size.units > size.hosts && strings.HasPrefix(algorithm.name, "one-per-host") {
				continue // with one unit per host, some units would have no host
			}
			name := fmt.Sprintf("hosts=%d/%s=%d/%s", size.hosts, size.unitKind, size.units, algorithm.name)
			b.Run(name, func(b *testing.B) {
				cfg := Config{HostsPerUnit: size.per, Slack: algorithm.slack}
				var a Assignment
				for b.Loop() {
					a = algorithm.assign(cfg, hosts, units)
				}
				reportMetrics(b, a, hosts, algorithm.assign(cfg, hosts[1:], units))
			})
		}
	}
}

func oneUnitPerHost(cfg Config, hosts []model.HostID, units []string) Assignment {
	return OneUnitPerHost(cfg.Slack, hosts, units)
}

func reportMetrics(b *testing.B, a Assignment, hosts []model.HostID, afterLeaving Assignment) {
	load := loads(a, hosts)
	highest, lowest, sum := 0, len(a), 0
	for _, units := range load {
		highest, lowest, sum = max(highest, units), min(lowest, units), sum+units
	}
	mean := float64(sum) / float64(len(hosts))
	fewest, most := len(hosts), 0
	for _, assigned := range a {
		fewest, most = min(fewest, len(assigned)), max(most, len(assigned))
	}
	b.ReportMetric(float64(highest)/mean, "max/mean")
	b.ReportMetric(float64(lowest)/mean, "min/mean")
	b.ReportMetric(float64(fewest), "fewest-hosts")
	b.ReportMetric(float64(most), "most-hosts")
	b.ReportMetric(float64(countMoved(a, afterLeaving))/float64(max(1, load[hosts[0]])), "moved/least")
}
