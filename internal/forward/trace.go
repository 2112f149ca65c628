package forward

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
)

// maxTraced bounds the number of attempts in a trace.
const maxTraced = 128

// Trace describes how a request was executed, with the configuration and the estimates that were used.
type Trace struct {
	ID    string
	Route string
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	Generation  model.Generation
	Hosts       int
	Priority    int
	// Allowed is the time from the request's arrival to its deadline, and Took the time to its final answer.
	Allowed, Took time.Duration
	Attempts      []AttemptTrace
	// Answered is the number of shards in the answer, and Shards the number of all shards of the request.
	Answered, Shards int
	// Failed means that the answer is the error reply of a target.
	Failed bool
	// Err is the error of a refused or failed request, otherwise nil.
	Err *fault.Error
	// BudgetRefusals counts the extra attempts that were not sent because the budget was exhausted.
	BudgetRefusals int
}

// AttemptTrace describes one attempt of a request. Sent and Ended are relative to the request's arrival.
type AttemptTrace struct {
	Service model.ServiceID
	Target  model.TargetID
	Kind    scatter.Kind
	// Estimate is the expected duration of the attempt at the time its target was chosen.
	Estimate time.Duration
	Sent     time.Duration
	// Ended is 0 if the attempt had not ended when the request was answered.
	Ended   time.Duration
	Failure scatter.Failure
	// Cause is the text of the error behind the failure, empty if there is none.
	Cause string
}

// IsOrdinary reports whether the request was answered completely, with exactly one attempt per shard.
func (t *Trace) IsOrdinary() bool {
	return t.Err == nil && !t.Failed && t.Answered == t.Shards && len(t.Attempts) == t.Shards
}

func newTrace(request Request, rs *RoutingState) Trace {
	return Trace{
		ID:         request.ID,
		Route:      request.Route.Name,
		Generation: rs.Table.Generation,
		Hosts:      rs.Fleet.Hosts,
		Priority:   request.Route.Priority,
		Allowed:    request.Deadline.Sub(request.Arrived),
	}
}

// recordSend adds an attempt. Attempts beyond maxTraced are omitted.
func (t *Trace) recordSend(action scatter.Action, p pickedTarget, at time.Duration) {
	if len(t.Attempts) >= maxTraced {
		return
	}
	t.Attempts = append(t.Attempts, AttemptTrace{
		Service:  model.ServiceID(action.SnapshotPart.ID),
		Target:   action.Attempt.Target,
		Kind:     action.Attempt.Kind,
		Estimate: p.estimate,
		Sent:     at,
	})
}

func (t *Trace) recordEnd(ev event, at time.Duration) {
	if ev.attempt >= len(t.Attempts) {
		return
	}
	a := &t.Attempts[ev.attempt]
	a.Ended = at
	if ev.err != nil {
		a.Failure, a.Cause = scatter.Classify(ev.err), ev.err.Error()
	}
}

// report passes the trace to the observer.
func (r *run) report(outcome Outcome) {
	if r.engine.cfg.Observer == nil {
		return
	}
	t := r.trace
	t.Took = r.engine.now() - r.arrived
	t.Shards = max(1, len(r.request.Route.Shards))
	t.Answered = countReplies(outcome.Replies)
	t.Failed = outcome.Failure != nil
	t.Err = outcome.Err
	r.engine.cfg.Observer.RequestEnded(t)
}

func countReplies(replies []*exchange.Reply) int {
	count := 0
	for _, reply := range replies {
		if reply != nil {
			count++
		}
	}
	return count
}
