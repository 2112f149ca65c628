package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
)

// What a target says of itself goes before everything that this host estimates: an instance that leaves gets nothing, one that
// wants nothing for a while gets nothing until then. Only then come the rate of a cold target, recent failures, and the cost.

const (
	// quietJitter is the share of a quiet time by which its end is delayed at random, up to maxQuietJitter, so that hosts that
	// were told the same time do not come back together.
	quietJitter    = 0.1
	maxQuietJitter = 250 * time.Millisecond
	never          = time.Duration(math.MaxInt64)
)

// isWilling reports whether the target may get a request.
func (t *targetState) isWilling(now time.Duration) bool { return !t.leaving && now >= t.quietUntil }

// recordWishes takes over what a reply says of its target. The caller holds e.mu.
func (e *Engine) recordWishes(t *targetState, reply *exchange.Reply) []TargetDecision {
	var decisions []TargetDecision
	if reply.ColdFor > 0 {
		t.coldUntil = max(t.coldUntil, e.now()+reply.ColdFor)
	}
	if reply.RetryAfter > 0 {
		until := e.now() + reply.RetryAfter
		if until > t.quietUntil {
			jitter := min(maxQuietJitter, time.Duration(quietJitter*float64(reply.RetryAfter)))
			t.quietUntil = until + rand.N(jitter+time.Millisecond)
			e.unwilling[t.id] = t
		}
		decisions = append(decisions, TargetDecision{Instance: t.instance(), Verdict: TargetQuiet, For: reply.RetryAfter})
	}
	if !reply.Leaving || t.leaving {
		return decisions
	}
	t.leaving = true
	e.unwilling[t.id] = t
	e.cfg.Evidence.Observe(monotime.Now(), evidence.Fact{Kind: evidence.Leaving, Instance: t.instance()})
	return append(decisions, TargetDecision{Instance: t.instance(), Verdict: TargetLeaving})
}

// markLeaving applies what another host has found. The caller holds e.mu.
func (e *Engine) markLeaving(i evidence.Instance) {
	if t := e.targets[i.Target]; t != nil && t.incarnation == i.Incarnation {
		t.leaving = true
		e.unwilling[t.id] = t
	}
}

// LearnLeaving takes over instances that another host has found to leave.
func (e *Engine) LearnLeaving(from model.HostID, instances []evidence.Instance) {
	facts := make([]evidence.Fact, len(instances))
	for i, instance := range instances {
		facts[i] = evidence.Fact{Kind: evidence.Leaving, Instance: instance}
	}
	e.ReportLearned(from, e.cfg.Evidence.Merge(monotime.Now(), evidence.Batch{Facts: facts}))
}

// willingFrom returns the time from which a target of the service may get a request: now, the end of the first quiet time, or
// never if all of them leave. The caller holds e.mu.
func (e *Engine) willingFrom(now time.Duration, targets []model.TargetID) time.Duration {
	if len(e.unwilling) == 0 || len(targets) == 0 {
		return now
	}
	from := never
	for _, id := range targets {
		t := e.unwilling[id]
		switch {
		case t == nil || t.isWilling(now) || t != e.targets[id]:
			delete(e.unwilling, id)
			return now
		case !t.leaving:
			from = min(from, t.quietUntil)
		}
	}
	return from
}

// checkWilling returns an error if too few parts of the request can be served in time, because their targets leave or want
// nothing for now. It names the time from which enough of them can.
func (r *run) checkWilling() *fault.Error {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.unwilling) == 0 {
		return nil
	}
	now, rs := e.now(), e.routingState.Load()
	var later []time.Duration
	for i := range r.parts {
		if from := e.willingFrom(now, rs.Eligible(model.ServiceID(r.parts[i].ID))); from > max(now, r.latestSend()) {
			later = append(later, from)
		}
	}
	spare := len(r.parts) - r.required()
	if len(later) <= spare {
		return nil
	}
	slices.Sort(later)
	after := r.defaultRetryAfter()
	if from := later[len(later)-1-spare]; from != never {
		after = max(minRetryAfter, from-now)
	}
	return fault.New(fault.Overloaded, fault.NotRun, "repeat the request after the time given", "its targets leave or want no requests for now").
		WithRetryAfter(after)
}

// latestSend is the latest time for a first attempt that can still meet the objective.
func (r *run) latestSend() time.Duration {
	return r.arrived + time.Duration(firstSendShare*float64(r.objective()))
}

// latestAttempt is the latest time for any attempt that can still be part of an answer within the objective.
func (r *run) latestAttempt() time.Duration {
	if len(r.picked) == 0 && len(r.parts) == 1 {
		return r.latestSend()
	}
	return r.arrived + time.Duration(partialShare*float64(r.objective()))
}
