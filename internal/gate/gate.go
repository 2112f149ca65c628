// Package gate defines the interfaces through which the query engine and admission control check, before they send work,
// whether a target may receive an attempt and whether a caller may start a request. Package internal/server implements
// them.
package gate

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Result classifies how an attempt at a target ended.
type Result string

// Results of an attempt.
const (
	// Success means that a complete reply to the attempt arrived.
	Success Result = "success"
	// NotSent means that no byte of the request was sent.
	NotSent Result = "not_sent"
	// Shed means that the target refused the attempt because of overload.
	Shed Result = "shed"
	// Draining means that the target refused the attempt because it is draining.
	Draining Result = "draining"
	// Lost means that the connection was reset or ended before the reply.
	Lost Result = "lost"
	// NoReply means that no reply arrived before the deadline.
	NoReply Result = "silent"
	// Cancelled means that this host cancelled the attempt and the target confirmed it.
	Cancelled Result = "cancelled"
	// Other is any other error of the target, for example a version that it no longer holds.
	Other Result = "other"
)

// Outcome describes how an attempt ended. The gate uses it to determine the phase of the target.
type Outcome struct {
	Result Result
	// Latency is the time from sending the attempt to its end.
	Latency time.Duration
	// Incarnation is the target's incarnation according to the reply, or 0 if there was none.
	Incarnation model.Incarnation
}

// MaxColdDeadline is the maximum duration of an attempt at a target that is not warm. Permits expire 1.5 s after they were
// requested and are renewed every 0.5 s, so at any time a permit remains valid for at least this long.
const MaxColdDeadline = time.Second

// Release ends an attempt's use of a target. It must be called exactly once: when the reply has arrived, the connection is
// known to be lost, or the attempt's deadline has passed. This also applies to a cancelled attempt: cancelling it is not
// enough to call Release.
type Release func(Outcome)

// TargetGate decides which targets may receive new work. Implementations are safe for concurrent use and do not block.
type TargetGate interface {
	// IsEligible reports whether the target is in service: not out, not draining, not leaving. A cold target is eligible.
	IsEligible(target model.TargetID) bool
	// IsWarm reports whether the target accepts work without a permit. Replica selection prefers warm targets.
	IsWarm(target model.TargetID) bool
	// Acquire requests permission to send an attempt that ends at the deadline. For a target that is not warm, the deadline
	// must be within MaxColdDeadline. Acquire refuses if the target is not eligible, or if it is cold and no permit is free
	// until the deadline. If ok, release must be called exactly once.
	Acquire(target model.TargetID, deadline time.Time) (release Release, ok bool)
}

// CallerLimits enforces the limits in the catalogue entries of callers across all hosts. Implementations are safe for
// concurrent use. Take blocks for up to 0.2 s while this host borrows units for a caller that it has not served recently.
type CallerLimits interface {
	// Take admits a request that ends at the deadline and initially needs cost target attempts. Errors are of type
	// *fault.Error with execution not_run; the kind is RateLimited, or CutOff on a fenced host. If err is nil, release must
	// be called exactly once at the end of the request.
	Take(caller model.CallerID, cost float64, deadline time.Time) (release func(), err error)
	// Charge requests additional attempts (hedges and retries) for a running request. It returns false if they would exceed
	// the caller's cost limit.
	Charge(caller model.CallerID, cost float64) bool
}
