package replica

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the latency estimate of a target.
	latencyWeight = 0.3
	// estimateHalfLife is the time in which an estimate without new samples decays half of the way to the estimate of the
	// target's peers. A slow target is tried again after a few half-lives.
	estimateHalfLife = 1500 * time.Millisecond
	// loadLifetime is how long a load report of a target is used.
	loadLifetime = 250 * time.Millisecond
	// stuckFactor times the estimated latency is the age from which an unanswered attempt indicates a paused target.
	stuckFactor = 2
	// failureWeight is the weight of a new outcome in the failure rate of a target, and failureHalfLife the time in which
	// that rate halves if there are no attempts.
	failureWeight   = 0.25
	failureHalfLife = 2 * time.Second
	// failurePenalty times the estimated latency is the cost of a failed attempt: the refusal, a retry at another target, and
	// the budget for it.
	failurePenalty = 6
	// failureAvoidance is how long a target is avoided after a failure. It doubles with each consecutive failure, up to
	// maxAvoidance.
	failureAvoidance = 200 * time.Millisecond
	maxAvoidance     = 3 * time.Second
)

// ShortTermStats holds this host's statistics about one target from its own recent attempts. Unlike those of TargetStats,
// they decay within seconds, so that they follow targets that pause or become slow for a short time.
type ShortTermStats struct {
	inFlight
	estimate        time.Duration
	estimateUpdated time.Duration
	// peersThen is the estimate for the target's peers as of estimateUpdated.
	peersThen           time.Duration
	consecutiveFailures int
	// failureRate is the fraction of recent attempts that failed, as of failureRateUpdated.
	failureRate        float64
	failureRateUpdated time.Duration
	avoidUntil         time.Duration
	// queued and slots come from the target's last load report, received at loadReported.
	queued, slots int
	loadReported  time.Duration
}

// RecordSuccess records the end of an attempt that was answered. peerEstimate is the estimate for the target's peers.
func (s *ShortTermStats) RecordSuccess(now, started, peerEstimate time.Duration) {
	s.Remove(started)
	s.consecutiveFailures, s.avoidUntil = 0, 0
	s.updateFailureRate(now, 0)
	before := s.Estimate(now, peerEstimate)
	s.setEstimate(now, before+time.Duration(latencyWeight*float64(now-started-before)), peerEstimate)
}

func (s *ShortTermStats) setEstimate(now, estimate, peerEstimate time.Duration) {
	s.estimate, s.estimateUpdated, s.peersThen = estimate, now, peerEstimate
}

// RecordAbandoned records the end of an attempt that was given up without an answer. Its duration is a lower bound of the
// latency, so it never lowers the estimate.
func (s *ShortTermStats) RecordAbandoned(now, started, peerEstimate time.Duration) {
	s.Remove(started)
	if before := s.Estimate(now, peerEstimate); now-started > before {
		s.setEstimate(now, before+time.Duration(latencyWeight*float64(now-started-before)), peerEstimate)
	}
}

// RecordFailure records the end of an attempt that failed. The target is then avoided for some time.
func (s *ShortTermStats) RecordFailure(now, started time.Duration) {
	s.Remove(started)
	s.updateFailureRate(now, 1)
	s.avoidUntil = now + min(failureAvoidance<<min(s.consecutiveFailures, 8), maxAvoidance)
	s.consecutiveFailures++
}

// updateFailureRate adds an outcome: 1 for a failure, 0 for an answer.
func (s *ShortTermStats) updateFailureRate(now time.Duration, outcome float64) {
	s.failureRate = s.FailureRate(now)
	s.failureRate += failureWeight * (outcome - s.failureRate)
	s.failureRateUpdated = now
}

// FailureRate returns the fraction of recent attempts that failed, from 0 to 1.
func (s *ShortTermStats) FailureRate(now time.Duration) float64 {
	return s.failureRate * math.Exp2(-float64(now-s.failureRateUpdated)/float64(failureHalfLife))
}

// RecordLoad records a load report of the target: the number of requests running and waiting, and of slots.
func (s *ShortTermStats) RecordLoad(now time.Duration, queued, slots int) {
	s.queued, s.slots, s.loadReported = queued, slots, now
}

// Estimate returns the expected latency of an attempt if the target is idle. peerEstimate is the estimate for the
// target's peers, 0 if it is unknown. An estimate without new samples falls with that of the peers: a target that was as fast as they
// were before the load fell is as fast as they are now.
func (s *ShortTermStats) Estimate(now, peerEstimate time.Duration) time.Duration {
	if s.estimate == 0 {
		return peerEstimate
	}
	estimate := s.estimate
	if 0 < peerEstimate && peerEstimate < s.peersThen {
		estimate = time.Duration(float64(estimate) * float64(peerEstimate) / float64(s.peersThen))
	}
	decay := math.Exp2(-float64(now-s.estimateUpdated) / float64(estimateHalfLife))
	return peerEstimate + time.Duration(decay*float64(estimate-peerEstimate))
}

// IsAvoided reports whether the target is avoided because it failed recently.
func (s *ShortTermStats) IsAvoided(now time.Duration) bool { return now < s.avoidUntil }

// AvoidUntil returns the time until which the target is avoided.
func (s *ShortTermStats) AvoidUntil() time.Duration { return s.avoidUntil }

// Cost returns the expected latency of another attempt at the target, given its number of slots. It includes queueing, the
// age of a stuck attempt and the expected cost of a failure.
func (s *ShortTermStats) Cost(now, peerEstimate time.Duration, slots int) time.Duration {
	estimate := s.Estimate(now, peerEstimate)
	queued := s.InFlight()
	if now-s.loadReported < loadLifetime && s.slots > 0 {
		queued, slots = max(queued, s.queued), s.slots
	}
	cost := estimate + estimate*time.Duration(queued)/time.Duration(2*max(1, slots))
	if over := queued + 1 - slots; over > 0 {
		cost += estimate * time.Duration(over) / time.Duration(max(1, slots))
	}
	if age := s.oldest(now); age > stuckFactor*estimate {
		cost += age
	}
	return cost + time.Duration(s.FailureRate(now)*failurePenalty*float64(estimate))
}
