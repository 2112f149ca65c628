// Package gate defines what the query engine and admission ask before they send work: may a target get an attempt now,
// and may a caller start a request. internal/server implements the interfaces; the types here have no behaviour.
package gate

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Result is the way an attempt at a target ended.
type Result string

// The results of an attempt.
const (
	// Success is a whole and matching reply.
	Success Result = "success"
	// NotSent means that no byte of the attempt left this host.
	NotSent Result = "not_sent"
	// Shed means that the target refused for load.
	Shed Result = "shed"
	// Draining means that the target refused because it is leaving.
	Draining Result = "draining"
	// Lost means that the connection was reset or ended before the reply.
	Lost Result = "lost"
	// Silent means that no reply arrived by the deadline.
	Silent Result = "silent"
	// Cancelled means that this host cancelled the attempt and the target confirmed it.
	Cancelled Result = "cancelled"
	// Other is any other error of the target, for instance a version that it no longer holds.
	Other Result = "other"
)

// Outcome tells the gate how an attempt ended. It is the evidence for the phase of the target.
type Outcome struct {
	Result Result
	// Latency is the time from sending the attempt to its end.
	Latency time.Duration
	// Incarnation is the one that the reply named; 0 if there was none.
	Incarnation model.Incarnation
}

// MaxColdDeadline is the longest time that an attempt at a target that is not warm may last. Permits end 1.5 s after they
// were asked for and are renewed every 0.5 s, so a permit for this time can be had at any moment.
const MaxColdDeadline = time.Second

// Release ends an attempt's use of a target. It is called exactly once, when the reply has arrived, the connection is
// known to be lost, or the attempt's deadline has passed; for a cancelled attempt too, not when it was cancelled.
type Release func(Outcome)

// TargetGate decides which targets may get new work. Implementations are safe for concurrent use and do not block.
type TargetGate interface {
	// Eligible tells whether the target is in service: not out, not draining, not leaving. A cold target is eligible.
	Eligible(target model.TargetID) bool
	// Warm tells whether the target takes work without a permit. Replica choice prefers warm targets.
	Warm(target model.TargetID) bool
	// Acquire asks to send one attempt that ends at the deadline, for a target that is not warm within MaxColdDeadline. It refuses for a target that is not eligible, and for
	// a cold target without a free permit that lasts until the deadline. When ok, release must be called once.
	Acquire(target model.TargetID, deadline time.Time) (release Release, ok bool)
}

// CallerLimits holds callers to the limits of their catalogue entries over all hosts. Implementations are safe for
// concurrent use. Take waits for up to 0.2 s while this host borrows for a caller that it has not served lately.
type CallerLimits interface {
	// Take admits one request that ends at the deadline and first needs cost target attempts. The errors are
	// *fault.Error of kind RateLimited with execution not_run. When err is nil, release must be called once at the end
	// of the request.
	Take(caller model.CallerID, cost float64, deadline time.Time) (release func(), err error)
	// Charge asks for more attempts of a running request (hedges and retries). It refuses over the caller's cost limit.
	Charge(caller model.CallerID, cost float64) bool
}
