package replica

import (
	"math"
	"time"
)

const (
	// paceWeight is the weight of a new sample in the estimate of a target's pace.
	paceWeight = 0.3
	// paceHalfLife is the time in which an estimate moves half of the way back to that of the target's peers. A target
	// that was slow gets a trial again after a few of them.
	paceHalfLife = 1500 * time.Millisecond
	// loadLifetime is the time for which a target's report of its load is used.
	loadLifetime = 250 * time.Millisecond
	// stuckFactor times the usual time is the age at which an unanswered attempt shows that the target has paused.
	stuckFactor = 2
	// failureWeight is the weight of a new outcome in the share of attempts that fail, and failureHalfLife the time in which
	// that share halves without attempts.
	failureWeight   = 0.25
	failureHalfLife = 2 * time.Second
	// failureCost times the usual time is what a failed attempt costs: the refusal, a retry elsewhere, and its budget.
	failureCost = 6
	// failureAvoidance is the time for which a target is avoided after one failure; it doubles with each further one.
	failureAvoidance = 200 * time.Millisecond
	maxAvoidance     = 3 * time.Second
)

// Pace is what this host knows about one target from its own attempts of the last seconds. Unlike Evidence it forgets
// within seconds, so that it follows targets which pause or turn slow for a short time.
type Pace struct {
	inFlight
	estimate time.Duration
	sampled  time.Duration
	failures int
	// failing is the share of recent attempts that failed; judged is the time of its last change.
	failing    float64
	judged     time.Duration
	avoidUntil time.Duration
	// queued and slots come from the target's last report; reported is its time.
	queued, slots int
	reported      time.Duration
}

// Succeed takes the end of an attempt that was answered. usual is the estimate for the target's peers.
func (p *Pace) Succeed(now, started, usual time.Duration) {
	p.Forget(started)
	p.failures, p.avoidUntil = 0, 0
	p.judge(now, 0)
	before := p.Estimate(now, usual)
	p.estimate = before + time.Duration(paceWeight*float64(now-started-before))
	p.sampled = now
}

// GiveUp takes the end of an attempt that was not answered in the time since its start.
func (p *Pace) GiveUp(now, started, usual time.Duration) {
	p.Forget(started)
	if before := p.Estimate(now, usual); now-started > before {
		p.estimate, p.sampled = before+time.Duration(paceWeight*float64(now-started-before)), now
	}
}

// Fail takes the end of an attempt that failed, so that the target is avoided for a time.
func (p *Pace) Fail(now, started time.Duration) {
	p.Forget(started)
	p.judge(now, 1)
	p.avoidUntil = now + min(failureAvoidance<<min(p.failures, 8), maxAvoidance)
	p.failures++
}

// judge takes an outcome: 1 for a failure, 0 for an answer.
func (p *Pace) judge(now time.Duration, outcome float64) {
	p.failing = p.Failing(now)
	p.failing += failureWeight * (outcome - p.failing)
	p.judged = now
}

// Failing returns the share of recent attempts that failed, from 0 to 1.
func (p *Pace) Failing(now time.Duration) float64 {
	return p.failing * math.Exp2(-float64(now-p.judged)/float64(failureHalfLife))
}

// Report takes a target's report of its own load: requests running and waiting, and slots.
func (p *Pace) Report(now time.Duration, queued, slots int) {
	p.queued, p.slots, p.reported = queued, slots, now
}

// Estimate returns the expected time of an attempt at an idle target. usual is the estimate for the target's peers.
func (p *Pace) Estimate(now, usual time.Duration) time.Duration {
	if p.estimate == 0 {
		return usual
	}
	fade := math.Exp2(-float64(now-p.sampled) / float64(paceHalfLife))
	return usual + time.Duration(fade*float64(p.estimate-usual))
}

// Avoid tells whether the target failed a short time ago.
func (p *Pace) Avoid(now time.Duration) bool { return now < p.avoidUntil }

// AvoidUntil returns the time until which the target is avoided.
func (p *Pace) AvoidUntil() time.Duration { return p.avoidUntil }

// Cost returns the expected time of another attempt at the target with the given number of slots.
func (p *Pace) Cost(now, usual time.Duration, slots int) time.Duration {
	estimate := p.Estimate(now, usual)
	queued := p.InFlight()
	if now-p.reported < loadLifetime && p.slots > 0 {
		queued, slots = max(queued, p.queued), p.slots
	}
	cost := estimate + estimate*time.Duration(queued)/time.Duration(2*max(1, slots))
	if over := queued + 1 - slots; over > 0 {
		cost += estimate * time.Duration(over) / time.Duration(max(1, slots))
	}
	if age := p.oldest(now); age > stuckFactor*estimate {
		cost += age
	}
	return cost + time.Duration(p.Failing(now)*failureCost*float64(estimate))
}
