package forward

import (
	"context"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
)

const (
	// warmupInterval is the interval at which targets are asked whether they have turned cold while the store is away. A target in use
	// may get little more than one of these intervals of its usual load before the host knows.
	warmupInterval = 100 * time.Millisecond
	// warmupTimeout bounds the question, which waits for a slot of the target.
	warmupTimeout = 500 * time.Millisecond
	// pickedRecently is how long after an attempt a target counts as in use.
	pickedRecently = time.Second
)

// WatchWarmups asks targets for their health while the store, whose entries tell otherwise who is cold, is away. It runs until the
// context ends.
func (e *Engine) WatchWarmups(ctx context.Context, storeAway func() bool) {
	for ctxtime.Sleep(ctx, warmupInterval) == nil {
		if storeAway() {
			e.askForWarmups()
		}
	}
}

// askForWarmups asks each target in use whose service limits the rate at which cold targets get requests.
func (e *Engine) askForWarmups() {
	rs := e.routingState.Load()
	if rs == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for id, state := range e.targets {
		t, ok := rs.registered[id]
		service := rs.Table.Services[t.Service]
		if !ok || service.ColdRate <= 0 || service.HealthPath == "" || state.asked || now-state.lastPicked > pickedRecently {
			continue
		}
		p := pickedTarget{target: t, state: state}
		if !e.mayBeAsked(&p) {
			continue
		}
		state.asked = true
		e.tasks.Go(func() { e.askForWarmup(&p, service.HealthPath) })
	}
}

func (e *Engine) askForWarmup(p *pickedTarget, path string) {
	reply, _ := e.askOnce(p, probe{path: path, timeout: warmupTimeout})
	e.mu.Lock()
	p.state.asked = false
	var decisions []TargetDecision
	if reply != nil {
		decisions = e.recordWishes(p.state, reply)
	}
	e.mu.Unlock()
	e.reportDecisions(decisions)
}
