package server

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/coldstart"
	"github.com/knapweedrouter/knapweedrouter/internal/eligibility"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/share"
)

var _ gate.TargetGate = (*gates)(nil)

// IsEligible implements gate.TargetGate.
func (g *gates) IsEligible(target model.TargetID) (ok bool) {
	g.update(func(time.Duration) { ok = g.isEligibleLocked(target) })
	return ok
}

// IsWarm implements gate.TargetGate.
func (g *gates) IsWarm(target model.TargetID) (ok bool) {
	g.update(func(time.Duration) { ok = g.phases.IsWarm(target) })
	return ok
}

// Acquire implements gate.TargetGate.
func (g *gates) Acquire(target model.TargetID, deadline time.Time) (release gate.Release, ok bool) {
	remaining := time.Until(deadline)
	sentAt := time.Now()
	g.update(func(now time.Duration) {
		if remaining <= 0 || !g.isEligibleLocked(target) {
			return
		}
		if g.phases.IsWarm(target) {
			release, ok = g.newRelease(target, sentAt, nil), true
			return
		}
		if !g.phases.MayUsePermit(now, target) {
			return
		}
		var unit share.Unit
		if unit, ok = g.shares.Acquire(now, coldKey(target), now+remaining); ok {
			release = g.newRelease(target, sentAt, &unit)
		}
	})
	return release, ok
}

// newRelease returns the release function of an attempt. unit is its permit, or nil if the target is warm.
func (g *gates) newRelease(target model.TargetID, sentAt time.Time, unit *share.Unit) gate.Release {
	return func(outcome gate.Outcome) {
		g.update(func(now time.Duration) {
			if unit != nil {
				g.shares.Release(now, *unit)
			}
			g.recordOutcome(now, target, sentAt, outcome)
		})
	}
}

var observationOf = map[gate.Result]coldstart.ObservationKind{
	gate.Success: coldstart.Succeeded,
	gate.Shed:    coldstart.Shed,
	gate.Lost:    coldstart.Reset,
}

// recordOutcome updates the state of a target from the result of an attempt. The mutex must be held.
func (g *gates) recordOutcome(now time.Duration, target model.TargetID, sentAt time.Time, outcome gate.Outcome) {
	kind, ok := observationOf[outcome.Result]
	if !ok {
		kind = coldstart.IncarnationSeen
	}
	g.publishPhase(g.phases.Observe(now, coldstart.Observation{
		Target: target, Incarnation: outcome.Incarnation, Kind: kind, Latency: outcome.Latency,
	}))
	if outcome.Result == gate.Draining {
		g.observeDraining(now, eligibility.Report{
			Target: target, Incarnation: outcome.Incarnation, Draining: true, AskedAt: g.clock.At(sentAt),
		})
	}
}

// ObserveStatus processes a target's status report that was requested at askedAt.
func (g *gates) ObserveStatus(status model.TargetStatus, askedAt time.Time) {
	g.update(func(now time.Duration) {
		if _, known := g.targets[status.Target]; !known {
			return
		}
		delete(g.unreachable, status.Target)
		g.observeDraining(now, eligibility.Report{
			Target:      status.Target,
			Incarnation: status.Incarnation,
			Draining:    status.State == model.TargetDraining,
			AskedAt:     g.clock.At(askedAt),
		})
		kind := coldstart.IncarnationSeen
		switch status.State {
		case model.TargetCold:
			kind = coldstart.ReportedCold
		case model.TargetReady:
			kind = coldstart.ReportedReady
		}
		g.publishPhase(g.phases.Observe(now, coldstart.Observation{
			Target: status.Target, Incarnation: status.Incarnation, Kind: kind,
		}))
	})
}

// observeUnreachable stops this host from sending work to a target that refuses connections, until the target reports
// again. A restarted target is then marked cold because of its new incarnation before it receives work. Other hosts are not
// notified, because the fault may be in the network path from this host.
func (g *gates) observeUnreachable(target model.TargetID) {
	g.update(func(time.Duration) {
		if _, known := g.targets[target]; known {
			g.unreachable[target] = true
		}
	})
}

// isEligibleLocked reports whether this host may send work to a target. The mutex must be held.
func (g *gates) isEligibleLocked(target model.TargetID) bool {
	return !g.unreachable[target] && g.eligibility.TargetEligible(target)
}

// observeDraining applies a report about draining and publishes it if it changes whether the target is eligible.
func (g *gates) observeDraining(now time.Duration, report eligibility.Report) {
	if report.Incarnation == 0 {
		report.Incarnation = g.eligibility.Incarnation(report.Target)
	}
	statement, ok := g.eligibility.Observe(report)
	if !ok {
		return
	}
	_, returned := g.eligibility.Apply(now, statement)
	if statement.Draining || returned {
		g.publishDraining(statement)
	}
	if returned {
		g.publishPhase(g.phases.MarkReturned(now, statement.Target))
	}
}
