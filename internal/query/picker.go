package query

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/budget"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/replica"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

const (
	// extraAttemptRatio is the ratio of hedges and retries to first attempts in steady state.
	extraAttemptRatio = 0.05
	groupBurst        = 4
	// callerBurst lets a query over 61 shards send one extra attempt to each of them.
	callerBurst = 64
	// hedgeReserve is the fraction of the burst that ordinary hedges leave for late hedges and retries. Hedging at the
	// 95th percentile requests 5 % of the attempts, which is the whole budget.
	hedgeReserve = 0.5
	// maxInFlightPerSlot multiplied by a target's slots is the maximum number of attempts that this host has in flight
	// there. A target queues two attempts per slot and sheds the rest.
	maxInFlightPerSlot = 3
	// firstHedgeDelay applies until latencies are known: a host that has just started must not double its first
	// attempts while connections open. minHedgeDelay keeps clock noise from triggering hedges.
	firstHedgeDelay = 50 * time.Millisecond
	minHedgeDelay   = time.Millisecond
)

var retryBackoff = budget.Backoff{Base: 2 * time.Millisecond, Max: 20 * time.Millisecond}

// picker makes the engine's decisions for one query. It implements scatter.Picker and must be used only by the
// goroutine that runs the query.
type picker struct {
	engine   *Engine
	view     *view
	search   model.SearchID
	caller   *callerState
	callerID model.CallerID
	deadline time.Time
	rng      *rand.Rand
	record   queryRecord
	// reservations holds those of picked targets whose attempts have not been sent yet, in order.
	reservations []reservation

	// now is the time of the last call to Pick.
	now time.Duration
	// candidates and targets describe the same replicas in the same order. They and p95 are buffers that are reused by
	// each call.
	candidates []replica.Candidate
	targets    []*targetState
	p95        []time.Duration
}

var _ scatter.Picker = (*picker)(nil)

// Pick implements scatter.Picker.
func (p *picker) Pick(now time.Duration, part *snapshot.Part, kind scatter.Kind, exclude []model.TargetID) (model.TargetID, scatter.PickResult) {
	p.now = now
	p.collectCandidates(now, part, kind, exclude)
	if len(p.targets) == 0 {
		return "", scatter.NoTarget
	}
	g := p.targets[0].group
	if kind.IsExtra() && !p.spendBudget(g, kind) {
		p.record.addRefusal(part, "", kind, refusedBudget)
		return "", scatter.NoBudget
	}
	for {
		at := replica.Choose(p.rng, p.candidates)
		if at < 0 {
			p.refundBudget(g, kind)
			return "", scatter.NoTarget
		}
		if p.acquire(now, part, kind, p.targets[at]) {
			p.earnBudget(g, kind)
			return p.targets[at].ID, scatter.Picked
		}
		p.targets = slices.Delete(p.targets, at, at+1)
		p.candidates = slices.Delete(p.candidates, at, at+1)
	}
}

// collectCandidates collects the replicas to which the attempt may be sent.
func (p *picker) collectCandidates(now time.Duration, part *snapshot.Part, kind scatter.Kind, exclude []model.TargetID) {
	p.targets, p.candidates = p.targets[:0], p.candidates[:0]
	if kind.IsExtra() && p.groupCrowded(now, part) {
		p.record.addRefusal(part, "", kind, refusedQueue)
		return
	}
	var cold []int
	for _, id := range part.Replicas {
		t := p.view.targets[id]
		if t == nil || slices.Contains(exclude, id) {
			continue
		}
		candidate, refused := t.candidate(now, kind)
		if refused != "" {
			p.record.addRefusal(part, id, kind, refused)
			continue
		}
		if g := p.engine.cfg.Gate; g != nil && !g.IsWarm(id) {
			candidate.Avoid = true
			cold = append(cold, len(p.candidates))
		}
		p.targets = append(p.targets, t)
		p.candidates = append(p.candidates, candidate)
	}
	if len(cold) > 0 && kind == scatter.First && p.rng.IntN(firstAttemptsPerCold) == 0 {
		p.avoidAllExcept(cold)
	}
}

// firstAttemptsPerCold is the number of first attempts at a group per attempt that is sent to a target that is not
// warm, provided that a permit is available. Otherwise a target back in service would stay cold as long as its replicas
// are warm.
const firstAttemptsPerCold = 8

// avoidAllExcept marks every candidate to be avoided, except those at the given positions.
func (p *picker) avoidAllExcept(positions []int) {
	for i := range p.candidates {
		p.candidates[i].Avoid = !slices.Contains(positions, i)
	}
}

// groupCrowded reports whether queues form at more than half of the replicas of a part, which means that the whole
// group lacks capacity. A single crowded replica may be a straggler, which hedges can bypass.
func (p *picker) groupCrowded(now time.Duration, part *snapshot.Part) bool {
	count := 0
	for _, id := range part.Replicas {
		if t := p.view.targets[id]; t != nil && t.isCrowded(now) {
			count++
		}
	}
	return 2*count > len(part.Replicas)
}

func (t *targetState) isCrowded(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats.IsCrowded(now)
}

