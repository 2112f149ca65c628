package forward

import (
	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
)

// Dump is a snapshot of the engine's statistics about targets and services, for debugging.
type Dump struct {
	Targets  map[model.TargetID]TargetDump
	Services map[model.ServiceID]ServiceDump
	// Evidence summarizes what is known of crashed and leaving targets.
	Evidence evidence.Summary
}

// TargetDump holds this host's statistics about a target.
type TargetDump struct {
	InFlight   int
	EstimateMS float64
	// Failing is the fraction of recent attempts that failed, from 0 to 1.
	Failing float64
	Avoided bool
	// Leaving means that the target has said that it is shutting down. QuietMS is how long it still wants nothing from this
	// host.
	Leaving bool
	QuietMS int64
	// Silent means that the target has answered neither attempts nor probes, and EndLearned that another host has found that it ended
	// and no probe has shown otherwise yet. Such a target gets probes only.
	Silent, EndLearned bool
}

// ServiceDump holds this host's statistics about a service.
type ServiceDump struct {
	// Budget is the number of extra attempts that are currently allowed.
	Budget   float64
	MedianMS float64
}

// Dump returns the current statistics.
func (e *Engine) Dump() Dump {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	d := Dump{
		Targets:  map[model.TargetID]TargetDump{},
		Services: map[model.ServiceID]ServiceDump{},
		Evidence: e.cfg.Evidence.Summary(monotime.Now()),
	}
	for id, t := range e.targets {
		d.Targets[id] = TargetDump{
			InFlight:   t.stats.InFlight(),
			EstimateMS: float64(t.stats.Estimate(now, 0).Microseconds()) / 1000,
			Failing:    t.stats.FailureRate(now),
			Avoided:    t.stats.IsAvoided(now),
			Leaving:    t.leaving,
			QuietMS:    max(0, t.quietUntil-now).Milliseconds(),
			Silent:     t.witness.IsSilent(),
			EndLearned: t.endLearned,
		}
	}
	for id, s := range e.services {
		d.Services[id] = ServiceDump{Budget: s.extra.Tokens(), MedianMS: float64(s.latency.Median(now).Microseconds()) / 1000}
	}
	return d
}
