package server

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/share"
)

const (
	// borrowWait limits how long a request waits for the first loan.
	borrowWait = 200 * time.Millisecond
	// borrowPollInterval is the interval at which a waiting request checks whether a loan has arrived.
	borrowPollInterval = 5 * time.Millisecond
	// newlyActiveWindow is how long a caller counts as newly active on this host, so that its requests may wait for a loan.
	// Afterwards requests over the limit are refused immediately.
	newlyActiveWindow = 300 * time.Millisecond
	// maxLoanWaiters limits the requests on this host that wait for a loan.
	maxLoanWaiters = 64
)

// borrowRetryAfter is the retry delay sent to refused callers. By then this host may have borrowed more of their grant.
const borrowRetryAfter = 200 * time.Millisecond

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

// tryTake takes the units of a request without blocking. On failure, mayWait reports whether a loan that may still arrive
// could let a retry succeed.
func (g *gates) tryTake(
	caller model.CallerID, cost float64, remaining time.Duration, retry bool,
) (release func(), mayWait bool, err error) {
	g.update(func(now time.Duration) {
		var unit share.Unit
		if unit, err = g.takeLocked(now, caller, cost, remaining, retry); err == nil {
			release = func() { g.update(func(now time.Duration) { g.shares.Release(now, unit) }) }
		}
		mayWait = g.shares.IsNewlyActive(now, rateKey(caller), newlyActiveWindow) || g.hasEmptyLimit(now, caller)
	})
	return release, mayWait, err
}

// hasEmptyLimit reports whether this host has no usable units of at least one of the caller's limits.
func (g *gates) hasEmptyLimit(now time.Duration, caller model.CallerID) bool {
	return g.shares.Usable(now, rateKey(caller)) == 0 || g.shares.Usable(now, costKey(caller)) == 0 ||
		g.shares.Usable(now, inFlightKey(caller)) == 0
}

// awaitLoan sleeps for one poll interval to let a loan arrive. It returns false without waiting if too many requests are
// waiting already.
func (g *gates) awaitLoan(limit time.Duration) bool {
	if g.loanWaiters.Add(1) > maxLoanWaiters {
		g.loanWaiters.Add(-1)
		return false
	}
	defer g.loanWaiters.Add(-1)
	timer := time.NewTimer(min(limit, borrowPollInterval))
	defer timer.Stop()
	<-timer.C
	return true
}

// takeLocked takes the units of a request. retry is set if the request was refused before and is waiting for a loan. The
// mutex must be held.
func (g *gates) takeLocked(
	now time.Duration, caller model.CallerID, cost float64, remaining time.Duration, retry bool,
) (share.Unit, error) {
	takeTokens := g.shares.Take
	if retry {
		takeTokens = g.shares.Retry
	}
	if !takeTokens(now, rateKey(caller), 1) {
		return share.Unit{}, errOverLimit(caller, "rate")
	}
	if !takeTokens(now, costKey(caller), cost) {
		g.shares.Refund(rateKey(caller), 1)
		return share.Unit{}, errOverLimit(caller, "cost")
	}
	unit, ok := g.shares.Acquire(now, inFlightKey(caller), now+remaining)
	if !ok {
		g.shares.Refund(rateKey(caller), 1)
		g.shares.Refund(costKey(caller), cost)
		return share.Unit{}, errOverLimit(caller, "in-flight")
	}
	return unit, nil
}

func errOverLimit(caller model.CallerID, limit string) *fault.Error {
	return fault.New(fault.RateLimited, fault.NotRun,
		"send fewer requests, or ask the operators for a higher limit",
		"caller %s is over its %s limit at this host", caller, limit).WithRetryAfter(borrowRetryAfter)
}

// Charge implements gate.CallerLimits.
func (g *gates) Charge(caller model.CallerID, cost float64) (ok bool) {
	g.update(func(now time.Duration) { ok = g.shares.Take(now, costKey(caller), cost) })
	return ok
}

// requestTick makes run tick immediately. It does nothing if an early tick is already pending.
func (g *gates) requestTick() {
	select {
	case g.earlyTick <- struct{}{}:
	default:
	}
}
