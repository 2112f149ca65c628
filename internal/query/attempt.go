package query

import (
	"context"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/concurrency"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	cancelTimeout = 500 * time.Millisecond
	cancelRepeat  = 20 * time.Millisecond
	statusTimeout = 200 * time.Millisecond
)

// Observer learns of every attempt. Its methods are called from many goroutines and must return at once.
type Observer interface {
	AttemptStarted(AttemptStart)
	AttemptEnded(AttemptEnd)
}

// AttemptStart describes an attempt that is about to be sent.
type AttemptStart struct {
	Attempt     model.AttemptID
	Target      model.TargetID
	Caller      model.CallerID
	Fingerprint uint64
	// Incarnation is the last known one of the target, 0 if none is known.
	Incarnation model.Incarnation
}

// AttemptEnd describes an attempt whose own end has come, which may be after the end of its query.
type AttemptEnd struct {
	AttemptStart
	// Failure is empty for a whole and matching reply.
	Failure scatter.Failure
	// ReplyIncarnation is the one that the reply named, 0 if there was none.
	ReplyIncarnation model.Incarnation
}

// attempt is one attempt of a query.
type attempt struct {
	query   *run
	number  int
	target  *targetState
	request targetclient.SearchRequest
	place   place
	start   AttemptStart
	started time.Duration
	// recorded is the attempt's position in the record of the query.
	recorded int
	// ended is closed when the attempt's own end has come.
	ended chan struct{}
}

func (q *run) newAttempt(action scatter.Action) *attempt {
	t := q.picker.view.targets[action.Attempt.Target]
	id := model.AttemptID{Incarnation: q.engine.identity, Sequence: q.engine.sequence.Add(1)}
	place := q.picker.takePlace()
	a := q.room()
	*a = attempt{
		query:   q,
		number:  action.Attempt.ID,
		target:  t,
		place:   place,
		started: action.Attempt.Sent,
		ended:   make(chan struct{}),
		request: targetclient.SearchRequest{
			Attempt:    id,
			Index:      action.What.Index,
			Shard:      action.What.ID,
			Version:    action.What.Version,
			Query:      q.request.Query,
			Limit:      q.request.Limit,
			DeadlineMS: max(1, time.Until(place.deadline).Milliseconds()),
		},
		start: AttemptStart{Attempt: id, Target: t.ID, Caller: q.request.Caller, Fingerprint: q.fingerprint},
	}
	a.recorded = q.record.send(action, id)
	return a
}

// room returns an attempt of the block that was allocated for the first attempts, or a new one.
func (q *run) room() *attempt {
	if len(q.block) == 0 {
		return new(attempt)
	}
	a := &q.block[0]
	q.block = q.block[1:]
	return a
}

// run sends the attempt and waits for its own end.
func (a *attempt) run() {
	q := a.query
	defer q.done()
	observer := q.engine.cfg.Observer
	if observer != nil {
		a.start.Incarnation = a.target.lastIncarnation()
		observer.AttemptStarted(a.start)
	}
	ctx, cancel := q.attempts, func() {}
	if a.place.deadline.Before(q.deadline) {
		ctx, cancel = context.WithDeadline(ctx, a.place.deadline)
	}
	defer cancel()
	reply, err := q.engine.cfg.Client.Search(ctx, a.target.Target, a.request)
	var failure scatter.Failure
	if err != nil {
		failure = scatter.Classify(err)
	}
	close(a.ended)
	now := q.engine.now()
	a.learn(now, failure, reply.Incarnation)
	q.record.end(a.recorded, failure)
	if observer != nil {
		observer.AttemptEnded(AttemptEnd{AttemptStart: a.start, Failure: failure, ReplyIncarnation: reply.Incarnation})
	}
	select {
	case q.events <- event{attempt: a.number, reply: &reply, err: err}:
	case <-q.over:
	}
}

// learn updates the evidence about the target and gives its place back.
func (a *attempt) learn(now time.Duration, failure scatter.Failure, incarnation model.Incarnation) {
	t, latency := a.target, now-a.started
	t.mu.Lock()
	inFlight := t.evidence.InFlight()
	measured := false
	switch failure {
	case "", scatter.FailedCancelled, scatter.FailedSilent, scatter.FailedLate, scatter.FailedDeadline:
		t.evidence.End(now, a.started, failure == "")
		measured = true
	case scatter.FailedVersionGone:
		t.evidence.Forget(a.started)
	default:
		t.evidence.Refused(now, a.started)
	}
	if failure == scatter.FailedShed {
		t.evidence.Crowd(now)
	}
	t.limiter.Observe(now, latency, inFlight, loadOutcome(failure))
	t.incarnation = max(t.incarnation, incarnation)
	t.mu.Unlock()
	if measured {
		t.group.sample(now, latency, failure == "")
	}
	if failure == scatter.FailedVersionGone {
		a.query.engine.refresh(t)
	}
	if a.place.release != nil {
		a.place.release(gate.Outcome{Result: gateResult(failure), Latency: latency, Incarnation: incarnation})
	}
}

// cancel asks the target to stop the attempt. The place at the target is free when the attempt's own reply arrives.
func (a *attempt) cancel() {
	a.query.record.cancelled(a.recorded)
	a.query.engine.tasks.Go(func() {
		a.sendCancel()
		// A cancel request that overtakes its attempt finds nothing to stop, so it is sent once more.
		timer := time.NewTimer(cancelRepeat)
		defer timer.Stop()
		select {
		case <-a.ended:
		case <-timer.C:
			a.sendCancel()
		}
	})
}

func (a *attempt) sendCancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = a.query.engine.cfg.Client.Cancel(ctx, a.target.Target, a.request.Attempt) // without it the target stops at the deadline
}

// refresh asks a target that lost a version for its report, so that a restart does not wait for the next poll.
func (e *Engine) refresh(t *targetState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refreshing {
		return
	}
	t.refreshing = true
	e.tasks.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), statusTimeout)
		defer stop()
		status, err := e.cfg.Client.Status(ctx, t.Target)
		if err == nil {
			e.cfg.Inventory.Put(status)
		}
		t.mu.Lock()
		t.refreshing = false
		t.mu.Unlock()
	})
}

func (t *targetState) lastIncarnation() model.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation
}

func (g *group) sample(now, latency time.Duration, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sketch.Add(now, latency, complete)
}

func loadOutcome(failure scatter.Failure) concurrency.Outcome {
	switch failure {
	case "":
		return concurrency.Success
	case scatter.FailedShed, scatter.FailedSilent, scatter.FailedLate, scatter.FailedDeadline:
		return concurrency.Overload
	}
	return concurrency.Neutral
}

var gateResults = map[scatter.Failure]gate.Result{
	"":                      gate.Success,
	scatter.FailedNotSent:   gate.NotSent,
	scatter.FailedShed:      gate.Shed,
	scatter.FailedDraining:  gate.Draining,
	scatter.FailedLost:      gate.Lost,
	scatter.FailedSilent:    gate.Silent,
	scatter.FailedLate:      gate.Silent,
	scatter.FailedCancelled: gate.Cancelled,
}

func gateResult(failure scatter.Failure) gate.Result {
	if result, ok := gateResults[failure]; ok {
		return result
	}
	return gate.Other
}
