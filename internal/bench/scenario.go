// Package bench compares the router with a naive baseline. Both run against stand-ins under the same load, faults and
// seed.
package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/platform"
)

// Scenario describes a load and the faults that are injected during it.
type Scenario struct {
	Name string
	// Duration is the time under load.
	Duration time.Duration
	// Load returns the offered load at a time, as a fraction of the targets' capacity.
	Load func(at time.Duration) float64
	// Faults are injected in order.
	Faults []Fault
	// OverLimit adds a caller that sends twenty times its permitted rate.
	OverLimit bool
	// Poison adds a caller that repeats a request that crashes targets.
	Poison bool
}

// Fault is a change to the environment at a given time after the start of the load.
type Fault struct {
	At    time.Duration
	Apply func(env *environment)
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
	variant := func(name string, change func(*Scenario)) Scenario {
		s := base
		s.Name = name
		change(&s)
		return s
	}
	return []Scenario{
		variant("steady", func(*Scenario) {}),
		variant("straggler", func(s *Scenario) {
			s.Faults = []Fault{{faultStart, func(env *environment) { env.slowReplicas(slowFactor) }}}
		}),
		variant("overload", func(s *Scenario) {
			s.Duration = overloadTime
			s.Load = func(at time.Duration) float64 {
				if at < s.Duration/2 {
					return 1
				}
				return 2
			}
		}),
		variant("sudden-cold", func(s *Scenario) {
			s.Faults = []Fault{{faultStart, func(env *environment) { env.makeReplicasCold() }}}
		}),
		variant("datacentre-out-and-back", func(s *Scenario) {
			s.Faults = []Fault{
				{faultStart, func(env *environment) { env.setDataCentreOut(true) }},
				{faultEnd, func(env *environment) { env.setDataCentreOut(false) }},
			}
		}),
		variant("store-outage", func(s *Scenario) {
			s.Faults = []Fault{
				{faultStart, func(env *environment) { env.store.SetFaults(platform.Faults{Down: true}) }},
				{faultEnd, func(env *environment) { env.store.SetFaults(platform.Faults{LoseAnswers: 1}) }},
				{faultEnd + time.Second, func(env *environment) { env.republishCatalogue() }},
			}
		}),
		variant("careless-caller", func(s *Scenario) { s.OverLimit = true }),
		variant("request-of-death", func(s *Scenario) { s.Poison = true }),
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

// outDataCentre returns the data centre that the scenarios take out: the second, or the only one.
func outDataCentre(c model.Catalogue) model.DataCentreID {
	return c.DataCentres[min(1, len(c.DataCentres)-1)].ID
}
