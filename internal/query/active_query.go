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

// activeQuery is a query in progress. Unless stated otherwise, its fields are accessed only by the goroutine that runs
// the query.
type activeQuery struct {
	engine       *Engine
	request      Request
	fingerprint  uint64
	record       queryRecord
	picker       *picker
	machine      *scatter.Machine
	attempts     []*attempt // indexed by attempt number
	preallocated []attempt  // storage for the first attempt at each part
	deadline     time.Time
	// events delivers the outcomes of attempts. Its buffer holds one per part; an attempt that finds it full waits
	// until the outcome is received or finished is closed.
	events   chan event
	finished chan struct{}
	// attemptsCtx is the context of all attempts. It is cancelled at the deadline, or once the query and its last
	// attempt have ended.
	attemptsCtx    context.Context
	cancelAttempts context.CancelFunc
	// pending counts the attempts in progress, plus one for the query itself.
	pending atomic.Int64
}

type event struct {
	attempt int
	reply   *targetclient.SearchReply
	err     error
}

func (e *Engine) newQuery(ctx context.Context, v *view, chosen snapshot.Snapshot, request Request, now time.Duration) *activeQuery {
	cfg := e.scatterConfig(chosen, request, now)
	q := &activeQuery{
		engine:       e,
		request:      request,
		fingerprint:  request.Fingerprint(),
		record:       queryRecord{query: explain.FromContext(ctx)},
		deadline:     e.startedAt.Add(cfg.Deadline),
		attempts:     make([]*attempt, 0, len(chosen.Parts)),
		preallocated: make([]attempt, len(chosen.Parts)),
		events:       make(chan event, len(chosen.Parts)),
		finished:     make(chan struct{}),
	}
	q.picker = &picker{
		engine:   e,
		view:     v,
		search:   request.Search,
		caller:   e.ensureCaller(request.Caller),
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

// run drives the state machine until the query is done.
func (q *activeQuery) run(ctx context.Context) {
	// Attempts continue after the caller disconnects, until their own replies arrive.
	q.attemptsCtx, q.cancelAttempts = context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer q.release()
	defer close(q.finished)
	timer := time.NewTimer(0)
	defer timer.Stop()
	if ctx.Err() == nil {
		q.perform(q.machine.Tick(q.engine.now()))
	}
	for !q.machine.Done() {
		// The caller's end is asked for before each attempt: of several channels that are ready, a select takes any.
		if ctx.Err() != nil {
			q.perform(q.machine.Stop())
			return
		}
		timer.Reset(q.machine.NextTick() - q.engine.now())
		select {
		case ev := <-q.events:
			if ctx.Err() == nil {
				q.perform(q.handleEvent(ev))
			}
		case <-timer.C:
			if ctx.Err() == nil {
				q.perform(q.machine.Tick(q.engine.now()))
			}
		case <-ctx.Done():
		}
	}
}

func (q *activeQuery) handleEvent(ev event) []scatter.Action {
	if ev.err != nil {
		return q.machine.Fail(q.engine.now(), ev.attempt, scatter.Classify(ev.err))
	}
	return q.machine.Reply(q.engine.now(), ev.attempt, ev.reply)
}

// release drops one reference of an attempt or the query, and cancels the attempts' context with the last one.
func (q *activeQuery) release() {
	if q.pending.Add(-1) == 0 {
		q.cancelAttempts()
	}
}

// perform carries out the actions that the state machine requested.
func (q *activeQuery) perform(actions []scatter.Action) {
	for _, action := range actions {
		if action.Type == scatter.Cancel {
			q.attempts[action.Attempt.ID].cancel()
			continue
		}
		a := q.newAttempt(action)
		q.attempts = append(q.attempts, a)
		q.pending.Add(1)
		q.engine.tasks.Go(a.run)
	}
}

// result returns the result of the query, which comes from a single snapshot.
func (q *activeQuery) result(ctx context.Context) (Result, error) {
	result := q.machine.Result()
	q.record.finish(result)
	if err := q.resultError(ctx, result); err != nil {
		return Result{}, err
	}
	token, err := q.engine.cfg.Keys.Sign(result.Snapshot.Token())
	if err != nil {
		return Result{}, fault.Wrap(err, fault.Internal, fault.Ran, "report this as a fault of the router", "signing the snapshot token")
	}
	return Result{
		Snapshot: token,
		Versions: result.Snapshot.Versions,
		Coverage: result.Coverage,
		Hits:     merge.Top(result.Hits(), q.request.Limit),
	}, nil
}

// resultError returns the error to send instead of the result, or nil.
func (q *activeQuery) resultError(ctx context.Context, result scatter.Result) *fault.Error {
	reached := result.Coverage
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.Wrap(ctx.Err(), fault.Unavailable, result.Execution, "repeat the request", "the caller disconnected")
	case reached.Fraction < q.request.MinCoverage:
		return fault.New(fault.CoverageBelowMinimum, result.Execution,
			"repeat the request with a longer deadline or a lower minimum coverage",
			"%d of %d shards answered in time", reached.Answered, reached.Total).WithCoverage(reached.Fraction)
	}
	return nil
}
