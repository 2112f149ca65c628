package control

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"syscall"
	"testing"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// benchCentres returns the data centres of the expected deployment: 13 in 5 regions, or 4 in 4 regions for up to
// 12 hosts, like the current deployment.
func benchCentres(hosts int) []model.DataCentreInfo {
	count, regions := 13, 5
	if hosts <= 12 {
		count, regions = 4, 4
	}
	var centres []model.DataCentreInfo
	for i := range count {
		centres = append(centres, model.DataCentreInfo{
			ID: model.DataCentreID(fmt.Sprintf("dc-%02d", i)), Region: model.RegionID(fmt.Sprintf("region-%d", i%regions)),
		})
	}
	return centres
}

// benchDelay returns the one-way delay: 1 ms within a data centre, 2 ms within a region and 60 ms between regions.
func benchDelay(from, to *simHost) time.Duration {
	switch {
	case from.self.DataCentre == to.self.DataCentre:
		return time.Millisecond
	case from.self.Region == to.self.Region:
		return 2 * time.Millisecond
	}
	return 60 * time.Millisecond
}

type benchRun struct {
	*sim
	b           *testing.B
	partitioned bool // region-0 is partitioned from the other regions
	storeDown   bool // the store does not respond to any host
}

func (r *benchRun) isolated(h *simHost) bool { return r.partitioned && h.self.Region == "region-0" }

func newBenchRun(b *testing.B, hosts int) *benchRun {
	r := &benchRun{sim: newSim(1), b: b}
	r.loss = 0.05
	r.measure = true
	r.delay = benchDelay
	r.linkDown = func(from, to *simHost) bool { return r.isolated(from) != r.isolated(to) }
	r.storeFails = func(h *simHost) bool { return r.storeDown || r.isolated(h) }
	centres := benchCentres(hosts)
	r.accept(dataCentreEdits(centres), true)
	r.addHosts(hosts, centres, true)
	return r
}

// measureSpread accepts a change and returns the time until it is in force on 99.9 % and on 100 % of the hosts
// selected by counts.
func (r *benchRun) measureSpread(counts func(*simHost) bool) (most, all time.Duration) {
	start := r.now
	c := r.accept(hostOutEdit(fmt.Sprint("x", len(r.accepted))), true)
	writer := r.hosts[1] // never in the partitioned region
	writer.node.changeAccepted(r.now-writer.started, c.BasedOn+1, c)
	return r.awaitNewest(start, counts)
}

// awaitNewest waits until the newest generation is in force on the hosts selected by counts.
func (r *benchRun) awaitNewest(start time.Duration, counts func(*simHost) bool) (most, all time.Duration) {
	newest := model.Generation(len(r.accepted))
	for r.now-start < time.Minute {
		r.advance(10*time.Millisecond, nil)
		total, done := 0, 0
		for _, h := range r.hosts {
			if !counts(h) {
				continue
			}
			total++
			if h.node.state.Catalogue.Generation() >= newest {
				done++
			}
		}
		if most == 0 && 1000*done >= 999*total {
			most = r.now - start
		}
		if done == total {
			return most, r.now - start
		}
	}
	r.b.Fatalf("generation %d has not reached every host after one minute", newest)
	return 0, 0
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // getrusage is available on every supported platform
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureSteadyState measures resource use over a period without changes. The suffix is appended to the metric names.
func (r *benchRun) measureSteadyState(d time.Duration, suffix string) {
	for _, h := range r.hosts {
		h.bytes, h.calls = 0, 0
	}
	fenced, samples := 0, 0
	began := processorTime()
	r.advance(d, func() {
		for _, h := range r.hosts {
			samples++
			if h.servesUntil <= r.now {
				fenced++
			}
		}
	})
	used := processorTime() - began
	var bytes, most uint64
	calls := 0
	for _, h := range r.hosts {
		bytes += h.bytes
		most = max(most, h.bytes)
		calls += h.calls
	}
	hostSeconds := float64(len(r.hosts)) * d.Seconds()
	r.b.ReportMetric(float64(bytes)/hostSeconds, "B/host/s"+suffix)
	r.b.ReportMetric(float64(most)/d.Seconds(), "B/s-max"+suffix)
	r.b.ReportMetric(used.Seconds()/hostSeconds*100, "%core/host"+suffix)
	r.b.ReportMetric(float64(calls)/d.Seconds(), "store-calls/s"+suffix)
	r.b.ReportMetric(float64(fenced)/float64(samples), "fenced"+suffix)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func everyHost(*simHost) bool { return true }

// BenchmarkControlPlane simulates the state machines of whole fleets with 5 % frame loss. Times are simulated; byte
// counts include frames in both directions without TCP and IP headers.
func BenchmarkControlPlane(b *testing.B) {
	for _, hosts := range []int{12, 100, 1000, 4600} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				benchmarkFleet(b, hosts)
			}
		})
	}
}

