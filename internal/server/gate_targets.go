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

// Eligible implements gate.TargetGate.
func (g *gates) Eligible(target model.TargetID) (ok bool) {
	g.do(func(time.Duration) { ok = g.isEligible(target) })
	return ok
}

// Warm implements gate.TargetGate.
func (g *gates) Warm(target model.TargetID) (ok bool) {
	g.do(func(time.Duration) { ok = g.phases.IsWarm(target) })
	return ok
}

// Acquire implements gate.TargetGate.
func (g *gates) Acquire(target model.TargetID, deadline time.Time) (release gate.Release, ok bool) {
	remaining := time.Until(deadline)
	sentAt := time.Now()
	g.do(func(now time.Duration) {
		if remaining <= 0 || !g.isEligible(target) {
			return
		}
		if g.phases.IsWarm(target) {
			release, ok = g.releaser(target, sentAt, nil), true
			return
		}
		if !g.phases.MayUsePermit(now, target) {
			return
		}
		var unit share.Unit
		if unit, ok = g.shares.Acquire(now, coldKey(target), now+remaining); ok {
			release = g.releaser(target, sentAt, &unit)
		}
	})
	return release, ok
}

// releaser returns the release of an attempt, with its permit if it has one.
func (g *gates) releaser(target model.TargetID, sentAt time.Time, unit *share.Unit) gate.Release {
	return func(outcome gate.Outcome) {
		g.do(func(now time.Duration) {
			if unit != nil {
				g.shares.Release(now, *unit)
			}
			g.weigh(now, target, sentAt, outcome)
		})
	}
}

var observationOf = map[gate.Result]coldstart.ObservationKind{
	gate.Success: coldstart.Succeeded,
	gate.Shed:    coldstart.Shed,
	gate.Lost:    coldstart.Reset,
}

// weigh takes the end of an attempt as evidence. It runs under the mutex.
func (g *gates) weigh(now time.Duration, target model.TargetID, sentAt time.Time, outcome gate.Outcome) {
	kind, ok := observationOf[outcome.Result]
	if !ok {
		kind = coldstart.Seen
	}
	g.spreadPhase(g.phases.Observe(now, coldstart.Observation{
		Target: target, Incarnation: outcome.Incarnation, Kind: kind, Latency: outcome.Latency,
	}))
	if outcome.Result == gate.Draining {
		g.noteState(now, eligibility.Report{
			Target: target, Incarnation: outcome.Incarnation, Draining: true, AskedAt: sentAt.Sub(g.started),
		})
	}
}

// ObserveStatus takes a target's report about itself that was asked for at a time.
func (g *gates) ObserveStatus(status model.TargetStatus, askedAt time.Time) {
	g.do(func(now time.Duration) {
		if _, known := g.targets[status.Target]; !known {
			return
		}
		delete(g.unreachable, status.Target)
		g.noteState(now, eligibility.Report{
			Target:      status.Target,
			Incarnation: status.Incarnation,
			Draining:    status.State == model.TargetDraining,
			AskedAt:     askedAt.Sub(g.started),
		})
		kind := coldstart.Seen
		switch status.State {
		case model.TargetCold:
			kind = coldstart.SaysCold
		case model.TargetReady:
			kind = coldstart.SaysReady
		}
		g.spreadPhase(g.phases.Observe(now, coldstart.Observation{
			Target: status.Target, Incarnation: status.Incarnation, Kind: kind,
		}))
	})
}

// observeUnreachable stops new work of this host to a target that refuses connections, until the target reports again. A
// target that was restarted then turns cold by its new incarnation before it gets any work. Other hosts are not told,
// because the fault may be on the way from this host.
func (g *gates) observeUnreachable(target model.TargetID) {
	g.do(func(time.Duration) {
		if _, known := g.targets[target]; known {
			g.unreachable[target] = true
		}
	})
}

// isEligible runs under the mutex.
func (g *gates) isEligible(target model.TargetID) bool {
	return !g.unreachable[target] && g.eligibility.Target(target)
}

// noteState applies a report about draining and spreads it if it changes what may get work.
func (g *gates) noteState(now time.Duration, report eligibility.Report) {
	if report.Incarnation == 0 {
		report.Incarnation = g.eligibility.Incarnation(report.Target)
	}
	statement, ok := g.eligibility.Observe(report)
	if !ok {
		return
	}
	_, returned := g.eligibility.Apply(now, statement)
	if statement.Draining || returned {
		g.spreadDraining(statement)
	}
	if returned {
		g.spreadPhase(g.phases.Return(now, statement.Target))
	}
}
