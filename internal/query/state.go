package query

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// State is a snapshot of the engine's state for the state dump. Times are in milliseconds; 0 means unknown.
type State struct {
	Queries  uint64                          `json:"queries"`
	Attempts uint64                          `json:"attempts"`
	Targets  map[model.TargetID]TargetState  `json:"targets"`
	Groups   map[string]GroupState           `json:"groups"`
	Callers  map[model.CallerID]BudgetTokens `json:"callers"`
}

// TargetState is the engine's state for a target.
type TargetState struct {
	Incarnation model.Incarnation `json:"incarnation"`
	InFlight    int               `json:"in_flight"`
	Limit       int               `json:"limit"`
	P95         float64           `json:"p95_ms"`
	// Crowded reports that a queue seems to form at the target, so that it gets no extra attempts.
	Crowded bool `json:"crowded"`
}

// GroupState is the state of a group of replicas.
type GroupState struct {
	P95    float64      `json:"p95_ms"`
	Budget BudgetTokens `json:"budget"`
}

// BudgetTokens is the number of extra attempts that a budget currently allows.
type BudgetTokens float64

// State returns a copy of the engine's state.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	state := State{
		Queries:  e.queries.Load(),
		Attempts: e.sequence.Load(),
		Targets:  make(map[model.TargetID]TargetState, len(e.targets)),
		Groups:   make(map[string]GroupState, len(e.groups)),
		Callers:  make(map[model.CallerID]BudgetTokens, len(e.callers)),
	}
	for id, t := range e.targets {
		state.Targets[id] = t.state(now)
	}
	for name, g := range e.groups {
		state.Groups[name] = g.state(now)
	}
	for id, c := range e.callers {
		state.Callers[id] = c.tokens()
	}
	return state
}

func (t *targetState) state(now time.Duration) TargetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TargetState{
		Incarnation: t.incarnation,
		InFlight:    t.stats.InFlight(),
		Limit:       t.limiter.Limit(),
		P95:         milliseconds(t.stats.P95(now)),
		Crowded:     t.stats.IsCrowded(now),
	}
}

func (g *group) state(now time.Duration) GroupState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GroupState{P95: milliseconds(g.latencies.P95(now)), Budget: BudgetTokens(g.budget.Tokens())}
}

func (c *callerState) tokens() BudgetTokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	return BudgetTokens(c.budget.Tokens())
}