func benchmarkFleet(b *testing.B, hosts int) {
	// At the default GC percentage, the garbage of 4,600 hosts takes more than half of the memory of a small machine.
	defer debug.SetGCPercent(debug.SetGCPercent(30))
	before := heapBytes()
	r := newBenchRun(b, hosts)
	r.advance(20*time.Second, nil) // time for the first fleet table to reach every host
	b.ReportMetric(float64(heapBytes()-before)/float64(hosts)/1024, "KiB/host")
	r.measureSteadyState(10*time.Second, "")
	var worstMost, worstAll time.Duration
	for range 5 {
		most, all := r.measureSpread(everyHost)
		worstMost, worstAll = max(worstMost, most), max(worstAll, all)
		r.advance(time.Second, nil)
	}
	b.ReportMetric(worstMost.Seconds(), "s-99.9%")
	b.ReportMetric(worstAll.Seconds(), "s-100%")
	r.storeDown = true
	r.measureSteadyState(10*time.Second, "-outage")
	r.storeDown = false
	r.advance(5*time.Second, nil)
	r.partitioned = true
	r.advance(15*time.Second, nil)
	_, outside := r.measureSpread(func(h *simHost) bool { return !r.isolated(h) })
	serving := 0
	for _, h := range r.hosts {
		if r.isolated(h) && h.servesUntil > r.now {
			serving++
		}
	}
	r.partitioned = false
	_, rejoined := r.awaitNewest(r.now, everyHost)
	_, after := r.measureSpread(everyHost)
	b.ReportMetric(outside.Seconds(), "s-outside-cut")
	b.ReportMetric(rejoined.Seconds(), "s-rejoined")
	b.ReportMetric(after.Seconds(), "s-after-rejoin")
	b.ReportMetric(float64(serving), "cut-serving")
	b.ReportMetric(0, "ns/op") // wall time is meaningless for a simulation
	runtime.KeepAlive(r)
}

// BenchmarkMembership measures the time until all hosts detect that a host died and that it restarted.
func BenchmarkMembership(b *testing.B) {
	for _, hosts := range []int{12, 100, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				r := newBenchRun(b, hosts)
				r.advance(10*time.Second, nil)
				victim := r.hosts[hosts/2]
				r.stop(victim)
				r.reportAwait("dead", func(m membership.Member) bool { return m.State == membership.Dead }, victim)
				r.start(victim)
				r.reportAwait("back", func(m membership.Member) bool {
					return m.State == membership.Alive && m.Incarnation == model.Incarnation(victim.incarnation)
				}, victim)
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// reportAwait reports the time until the condition on the observed member holds on 99.9 % and on 100 % of the hosts.
func (r *benchRun) reportAwait(name string, holds func(membership.Member) bool, observed *simHost) {
	start := r.now
	most := time.Duration(0)
	for r.now-start < 2*time.Minute {
		r.advance(50*time.Millisecond, nil)
		done := 0
		for _, h := range r.hosts {
			member, _, ok := h.node.members.Lookup(observed.self.ID)
			if h == observed || ok && holds(member) {
				done++
			}
		}
		if most == 0 && 1000*done >= 999*len(r.hosts) {
			most = r.now - start
		}
		if done == len(r.hosts) {
			r.b.ReportMetric(most.Seconds(), "s-"+name+"-99.9%")
			r.b.ReportMetric((r.now - start).Seconds(), "s-"+name+"-100%")
			return
		}
	}
	r.b.Fatalf("condition %q does not hold on every host after two minutes", name)
}
