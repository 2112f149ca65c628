package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/budget"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

const (
	// hedgeFactor times the median latency of a route is the time after which a second attempt is worth its load.
	hedgeFactor = 1.6
	// hedgeShare of the route's objective is the latest time for a hedge, so that it can still be in time.
	hedgeShare = 0.3
	// minHedgeDelay keeps clock noise from causing hedges.
	minHedgeDelay = 2 * time.Millisecond
	// defaultObjective stands in for the objective of a route that has none.
	defaultObjective = time.Second
	// costNoise spreads the choices of hosts that see targets of the same cost.
	costNoise = 0.1
	// remoteShare of the usual time is what a target of another data centre costs more: traffic between data centres is dear, and
	// its way is longer. A target of the own data centre with one more request in its queue costs about as much.
	remoteShare = 0.2
	// tieNoise spreads the choices among targets of which nothing is known.
	tieNoise = 100 * time.Microsecond
)

var retryBackoff = budget.Backoff{Base: 2 * time.Millisecond, Max: 20 * time.Millisecond}

// picker supplies one request with the engine's decisions. It implements scatter.Picker and belongs to the goroutine of
// the request.
type picker struct {
	engine *Engine
	run    *run
}

var _ scatter.Picker = (*picker)(nil)

// Pick implements scatter.Picker.
func (p *picker) Pick(now time.Duration, part *snapshot.Part, kind scatter.Kind, exclude []model.TargetID) (model.TargetID, scatter.Verdict) {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.world.Load()
	service := e.service(model.ServiceID(part.ID), w.Fleet.Part)
	extra := p.isExtra(part.ID, kind)
	if extra && service.extra.Tokens() < 1 {
		p.run.trace.BudgetRefusals++
		return "", scatter.NoBudget
	}
	limit := connections(w.Table.Services[model.ServiceID(part.ID)], w.Fleet.Part)
	chosen, state := p.best(now, w, part, service, exclude, kind, limit)
	if state == nil {
		return "", scatter.NoTarget
	}
	if kind == scatter.First {
		service.extra.Earn()
	}
	if extra {
		service.extra.Take()
	}
	estimate := state.pace.Estimate(now, service.latency.Median(now))
	state.pace.Start(now)
	p.run.places = append(p.run.places, place{
		target:      chosen,
		state:       state,
		service:     service,
		estimate:    estimate,
		connections: limit,
		part:        part.ID,
		extra:       extra,
	})
	return chosen.Target, scatter.Picked
}

// isExtra tells whether the attempt would arrive at a target beside or after another one of the same part, one that refused the
// part included. An attempt after those that were not sent is the first to arrive.
func (p *picker) isExtra(part model.ShardID, kind scatter.Kind) bool {
	return kind.IsHedge() || kind != scatter.First && p.run.reached[part]
}

// best returns the eligible target with the least expected time. Targets that failed a short time ago come last; a hedge
// is not sent to them at all, because it would waste the budget. A target at which as many attempts as connections are in
// flight is left out: limit is their number, 0 without one.
func (p *picker) best(now time.Duration, w *World, part *snapshot.Part, service *serviceState, exclude []model.TargetID,
	kind scatter.Kind, limit int) (registry.Target, *targetState) {
	e := p.engine
	usual := service.latency.Median(now)
	var best registry.Target
	var bestState *targetState
	var bestCost time.Duration
	for _, id := range w.Eligible(model.ServiceID(part.ID)) {
		if slices.Contains(exclude, id) {
			continue
		}
		t := w.registered[id]
		state := e.target(&t)
		if limit > 0 && state.pace.InFlight() >= limit {
			continue
		}
		cost := state.pace.Cost(now, usual, t.Slots)
		if t.DataCentre != e.cfg.DataCentre {
			cost += time.Duration(remoteShare * float64(usual))
		}
		cost += time.Duration(rand.Float64() * (costNoise*float64(cost) + float64(tieNoise)))
		if state.pace.Avoid(now) {
			if kind.IsHedge() {
				continue
			}
			cost += time.Hour + state.pace.AvoidUntil() - now
		}
		if bestState != nil && cost >= bestCost {
			continue
		}
		if !e.takeCold(now, w, &t, state) {
			continue
		}
		best, bestState, bestCost = t, state, cost
	}
	return best, bestState
}

// HedgeDelay implements scatter.Picker.
func (p *picker) HedgeDelay(*snapshot.Part) time.Duration {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	objective := p.run.objective()
	latest := time.Duration(hedgeShare * float64(objective))
	sketch := e.routes[p.run.request.Route.Name]
	if sketch == nil {
		return latest
	}
	median := sketch.Median(e.now())
	if median == 0 {
		return latest
	}
	return max(minHedgeDelay, min(latest, time.Duration(hedgeFactor*float64(median))))
}

// Backoff implements scatter.Picker.
func (p *picker) Backoff(retry int) time.Duration { return retryBackoff.Wait(randomSource, retry) }

// Newer implements scatter.Picker. A request stays at the configuration that it began with.
func (p *picker) Newer(snapshot.Snapshot) (snapshot.Snapshot, bool) {
	return snapshot.Snapshot{}, false
}
