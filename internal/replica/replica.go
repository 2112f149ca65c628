// Package replica keeps this host's statistics about each target and chooses among replicas. It performs no I/O and reads
// no clock: callers pass in the current time.
package replica

import (
	"math/rand/v2"
	"slices"
	"time"
)

// crowdedDuration is how long a shed attempt or a full in-flight limit indicates a queue at the target.
const crowdedDuration = 250 * time.Millisecond

// avoidDuration is how long a target that refused or failed is chosen only if there is no other. It covers two polls of the
// targets' reports.
const avoidDuration = 500 * time.Millisecond

// TargetStats holds this host's statistics about one target.
type TargetStats struct {
	inFlight
	latencies  LatencyHistogram
	avoidUntil time.Duration
	// crowdedUntil is the time until which a queue at the target is assumed.
	crowdedUntil time.Duration
	// reportedSlots and reportedInFlight come from the target's report. Reports lag and may be wrong, so they only
	// weight the random choice.
	reportedSlots, reportedInFlight int
}

// RecordReport records the target's report of its slots and requests in flight.
func (s *TargetStats) RecordReport(slots, inFlight int) {
	s.reportedSlots, s.reportedInFlight = slots, inFlight
}

// RecordEnd records the end of the attempt that started at the given time. complete is false if it was cancelled or got
// no reply. Its duration still counts, because otherwise a slow target whose attempts are always superseded by hedges would
// have no samples.
func (s *TargetStats) RecordEnd(now, started time.Duration, complete bool) {
	s.Remove(started)
	s.latencies.Add(now, now-started, complete)
}

// RecordRefusal records the end of an attempt that did not run or was aborted, so that its duration is no latency sample.
// The target is then avoided for some time.
func (s *TargetStats) RecordRefusal(now, started time.Duration) {
	s.Remove(started)
	s.avoidUntil = now + avoidDuration
}

// MarkCrowded records an indication of a queue at the target.
func (s *TargetStats) MarkCrowded(now time.Duration) { s.crowdedUntil = now + crowdedDuration }

// IsCrowded reports whether a queue at the target is assumed, in which case it should receive no extra attempts.
func (s *TargetStats) IsCrowded(now time.Duration) bool { return now < s.crowdedUntil }

// P95 returns the 95th percentile of the target's latency, 0 if it is unknown.
func (s *TargetStats) P95(now time.Duration) time.Duration { return s.latencies.P95(now) }

// Candidate is a replica to choose from.
type Candidate struct {
	// Weight is the estimated number of free slots, at least 1.
	Weight int
	// Cost is the expected cost of an attempt; lower is better.
	Cost float64
	// Avoid means that the target is chosen only if there are no other candidates, for example because it refused or
	// failed recently.
	Avoid bool
}

// Candidate returns the target as a candidate for Choose. groupMedian replaces an unknown latency.
func (s *TargetStats) Candidate(now, groupMedian time.Duration) Candidate {
	latency := s.latencies.Mean(now, groupMedian)
	if latency == 0 {
		latency = max(groupMedian, histogramUnit)
	}
	// The age of an attempt in flight reveals a slow target long before its latency is known.
	latency = max(latency, s.oldest(now))
	return Candidate{
		Weight: max(1, s.reportedSlots-max(s.reportedInFlight, s.InFlight())),
		Cost:   float64(s.InFlight()+1) * float64(latency),
		Avoid:  now < s.avoidUntil,
	}
}

// Choose picks two random candidates, weighted by free slots, and returns the index of the one with the lower cost. It
// returns -1 if there are no candidates. Candidates to avoid are considered only if there are no others.
func Choose(rng *rand.Rand, candidates []Candidate) int {
	usable := 0
	for _, c := range candidates {
		if !c.Avoid {
			usable++
		}
	}
	onlyAvoided := usable == 0
	first := pickWeighted(rng, candidates, onlyAvoided, -1)
	second := pickWeighted(rng, candidates, onlyAvoided, first)
	if second >= 0 && candidates[second].Cost < candidates[first].Cost {
		return second
	}
	return first
}

// pickWeighted returns the index of a random candidate, by weight, of those with the given Avoid value, other than except.
// It returns -1 if there is none.
func pickWeighted(rng *rand.Rand, candidates []Candidate, avoided bool, except int) int {
	total := 0
	for i, c := range candidates {
		if i != except && c.Avoid == avoided {
			total += c.Weight
		}
	}
	if total == 0 {
		return -1
	}
	remaining := rng.IntN(total)
	for i, c := range candidates {
		if i == except || c.Avoid != avoided {
			continue
		}
		if remaining -= c.Weight; remaining < 0 {
			return i
		}
	}
	return -1
}

// HedgeDelay returns the delay after which another replica would probably have answered. It is the 95th percentile of the
// group, but at most the median of the 95th percentiles of its targets, because a single slow target of three shifts the
// percentile of the group to its own latency. It returns fallback if no latencies are known. The elements
// of targets are overwritten.
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
