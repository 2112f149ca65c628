package server

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/share"
)

const (
	// borrowWait bounds the wait of a request for the first loan.
	borrowWait = 200 * time.Millisecond
	// borrowPoll is the time between two looks whether a loan has arrived.
	borrowPoll = 5 * time.Millisecond
	// newDemand is the time for which a caller counts as not served lately. Requests over the limit are refused at once
	// afterwards.
	newDemand = 300 * time.Millisecond
	// maxBorrowWaiters bounds the requests that wait for a loan at this host.
	maxBorrowWaiters = 64
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
	start := time.Now()
	for retry := false; ; retry = true {
		release, mayWait, err := g.tryTake(caller, cost, time.Until(deadline), retry)
		if err == nil {
			return release, nil
		}
		g.requestTick()
		limit := min(borrowWait, time.Until(deadline)/4)
		if !mayWait || time.Since(start) >= limit || !g.awaitLoan(limit-time.Since(start)) {
			return nil, err
		}
	}
}

// tryTake takes what a request needs at once. mayWait tells whether this host may only not have borrowed yet.
func (g *gates) tryTake(
	caller model.CallerID, cost float64, remaining time.Duration, retry bool,
) (release func(), mayWait bool, err error) {
	g.do(func(now time.Duration) {
		var unit share.Unit
		if unit, err = g.take(now, caller, cost, remaining, retry); err == nil {
			release = func() { g.do(func(now time.Duration) { g.shares.Release(now, unit) }) }
		}
		mayWait = g.shares.IsNewDemand(now, rateKey(caller), newDemand) || g.hasNothing(now, caller)
	})
	return release, mayWait, err
}

// hasNothing tells whether this host may use nothing of one of the caller's limits.
func (g *gates) hasNothing(now time.Duration, caller model.CallerID) bool {
	return g.shares.Usable(now, rateKey(caller)) == 0 || g.shares.Usable(now, costKey(caller)) == 0 ||
		g.shares.Usable(now, inFlightKey(caller)) == 0
}

// awaitLoan waits a little for a loan to arrive. It returns false if too many requests wait already.
func (g *gates) awaitLoan(limit time.Duration) bool {
	if g.waiting.Add(1) > maxBorrowWaiters {
		g.waiting.Add(-1)
		return false
	}
	defer g.waiting.Add(-1)
	timer := time.NewTimer(min(limit, borrowPoll))
	defer timer.Stop()
	<-timer.C
	return true
}

// take takes what a request needs. retry tells that the request was refused before and waits for a loan.
func (g *gates) take(
	now time.Duration, caller model.CallerID, cost float64, remaining time.Duration, retry bool,
) (share.Unit, error) {
	takeTokens := g.shares.Take
	if retry {
		takeTokens = g.shares.Retry
	}
	if !takeTokens(now, rateKey(caller), 1) {
		return share.Unit{}, overLimit(caller, "rate")
	}
	if !takeTokens(now, costKey(caller), cost) {
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

// requestTick makes run tick at once. A tick that is already due is enough.
func (g *gates) requestTick() {
	select {
	case g.earlyTick <- struct{}{}:
	default:
	}
}
