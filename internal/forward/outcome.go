package forward

import (
	"context"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
)

// outcome returns the final answer.
func (r *run) outcome(ctx context.Context) Outcome {
	r.finish()
	result := r.machine.Result()
	replies := make([]*exchange.Reply, len(result.Replies))
	answered := 0
	for i, reply := range result.Replies {
		if reply != nil {
			replies[i] = reply.(*exchange.Reply)
			answered++
		}
	}
	switch {
	case r.interrupted:
		return Outcome{Err: interruptedError(context.Cause(ctx), result.Execution)}
	case r.condemned:
		return Outcome{Err: r.condemnedError(result.Execution)}
	case answered >= r.required():
		return Outcome{Replies: replies}
	case len(r.request.Route.Shards) == 0 && r.failure != nil:
		return Outcome{Failure: r.failure}
	}
	return Outcome{Err: r.refusalError(result, answered)}
}

// condemnedError returns the error of a request that turned out to crash targets while it ran.
func (r *run) condemnedError(execution fault.Execution) *fault.Error {
	j := r.engine.judge(r.fingerprint)
	if j.Verdict == evidence.Quarantined {
		return quarantineError(j, execution)
	}
	return fault.New(fault.TargetFailed, execution, "repeat the request if it may run twice", "a target ended while it had the request")
}

// interruptedError returns the error of a request that was interrupted because its caller disconnected or the host is
// stopping.
func interruptedError(cause error, execution fault.Execution) *fault.Error {
	if execution == fault.NotRun {
		return fault.Wrap(cause, fault.Overloaded, fault.NotRun, "repeat the request", "the request was interrupted").WithRetryAfter(minRetryAfter)
	}
	return fault.Wrap(cause, fault.TargetFailed, execution, "repeat the request if it may run twice", "the request was interrupted")
}

// refusalError returns the error of a request that too few targets answered.
func (r *run) refusalError(result scatter.Result, answered int) *fault.Error {
	after := r.defaultRetryAfter()
	if err := r.checkWilling(); err != nil {
		after = err.RetryAfter()
	}
	switch {
	case r.neverSent || len(r.picked) == 0:
		return fault.New(fault.Overloaded, fault.NotRun, "repeat the request", "no target could take the request").WithRetryAfter(after)
	case result.Execution == fault.NotRun:
		return fault.New(fault.Overloaded, fault.NotRun, "repeat the request", "every target refused the request").WithRetryAfter(after)
	case answered > 0:
		return fault.New(fault.CoverageBelowMinimum, fault.Ran, "repeat the request",
			"%d of %d shards answered", answered, len(result.Replies)).WithCoverage(result.Coverage.Fraction)
	}
	if !time.Now().Before(r.request.Deadline) {
		return fault.New(fault.DeadlineExceeded, fault.OutcomeUnknown, "repeat the request if it may run twice",
			"no target answered in time")
	}
	if r.noRoom {
		return fault.New(fault.Overloaded, fault.OutcomeUnknown, "repeat the request later if it may run twice",
			"this host has no memory for the answer").WithRetryAfter(after)
	}
	return fault.New(fault.TargetFailed, fault.OutcomeUnknown, "repeat the request if it may run twice",
		"the targets failed before they answered")
}
