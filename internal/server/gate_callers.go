package server

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/share"
)

// borrowTime is the time after which a refused caller may find that this host has borrowed more of its grant.
const borrowTime = 200 * time.Millisecond

var _ gate.CallerLimits = (*gates)(nil)

// Take implements gate.CallerLimits.
func (g *gates) Take(caller model.CallerID, cost float64, deadline time.Time) (release func(), err error) {
	if g.view.Fenced() {
		return nil, fault.New(fault.CutOff, fault.NotRun, "use another host",
			"this host may be cut off from configuration changes")
	}
	remaining := time.Until(deadline)
	g.do(func(now time.Duration) {
		var unit share.Unit
		if unit, err = g.take(now, caller, cost, remaining); err == nil {
			release = func() { g.do(func(now time.Duration) { g.shares.Release(now, unit) }) }
		}
	})
	if err != nil {
		g.hasten()
		return nil, err
	}
	return release, nil
}

func (g *gates) take(now time.Duration, caller model.CallerID, cost float64, remaining time.Duration) (share.Unit, error) {
	if !g.shares.Take(now, rateKey(caller), 1) {
		return share.Unit{}, overLimit(caller, "rate")
	}
	if !g.shares.Take(now, costKey(caller), cost) {
		g.shares.Untake(rateKey(caller), 1)
		return share.Unit{}, overLimit(caller, "cost")
	}
	unit, ok := g.shares.Acquire(now, inFlightKey(caller), now+remaining)
	if !ok {
		g.shares.Untake(rateKey(caller), 1)
		g.shares.Untake(costKey(caller), cost)
		return share.Unit{}, overLimit(caller, "in-flight")
	}
	return unit, nil
}

func overLimit(caller model.CallerID, limit string) *fault.Error {
	return fault.New(fault.RateLimited, fault.NotRun,
		"send fewer requests, or ask the operators for a higher limit",
		"caller %s is over its %s limit at this host", caller, limit).WithRetryAfter(borrowTime)
}

// Charge implements gate.CallerLimits.
func (g *gates) Charge(caller model.CallerID, cost float64) (ok bool) {
	g.do(func(now time.Duration) { ok = g.shares.Take(now, costKey(caller), cost) })
	return ok
}

// hasten makes run tick at once. A tick that is already due is enough.
func (g *gates) hasten() {
	select {
	case g.hurry <- struct{}{}:
	default:
	}
}
