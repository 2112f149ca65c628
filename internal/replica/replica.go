// Package replica keeps this host's own evidence about each target and chooses among replicas. It is pure.
package replica

import (
	"math/rand/v2"
	"slices"
	"time"
)

// crowding is the time for which one shed attempt, or a full in-flight limit, counts as a sign of a queue.
const crowding = 250 * time.Millisecond

// avoidance is the time for which a target that refused or failed is chosen only if there is no other. It spans two
// polls of the targets' reports.
const avoidance = 500 * time.Millisecond

// Evidence is what this host knows about one target.
type Evidence struct {
	inFlight
	latencies  Sketch
	avoidUntil time.Duration
	// crowdedUntil is the time until which a queue is taken to form at the target.
	crowdedUntil time.Duration
	// hintSlots and hintInFlight come from the target's report. They lag and may mislead, so they only weigh the draw.
	hintSlots, hintInFlight int
}

// Hint takes a target's report.
func (e *Evidence) Hint(slots, inFlight int) { e.hintSlots, e.hintInFlight = slots, inFlight }

// End takes back the attempt that started at the given time. complete is false if it was cancelled or fell silent: its
// time still counts, because otherwise a straggler whose attempts always lose would have no samples.
func (e *Evidence) End(now, started time.Duration, complete bool) {
	e.Forget(started)
	e.latencies.Add(now, now-started, complete)
}

// Refused takes back an attempt that did not run or broke off, so that its time says nothing about the latency.
func (e *Evidence) Refused(now, started time.Duration) {
	e.Forget(started)
	e.avoidUntil = now + avoidance
}

// Crowd notes a sign that a queue forms at the target.
func (e *Evidence) Crowd(now time.Duration) { e.crowdedUntil = now + crowding }

// Crowded tells whether a queue seems to form at the target, so that it should get no extra attempts.
func (e *Evidence) Crowded(now time.Duration) bool { return now < e.crowdedUntil }

// P95 returns the 95th percentile of the target's latency, 0 if it is not known.
func (e *Evidence) P95(now time.Duration) time.Duration { return e.latencies.P95(now) }

// Candidate is a replica in a choice.
type Candidate struct {
	// Weight is the number of slots that seem free, at least 1.
	Weight int
	// Cost orders the candidates; the lower is better.
	Cost float64
	// Avoid tells that the target refused or failed a short time ago.
	Avoid bool
}

// Candidate returns the target's part in a choice. groupMedian stands in for a latency that is not known.
func (e *Evidence) Candidate(now, groupMedian time.Duration) Candidate {
	latency := e.latencies.Mean(now, groupMedian)
	if latency == 0 {
		latency = max(groupMedian, sketchUnit)
	}
	// An attempt in flight shows a straggler long before its latency is known.
	latency = max(latency, e.oldest(now))
	return Candidate{
		Weight: max(1, e.hintSlots-max(e.hintInFlight, e.InFlight())),
		Cost:   float64(e.InFlight()+1) * float64(latency),
		Avoid:  now < e.avoidUntil,
	}
}

// Choose draws two candidates, weighted by free slots, and returns the position of the better one; -1 if there is none.
func Choose(rng *rand.Rand, candidates []Candidate) int {
	usable := 0
	for _, c := range candidates {
		if !c.Avoid {
			usable++
		}
	}
	avoided := usable == 0 // then all of them are drawn from
	first := draw(rng, candidates, avoided, -1)
	second := draw(rng, candidates, avoided, first)
	if second >= 0 && candidates[second].Cost < candidates[first].Cost {
		return second
	}
	return first
}

// draw returns a random position by weight, other than except; -1 if there is none.
func draw(rng *rand.Rand, candidates []Candidate, avoided bool, except int) int {
	total := 0
	for i, c := range candidates {
		if i != except && c.Avoid == avoided {
			total += c.Weight
		}
	}
	if total == 0 {
		return -1
	}
	at := rng.IntN(total)
	for i, c := range candidates {
		if i == except || c.Avoid != avoided {
			continue
		}
		if at -= c.Weight; at < 0 {
			return i
		}
	}
	return -1
}

// HedgeDelay returns the time after which another replica would probably have answered: the 95th percentile of the
// group, but not more than the median of its targets' own percentiles, because one straggler of three shifts the
// percentile of the group to its own latency. It is fallback if nothing is known.
func HedgeDelay(group time.Duration, targets []time.Duration, fallback time.Duration) time.Duration {
	known := targets[:0]
	for _, p95 := range targets {
		if p95 > 0 {
			known = append(known, p95)
		}
	}
	delay := group
	if len(known) > 0 {
		slices.Sort(known)
		delay = min(delay, known[(len(known)-1)/2])
	}
	if delay <= 0 {
		return fallback
	}
	return delay
}
