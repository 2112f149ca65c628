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
	cancelTimeout    = 500 * time.Millisecond
	cancelRetryDelay = 20 * time.Millisecond
	statusTimeout    = 200 * time.Millisecond
)

// Observer is notified of every attempt. Its methods are called concurrently and must not block.
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
	// Incarnation is the last known incarnation of the target, 0 if none is known.
	Incarnation model.Incarnation
}

// AttemptEnd describes an attempt that has ended, possibly after its query.
type AttemptEnd struct {
	AttemptStart
	// Failure is empty for a complete reply that matches the request.
	Failure scatter.Failure
	// ReplyIncarnation is the incarnation named by the reply, 0 without a reply.
	ReplyIncarnation model.Incarnation
}

// attempt is one attempt of a query.
type attempt struct {
	query       *activeQuery
	number      int
	target      *targetState
	request     targetclient.SearchRequest
	reservation reservation
	start       AttemptStart
	started     time.Duration
	// recordIndex is the index of the attempt in the record of the query, negative if it was not recorded.
	recordIndex int
	// done is closed when the call to the target has returned.
	done chan struct{}
}

func (q *activeQuery) newAttempt(action scatter.Action) *attempt {
	t := q.picker.view.targets[action.Attempt.Target]
	id := model.AttemptID{Incarnation: q.engine.attemptIncarnation, Sequence: q.engine.sequence.Add(1)}
	reserved := q.picker.nextReservation()
	a := q.allocAttempt()
	*a = attempt{
		query:       q,
		number:      action.Attempt.ID,
		target:      t,
		reservation: reserved,
		started:     action.Attempt.Sent,
		done:        make(chan struct{}),
		request: targetclient.SearchRequest{
			Attempt:    id,
			Index:      action.SnapshotPart.Index,
			Shard:      action.SnapshotPart.ID,
			Version:    action.SnapshotPart.Version,
			Query:      q.request.Query,
			Limit:      q.request.Limit,
			DeadlineMS: max(1, time.Until(reserved.deadline).Milliseconds()),
		},
		start: AttemptStart{Attempt: id, Target: t.ID, Caller: q.request.Caller, Fingerprint: q.fingerprint},
	}
	a.recordIndex = q.record.addAttempt(action, id)
	return a
}

// allocAttempt returns a preallocated attempt while any is left, otherwise a new one.
func (q *activeQuery) allocAttempt() *attempt {
	if len(q.preallocated) == 0 {
		return new(attempt)
	}
	a := &q.preallocated[0]
	q.preallocated = q.preallocated[1:]
	return a
}

// run sends the attempt and waits until it ends.
func (a *attempt) run() {
	q := a.query
	defer q.release()
	observer := q.engine.cfg.Observer
	if observer != nil {
		a.start.Incarnation = a.target.lastIncarnation()
		observer.AttemptStarted(a.start)
	}
	ctx, cancel := q.attemptsCtx, func() {}
	if a.reservation.deadline.Before(q.deadline) {
		ctx, cancel = context.WithDeadline(ctx, a.reservation.deadline)
	}
	defer cancel()
	reply, err := q.engine.cfg.Client.Search(ctx, a.target.Target, a.request)
	var failure scatter.Failure
	if err != nil {
		failure = scatter.Classify(err)
	}
	close(a.done)
	now := q.engine.now()
	a.updateStats(now, failure, reply.Incarnation)
	q.record.endAttempt(a.recordIndex, failure)
	if observer != nil {
		observer.AttemptEnded(AttemptEnd{AttemptStart: a.start, Failure: failure, ReplyIncarnation: reply.Incarnation})
	}
	select {
	case q.events <- event{attempt: a.number, reply: &reply, err: err}:
	case <-q.finished:
	}
}

// updateStats updates the statistics about the target from the outcome of the attempt and releases its reservation.
func (a *attempt) updateStats(now time.Duration, failure scatter.Failure, incarnation model.Incarnation) {
	t, latency := a.target, now-a.started
	t.mu.Lock()
	inFlight := t.stats.InFlight()
	measured := false
	switch failure {
	case "", scatter.FailedCancelled, scatter.FailedNoReply, scatter.FailedLate, scatter.FailedDeadline:
		t.stats.RecordEnd(now, a.started, failure == "")
		measured = true
	case scatter.FailedVersionGone:
		t.stats.Remove(a.started)
	default:
		t.stats.RecordRefusal(now, a.started)
	}
	if failure == scatter.FailedShed {
		t.stats.MarkCrowded(now)
	}
	t.limiter.Observe(now, latency, inFlight, limiterOutcome(failure))
	t.incarnation = max(t.incarnation, incarnation)
	t.mu.Unlock()
	if measured {
		t.group.addSample(now, latency, failure == "")
	}
	if failure == scatter.FailedVersionGone {
		a.query.engine.refreshStatus(t)
	}
	if a.reservation.release != nil {
		a.reservation.release(gate.Outcome{Result: gateResult(failure), Latency: latency, Incarnation: incarnation})
	}
}

// cancel asks the target to stop the attempt. The reservation is released only when the attempt's own reply arrives.
func (a *attempt) cancel() {
	a.query.record.markCancelled(a.recordIndex)
	a.query.engine.tasks.Go(func() {
		a.sendCancel()
		// A cancel request that overtakes its attempt has nothing to stop, so it is sent a second time.
		timer := time.NewTimer(cancelRetryDelay)
		defer timer.Stop()
		select {
		case <-a.done:
		case <-timer.C:
			a.sendCancel()
		}
	})
}

func (a *attempt) sendCancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = a.query.engine.cfg.Client.Cancel(ctx, a.target.Target, a.request.Attempt) // if it is lost, the target stops at the deadline
}

// refreshStatus requests the status of a target that no longer has a version, so that a restart of the query need not
// wait for the next poll.
func (e *Engine) refreshStatus(t *targetState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statusRequested {
		return
	}
	t.statusRequested = true
	e.tasks.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), statusTimeout)
		defer stop()
		status, err := e.cfg.Client.Status(ctx, t.Target)
		if err == nil {
			e.cfg.Inventory.Put(status)
		}
		t.mu.Lock()
		t.statusRequested = false
		t.mu.Unlock()
	})
}

func (t *targetState) lastIncarnation() model.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation
}

func (g *group) addSample(now, latency time.Duration, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latencies.Add(now, latency, complete)
}

func limiterOutcome(failure scatter.Failure) concurrency.Outcome {
	switch failure {
	case "":
		return concurrency.Success
	case scatter.FailedShed, scatter.FailedNoReply, scatter.FailedLate, scatter.FailedDeadline:
		return concurrency.Overload
	}
	return concurrency.Neutral
}

var gateResults = map[scatter.Failure]gate.Result{
	"":                        gate.Success,
	scatter.FailedNotSent:     gate.NotSent,
	scatter.FailedUnreachable: gate.NotSent,
	scatter.FailedShed:        gate.Shed,
	scatter.FailedDraining:    gate.Draining,
	scatter.FailedLost:        gate.Lost,
	scatter.FailedNoReply:     gate.NoReply,
	scatter.FailedLate:        gate.NoReply,
	scatter.FailedCancelled:   gate.Cancelled,
}

func gateResult(failure scatter.Failure) gate.Result {
	if result, ok := gateResults[failure]; ok {
		return result
	}
	return gate.Other
}
