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
	// extraShare is the share of hedges and retries in steady state.
	extraShare = 0.05
	groupBurst = 4
	// callerBurst lets a query over 61 shards send an extra attempt to each of them.
	callerBurst = 64
	// hedgeReserve is the share of the burst that hedges of the usual tail leave to late hedges and retries. Hedging at
	// the 95th percentile asks for 5 % of the attempts, which is the whole budget.
	hedgeReserve = 0.5
	// maxPerSlot times a target's slots is the most that this host ever has in flight there. A target queues two
	// attempts per slot and sheds more.
	maxPerSlot = 3
	// firstHedgeDelay applies until latencies are known. A host that has just started must not double its first
	// attempts while connections open. minHedgeDelay keeps clock noise from causing hedges.
	firstHedgeDelay = 50 * time.Millisecond
	minHedgeDelay   = time.Millisecond
)

var retryBackoff = budget.Backoff{Base: 2 * time.Millisecond, Max: 20 * time.Millisecond}

// picker supplies one query with the engine's decisions. It implements scatter.Picker and belongs to the goroutine of
// the query.
type picker struct {
	engine   *Engine
	view     *view
	search   model.SearchID
	caller   *callerState
	callerID model.CallerID
	deadline time.Time
	rng      *rand.Rand
	record   record
	// places are those at the targets picked whose attempts have not been sent yet, in order.
	places []place

	// now is the time of the last pick.
	now        time.Duration
	candidates []replica.Candidate
	targets    []*targetState
	p95        []time.Duration
}

var _ scatter.Picker = (*picker)(nil)

// Pick implements scatter.Picker.
func (p *picker) Pick(now time.Duration, part *snapshot.Part, kind scatter.Kind, exclude []model.TargetID) (model.TargetID, scatter.Verdict) {
	p.now = now
	p.gather(now, part, kind, exclude)
	if len(p.targets) == 0 {
		return "", scatter.NoTarget
	}
	g := p.targets[0].group
	if kind.Extra() && !p.spend(g, kind) {
		p.record.refuse(part, "", kind, refusedBudget)
		return "", scatter.NoBudget
	}
	for {
		at := replica.Choose(p.rng, p.candidates)
		if at < 0 {
			p.refund(g, kind)
			return "", scatter.NoTarget
		}
		if p.acquire(now, part, kind, p.targets[at]) {
			p.earn(g, kind)
			return p.targets[at].ID, scatter.Picked
		}
		p.targets = slices.Delete(p.targets, at, at+1)
		p.candidates = slices.Delete(p.candidates, at, at+1)
	}
}

// gather collects the replicas that may get the attempt.
func (p *picker) gather(now time.Duration, part *snapshot.Part, kind scatter.Kind, exclude []model.TargetID) {
	p.targets, p.candidates = p.targets[:0], p.candidates[:0]
	if kind.Extra() && p.crowded(now, part) {
		p.record.refuse(part, "", kind, refusedQueue)
		return
	}
	var cold []int
	for _, id := range part.Replicas {
		t := p.view.targets[id]
		if t == nil || slices.Contains(exclude, id) {
			continue
		}
		candidate, refused := t.consider(now, kind)
		if refused != "" {
			p.record.refuse(part, id, kind, refused)
			continue
		}
		if g := p.engine.cfg.Gate; g != nil && !g.Warm(id) {
			candidate.Avoid = true
			cold = append(cold, len(p.candidates))
		}
		p.targets = append(p.targets, t)
		p.candidates = append(p.candidates, candidate)
	}
	if len(cold) > 0 && kind == scatter.First && p.rng.IntN(coldChoices) == 0 {
		p.prefer(cold)
	}
}

// coldChoices is the number of first attempts at a group of which one goes to a target that is not warm, if it has a free
// permit. Without any, a target that has returned would stay cold for as long as its replicas are warm.
const coldChoices = 8

// prefer makes the candidates at the positions the first choice.
func (p *picker) prefer(positions []int) {
	for i := range p.candidates {
		p.candidates[i].Avoid = !slices.Contains(positions, i)
	}
}

// crowded tells whether queues form at most replicas of a part: then the whole group is short of capacity. One replica
// alone may be a straggler, around which hedges help.
func (p *picker) crowded(now time.Duration, part *snapshot.Part) bool {
	count := 0
	for _, id := range part.Replicas {
		if t := p.view.targets[id]; t != nil && t.crowded(now) {
			count++
		}
	}
	return 2*count > len(part.Replicas)
}

func (t *targetState) crowded(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evidence.Crowded(now)
}

// consider returns the target's part in a choice, or the reason why it gets no attempt of the kind now. A target where a
// queue forms gets no extra attempts, but its siblings do: a straggler that is full must not stop the hedges around it.
func (t *targetState) consider(now time.Duration, kind scatter.Kind) (candidate replica.Candidate, refused string) {
	median := t.group.median(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evidence.InFlight() >= t.limiter.Limit() {
		t.evidence.Crowd(now)
		return candidate, refusedLimit
	}
	if kind.Extra() && t.evidence.Crowded(now) {
		return candidate, refusedQueue
	}
	return t.evidence.Candidate(now, median), ""
}

// acquire takes a place at the target.
func (p *picker) acquire(now time.Duration, part *snapshot.Part, kind scatter.Kind, t *targetState) bool {
	t.mu.Lock()
	full := t.evidence.InFlight() >= t.limiter.Limit() // another query may have come first
	if !full {
		t.evidence.Start(now)
	}
	t.mu.Unlock()
	if full {
		p.record.refuse(part, t.ID, kind, refusedLimit)
		return false
	}
	g := p.engine.cfg.Gate
	if g == nil {
		p.places = append(p.places, place{deadline: p.deadline})
		return true
	}
	deadline := p.deadline
	if !g.Warm(t.ID) {
		deadline = earlier(deadline, time.Now().Add(gate.MaxColdDeadline))
	}
	release, ok := g.Acquire(t.ID, deadline)
	if !ok {
		t.mu.Lock()
		t.evidence.Forget(now)
		t.mu.Unlock()
		p.record.refuse(part, t.ID, kind, refusedGate)
		return false
	}
	p.places = append(p.places, place{release: release, deadline: deadline})
	return true
}

// place is a place at a target for one attempt.
type place struct {
	// release gives the place back; nil if there is no gate.
	release gate.Release
	// deadline is the end of the attempt. A permit for a target that is not warm may end before the query does.
	deadline time.Time
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// takePlace returns the place of the next attempt to be sent. The machine sends in the order in which it picks.
func (p *picker) takePlace() place {
	next := p.places[0]
	p.places = p.places[1:]
	if len(p.places) == 0 {
		p.places = nil
	}
	return next
}

// spend takes the right to one extra attempt from the group, the caller and the caller's cost limit.
func (p *picker) spend(g *group, kind scatter.Kind) bool {
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

func (p *picker) refund(g *group, kind scatter.Kind) {
	if kind.Extra() {
		g.mu.Lock()
		g.budget.Refund()
		g.mu.Unlock()
		p.caller.mu.Lock()
		p.caller.budget.Refund()
		p.caller.mu.Unlock()
	}
}

func (p *picker) earn(g *group, kind scatter.Kind) {
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
		p.p95 = append(p.p95, t.evidence.P95(now))
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
	return g.sketch.Median(now)
}

func (g *group) p95(now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sketch.P95(now)
}