// candidate returns the target as a candidate for the attempt, or the reason for rejecting it. A target where a queue
// forms gets no extra attempts, but the other replicas do: a saturated straggler must not prevent hedging around it.
func (t *targetState) candidate(now time.Duration, kind scatter.Kind) (candidate replica.Candidate, refused string) {
	median := t.group.median(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stats.InFlight() >= t.limiter.Limit() {
		t.stats.MarkCrowded(now)
		return candidate, refusedLimit
	}
	if kind.IsExtra() && t.stats.IsCrowded(now) {
		return candidate, refusedQueue
	}
	return t.stats.Candidate(now, median), ""
}

// acquire reserves capacity at the target for one attempt.
func (p *picker) acquire(now time.Duration, part *snapshot.Part, kind scatter.Kind, t *targetState) bool {
	t.mu.Lock()
	full := t.stats.InFlight() >= t.limiter.Limit() // another query may have reserved the rest since candidate was called
	if !full {
		t.stats.Start(now)
	}
	t.mu.Unlock()
	if full {
		p.record.addRefusal(part, t.ID, kind, refusedLimit)
		return false
	}
	g := p.engine.cfg.Gate
	if g == nil {
		p.reservations = append(p.reservations, reservation{deadline: p.deadline})
		return true
	}
	deadline := p.deadline
	if !g.IsWarm(t.ID) {
		deadline = earlier(deadline, time.Now().Add(gate.MaxColdDeadline))
	}
	release, ok := g.Acquire(t.ID, deadline)
	if !ok {
		t.mu.Lock()
		t.stats.Remove(now)
		t.mu.Unlock()
		p.record.addRefusal(part, t.ID, kind, refusedGate)
		return false
	}
	p.reservations = append(p.reservations, reservation{release: release, deadline: deadline})
	return true
}

// reservation is capacity reserved at a target for one attempt.
type reservation struct {
	// release returns the permit to the gate; nil if there is no gate.
	release gate.Release
	// deadline is the time at which the attempt is abandoned. For a target that is not warm, it may precede the
	// deadline of the query.
	deadline time.Time
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nextReservation removes and returns the reservation of the next attempt. Attempts are sent in the order in which they
// were picked.
func (p *picker) nextReservation() reservation {
	next := p.reservations[0]
	p.reservations = p.reservations[1:]
	if len(p.reservations) == 0 {
		p.reservations = nil
	}
	return next
}

// spendBudget charges one extra attempt to the budgets of the group and the caller and to the caller's cost limit. It
// reports false and charges nothing if one of them is exhausted.
func (p *picker) spendBudget(g *group, kind scatter.Kind) bool {
	reserve := 0.0
	if kind == scatter.Hedge {
		reserve = hedgeReserve
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p.caller.mu.Lock()
	defer p.caller.mu.Unlock()
	if !budget.Spend(g.budget, p.caller.budget, reserve) {
		return false
	}
	if limits := p.engine.cfg.Limits; limits != nil && !limits.Charge(p.callerID, 1) {
		g.budget.Refund()
		p.caller.budget.Refund()
		return false
	}
	return true
}

// refundBudget returns the budget tokens of an extra attempt that was not sent.
func (p *picker) refundBudget(g *group, kind scatter.Kind) {
	if kind.IsExtra() {
		g.mu.Lock()
		g.budget.Refund()
		g.mu.Unlock()
		p.caller.mu.Lock()
		p.caller.budget.Refund()
		p.caller.mu.Unlock()
	}
}

// earnBudget credits the budgets of the group and the caller for a first attempt.
func (p *picker) earnBudget(g *group, kind scatter.Kind) {
	if kind == scatter.First {
		g.mu.Lock()
		g.budget.Earn()
		g.mu.Unlock()
		p.caller.mu.Lock()
		p.caller.budget.Earn()
		p.caller.mu.Unlock()
	}
}

// HedgeDelay implements scatter.Picker.
func (p *picker) HedgeDelay(part *snapshot.Part) time.Duration {
	now := p.now
	p.p95 = p.p95[:0]
	var groupP95 time.Duration
	for _, id := range part.Replicas {
		t := p.view.targets[id]
		if t == nil {
			continue
		}
		t.mu.Lock()
		p.p95 = append(p.p95, t.stats.P95(now))
		t.mu.Unlock()
		if groupP95 == 0 {
			groupP95 = t.group.p95(now)
		}
	}
	return max(minHedgeDelay, replica.HedgeDelay(groupP95, p.p95, firstHedgeDelay))
}

// Backoff implements scatter.Picker.
func (p *picker) Backoff(retry int) time.Duration { return retryBackoff.Wait(p.rng, retry) }

// Newer implements scatter.Picker.
func (p *picker) Newer(present snapshot.Snapshot) (snapshot.Snapshot, bool) {
	p.view = p.engine.currentView(p.view.catalogue, p.engine.now())
	directory, ok := p.view.directory(p.search)
	if !ok {
		return snapshot.Snapshot{}, false
	}
	return directory.Newer(present)
}

func (g *group) median(now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.latencies.Median(now)
}

func (g *group) p95(now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.latencies.P95(now)
}
