package query

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/merge"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// run is one query on its way. Its fields belong to the goroutine of the query, unless stated otherwise.
type run struct {
	engine      *Engine
	request     Request
	fingerprint uint64
	record      record
	picker      *picker
	machine     *scatter.Machine
	sent        []*attempt // by number of the attempt
	block       []attempt  // room for the first attempts
	deadline    time.Time
	// events brings the ends of attempts. It has room for some of them; over ends the wait of the rest.
	events chan event
	over   chan struct{}
	// attempts is the context of all attempts. It ends with the last of them, or at the deadline.
	attempts context.Context
	end      context.CancelFunc
	// pending counts the attempts under way, and the query itself.
	pending atomic.Int64
}

type event struct {
	attempt int
	reply   *targetclient.SearchReply
	err     error
}

func (e *Engine) newQuery(ctx context.Context, v *view, chosen snapshot.Snapshot, request Request, now time.Duration) *run {
	cfg := e.scatterConfig(chosen, request, now)
	q := &run{
		engine:      e,
		request:     request,
		fingerprint: request.Fingerprint(),
		record:      record{query: explain.From(ctx)},
		deadline:    e.start.Add(cfg.Deadline),
		sent:        make([]*attempt, 0, len(chosen.Parts)),
		block:       make([]attempt, len(chosen.Parts)),
		events:      make(chan event, len(chosen.Parts)),
		over:        make(chan struct{}),
	}
	q.picker = &picker{
		engine:   e,
		view:     v,
		search:   request.Search,
		caller:   e.caller(request.Caller),
		callerID: request.Caller,
		deadline: q.deadline,
		rng:      rand.New(rand.NewPCG(e.cfg.Seed, e.queries.Add(1))),
		record:   q.record,
	}
	q.machine = scatter.New(cfg, q.picker)
	q.pending.Store(1)
	q.record.start(cfg)
	return q
}

// drive runs the machine to its end.
func (q *run) drive(ctx context.Context) {
	// Attempts outlast a caller that goes away, until their own replies arrive.
	q.attempts, q.end = context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer q.done()
	defer close(q.over)
	timer := time.NewTimer(0)
	defer timer.Stop()
	q.carryOut(q.machine.Tick(q.engine.now()))
	for !q.machine.Done() {
		timer.Reset(q.machine.Wake() - q.engine.now())
		select {
		case ev := <-q.events:
			q.carryOut(q.handle(ev))
		case <-timer.C:
			q.carryOut(q.machine.Tick(q.engine.now()))
		case <-ctx.Done():
			q.carryOut(q.machine.Stop())
		}
	}
}

func (q *run) handle(ev event) []scatter.Action {
	if ev.err != nil {
		return q.machine.Fail(q.engine.now(), ev.attempt, scatter.Classify(ev.err))
	}
	return q.machine.Reply(q.engine.now(), ev.attempt, ev.reply)
}

// done ends the context of the attempts when the last of them and the query have ended.
func (q *run) done() {
	if q.pending.Add(-1) == 0 {
		q.end()
	}
}

func (q *run) carryOut(actions []scatter.Action) {
	for _, action := range actions {
		if action.Type == scatter.Cancel {
			q.sent[action.Attempt.ID].cancel()
			continue
		}
		a := q.newAttempt(action)
		q.sent = append(q.sent, a)
		q.pending.Add(1)
		q.engine.tasks.Go(a.run)
	}
}

// answer returns the result of the query. It comes from one snapshot.
func (q *run) answer(ctx context.Context) (Result, error) {
	result := q.machine.Result()
	q.record.finish(result)
	if err := q.refusal(ctx, result); err != nil {
		return Result{}, err
	}
	token, err := q.engine.cfg.Keys.Seal(result.Snapshot.Token())
	if err != nil {
		return Result{}, fault.Wrap(err, fault.Internal, fault.Ran, "report this as a fault of the router", "snapshot token")
	}
	return Result{
		Snapshot: token,
		Versions: result.Snapshot.Versions,
		Coverage: result.Coverage,
		Hits:     merge.Top(result.Hits(), q.request.Limit),
	}, nil
}

func (q *run) refusal(ctx context.Context, result scatter.Result) *fault.Error {
	reached := result.Coverage
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.Wrap(ctx.Err(), fault.Unavailable, result.Execution, "repeat the request", "the caller has gone")
	case reached.Fraction < q.request.MinCoverage:
		return fault.New(fault.CoverageBelowMinimum, result.Execution,
			"ask with a longer deadline or a lower minimum coverage",
			"%d of %d shards answered in time", reached.Answered, reached.Total).WithCoverage(reached.Fraction)
	}
	return nil
}
