package forward

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
)

// maxTraced bounds the attempts of a request that a trace names.
const maxTraced = 128

// Trace tells how a request was carried out and with which configuration and evidence.
type Trace struct {
	ID         string
	Route      string
	Generation model.Generation
	Hosts      int
	Priority   int
	// Allowed is the time from the request's arrival to its deadline; Took the time to its final answer.
	Allowed, Took time.Duration
	Attempts      []AttemptTrace
	// Answered and Shards count the shards in the answer and in all.
	Answered, Shards int
	// Failed tells that the answer is a target's own failure.
	Failed bool
	// Err is the refusal, nil if there was none.
	Err *fault.Error
	// BudgetRefusals counts the extra attempts that the budget refused.
	BudgetRefusals int
}

// AttemptTrace is one attempt of a request. Times are from the request's arrival.
type AttemptTrace struct {
	Service model.ServiceID
	Target  model.TargetID
	Kind    scatter.Kind
	// Estimate is the time that the attempt was expected to take when its target was chosen.
	Estimate time.Duration
	Sent     time.Duration
	// Ended is 0 while the attempt had not ended at the answer.
	Ended   time.Duration
	Failure scatter.Failure
	// Cause is the error behind the failure; empty without one.
	Cause string
}

// IsOrdinary tells whether the request was answered in full, with one attempt for each shard.
func (t *Trace) IsOrdinary() bool {
	return t.Err == nil && !t.Failed && t.Answered == t.Shards && len(t.Attempts) == t.Shards
}

func newTrace(request Request, w *World) Trace {
	return Trace{
		ID:         request.ID,
		Route:      request.Route.Name,
		Generation: w.Table.Generation,
		Hosts:      w.Fleet.Hosts,
		Priority:   request.Route.Priority,
		Allowed:    request.Deadline.Sub(request.Arrived),
	}
}

// send notes an attempt. Attempts beyond the bound are left out.
func (t *Trace) send(action scatter.Action, p place, at time.Duration) {
	if len(t.Attempts) >= maxTraced {
		return
	}
	t.Attempts = append(t.Attempts, AttemptTrace{
		Service:  model.ServiceID(action.What.ID),
		Target:   action.Attempt.Target,
		Kind:     action.Attempt.Kind,
		Estimate: p.estimate,
		Sent:     at,
	})
}

func (t *Trace) end(ev event, at time.Duration) {
	if ev.attempt >= len(t.Attempts) {
		return
	}
	a := &t.Attempts[ev.attempt]
	a.Ended = at
	if ev.err != nil {
		a.Failure, a.Cause = scatter.Classify(ev.err), ev.err.Error()
	}
}

// report hands the trace to the observer.
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
