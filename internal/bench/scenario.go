// Package bench measures the router beside a naive baseline, both against stand-ins under the same load, faults and seed.
package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/platform"
)

// Scenario is a load and the faults that happen during it.
type Scenario struct {
	Name string
	// Duration is the time under load.
	Duration time.Duration
	// Load returns the offered load at a moment as a share of the targets' capacity.
	Load func(at time.Duration) float64
	// Faults are carried out in order.
	Faults []Fault
	// Careless adds a caller that sends twenty times its grant.
	Careless bool
	// Poison adds a caller that repeats a request which crashes targets.
	Poison bool
}

// Fault changes the world at a moment.
type Fault struct {
	At    time.Duration
	Apply func(w *world)
}

const (
	steadyLoad   = 0.4
	scenarioTime = 12 * time.Second
	overloadTime = 8 * time.Second
	faultStart   = 4 * time.Second
	faultEnd     = 8 * time.Second
	slowFactor   = 15
)

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func scenarios() []Scenario {
	base := Scenario{Duration: scenarioTime, Load: constant(steadyLoad)}
	with := func(name string, change func(*Scenario)) Scenario {
		s := base
		s.Name = name
		change(&s)
		return s
	}
	return []Scenario{
		with("steady", func(*Scenario) {}),
		with("straggler", func(s *Scenario) {
			s.Faults = []Fault{{faultStart, func(w *world) { w.slowDown(slowFactor) }}}
		}),
		with("overload", func(s *Scenario) {
			s.Duration = overloadTime
			s.Load = func(at time.Duration) float64 {
				if at < s.Duration/2 {
					return 1
				}
				return 2
			}
		}),
		with("sudden-cold", func(s *Scenario) {
			s.Faults = []Fault{{faultStart, func(w *world) { w.turnCold() }}}
		}),
		with("datacentre-out-and-back", func(s *Scenario) {
			s.Faults = []Fault{
				{faultStart, func(w *world) { w.setDataCentreOut(true) }},
				{faultEnd, func(w *world) { w.setDataCentreOut(false) }},
			}
		}),
		with("store-outage", func(s *Scenario) {
			s.Faults = []Fault{
				{faultStart, func(w *world) { w.store.SetFaults(platform.Faults{Down: true}) }},
				{faultEnd, func(w *world) { w.store.SetFaults(platform.Faults{LoseAnswers: 1}) }},
				{faultEnd + time.Second, func(w *world) { w.touchCatalogue() }},
			}
		}),
		with("careless-caller", func(s *Scenario) { s.Careless = true }),
		with("request-of-death", func(s *Scenario) { s.Poison = true }),
	}
}

// Names returns the names of the scenarios.
func Names() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.Name)
	}
	return names
}

// Find returns the scenario of that name.
func Find(name string) (Scenario, error) {
	all := scenarios()
	at := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if at < 0 {
		return Scenario{}, fmt.Errorf("there is no scenario %q: use one of %s", name, strings.Join(Names(), ", "))
	}
	return all[at], nil
}

// outCentre is the data centre that the scenarios take out: the second, or the only one.
func outCentre(c model.Catalogue) model.DataCentreID {
	return c.DataCentres[min(1, len(c.DataCentres)-1)].ID
}
