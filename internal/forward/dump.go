package forward

import (
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Dump describes the engine's evidence.
type Dump struct {
	Targets  map[model.TargetID]TargetDump
	Services map[model.ServiceID]ServiceDump
}

// TargetDump is what this host knows about a target.
type TargetDump struct {
	InFlight   int
	EstimateMS float64
	Failing    float64
	Avoided    bool
}

// ServiceDump is what this host knows about a service.
type ServiceDump struct {
	// Budget is the number of extra attempts that are left.
	Budget   float64
	MedianMS float64
}

// Dump returns the present evidence.
func (e *Engine) Dump() Dump {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	d := Dump{Targets: map[model.TargetID]TargetDump{}, Services: map[model.ServiceID]ServiceDump{}}
	for id, t := range e.targets {
		d.Targets[id] = TargetDump{
			InFlight:   t.pace.InFlight(),
			EstimateMS: float64(t.pace.Estimate(now, 0).Microseconds()) / 1000,
			Failing:    t.pace.Failing(now),
			Avoided:    t.pace.Avoid(now),
		}
	}
	for id, s := range e.services {
		d.Services[id] = ServiceDump{Budget: s.extra.Tokens(), MedianMS: float64(s.latency.Median(now).Microseconds()) / 1000}
	}
	return d
}
