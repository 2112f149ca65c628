package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/budget"
	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

const (
	// hedgeFactor times the median latency of a route is the delay after which a hedge is worth its load.
	hedgeFactor = 1.6
	// maxHedgeDelayShare is the maximum hedge delay as a fraction of the route's objective, so that the hedge can still
	// complete within the objective.
	maxHedgeDelayShare = 0.3
	// minHedgeDelay prevents hedges that are caused by clock noise.
	minHedgeDelay = 2 * time.Millisecond
	// defaultObjective is the objective of a route that does not specify one, unless its timeout is shorter.
	defaultObjective = time.Second
	// costNoise is the random part of a target's cost, as a fraction of it. It keeps hosts that see equal costs from all
	// choosing the same target.
	costNoise = 0.1
	// remotePenalty is the additional cost of a target in another data centre, as a fraction of the typical latency: traffic
	// between data centres is expensive and has a longer round trip. One more queued request at a target in the local data
	// centre costs about as much.
	remotePenalty = 0.2
	// manyLosses is the number of lost attempts from which a request without any answer may be the one that ends its targets.
	manyLosses = 3
	// tieNoise is a random cost that spreads the choice among targets without statistics.
	tieNoise = 100 * time.Microsecond
)

var retryBackoff = budget.Backoff{Base: 2 * time.Millisecond, Max: 20 * time.Millisecond}

// picker implements scatter.Picker for one request with the shared state of the engine. It is used only by the goroutine
// of the request.
type picker struct {
	engine *Engine
	run    *run
}

var _ scatter.Picker = (*picker)(nil)

// Pick implements scatter.Picker.
func (p *picker) Pick(now time.Duration, part *snapshot.Part, kind scatter.Kind, exclude []model.TargetID) (model.TargetID, scatter.PickResult) {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.isHeldBack(kind) {
		return "", scatter.NoTarget
	}
	rs := e.routingState.Load()
	if from := e.willingFrom(now, rs.Eligible(model.ServiceID(part.ID))); from > max(now, p.run.latestAttempt()) {
		return "", scatter.NoTargetInTime
	}
	service := e.service(model.ServiceID(part.ID), rs.Fleet.Part)
	extra := p.isExtra(part.ID, kind)
	if extra && service.extra.Tokens() < 1 {
		p.run.trace.BudgetRefusals++
		return "", scatter.NoBudget
	}
	limit := connectionLimit(rs.Table.Services[model.ServiceID(part.ID)], rs.Fleet.Part)
	chosen, state := p.cheapestTarget(now, rs, part, service, exclude, kind, limit)
	if state == nil {
		return "", scatter.NoTarget
	}
	if kind == scatter.First {
		service.extra.Earn()
	}
	if extra {
		service.extra.Take()
	}
	estimate := state.stats.Estimate(now, service.latency.Typical(now))
	state.stats.Start(now)
	state.lastPicked = e.now()
	sent := monotime.Now()
	state.witness.Started(evidence.Attempt{Request: p.run.evidence, Sent: sent})
	p.run.picked = append(p.run.picked, pickedTarget{
		target:      chosen,
		state:       state,
		service:     service,
		estimate:    estimate,
		connections: limit,
		part:        part.ID,
		extra:       extra,
		kind:        kind,
		sent:        sent,
	})
	if kind != scatter.First {
		p.run.extraOpen++
	}
	return chosen.Target, scatter.Picked
}

// isHeldBack reports whether no attempt may be sent because of crashes that became known while the request ran. A quarantined
// request gets none at all. A suspect runs at one target at a time and not again after an attempt without an answer, until
// another target has answered. The caller holds the engine's mutex.
func (p *picker) isHeldBack(kind scatter.Kind) bool {
	r := p.run
	switch p.engine.judge(r.fingerprint).Verdict {
	case evidence.Quarantined:
		r.condemned = true
		return true
	case evidence.Suspect:
		if r.evidence.Answered || kind == scatter.First || !kind.IsHedge() && !r.unanswered {
			return false
		}
		// Once each part has been tried and no attempt is in progress, there is nothing left to wait for.
		r.condemned = len(r.picked) >= len(r.parts) && r.openAttempts.Load() == 0
		return true
	}
	return kind != scatter.First && r.awaitsAnswer()
}

// isExtra reports whether the attempt adds load because another attempt at the same part is in flight or has reached a
// target, even if that target refused it. Attempts that were not sent do not count.
func (p *picker) isExtra(part model.ShardID, kind scatter.Kind) bool {
	return kind.IsHedge() || kind != scatter.First && p.run.reached[part]
}

// cheapestTarget returns the eligible target with the lowest expected latency. Targets that failed recently come last;
// hedges are not sent to them at all, because they would waste budget. Targets that are known to answer nothing, or to have ended,
// are probed instead. Targets with limit attempts in flight, which have no free connection, are skipped; a limit of 0 means no limit.
func (p *picker) cheapestTarget(now time.Duration, rs *RoutingState, part *snapshot.Part, service *serviceState,
	exclude []model.TargetID, kind scatter.Kind, limit int) (registry.Target, *targetState) {
	e := p.engine
	typical := service.latency.Typical(now)
	var best registry.Target
	var bestState *targetState
	var bestCost time.Duration
	for _, id := range rs.Eligible(model.ServiceID(part.ID)) {
		if slices.Contains(exclude, id) {
			continue
		}
		t := rs.registered[id]
		state := e.target(&t)
		if !state.isWilling(now) || limit > 0 && state.stats.InFlight() >= limit {
			continue
		}
		if state.endLearned || state.witness.IsSilent() {
			e.startProbe(pickedTarget{target: t, state: state}, 0)
			continue
		}
		cost := state.stats.Cost(now, typical, t.Slots)
		if t.DataCentre != e.cfg.DataCentre {
			cost += time.Duration(remotePenalty * float64(typical))
		}
		cost += time.Duration(rand.Float64() * (costNoise*float64(cost) + float64(tieNoise)))
		if state.stats.IsAvoided(now) {
			if kind.IsHedge() {
				continue
			}
			cost += time.Hour + state.stats.AvoidUntil() - now
		}
		if bestState != nil && cost >= bestCost {
			continue
		}
		if !e.takeColdToken(now, rs, &t, state) {
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
	latest := time.Duration(maxHedgeDelayShare * float64(objective))
	latencies := e.routes[p.run.request.Route.Name]
	if latencies == nil {
		return latest
	}
	median := latencies.Median(e.now())
	if median == 0 {
		return latest
	}
	return max(minHedgeDelay, min(latest, time.Duration(hedgeFactor*float64(median))))
}

// Backoff implements scatter.Picker.
func (p *picker) Backoff(retry int) time.Duration { return retryBackoff.Wait(randomSource, retry) }

// Newer implements scatter.Picker. It returns no snapshot, because a request keeps the configuration it started with.
func (p *picker) Newer(snapshot.Snapshot) (snapshot.Snapshot, bool) {
	return snapshot.Snapshot{}, false
}
