package forward

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/replica"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	// partialShare of the objective, less partialMargin, is the time after which an answer leaves with the shards that it
	// has. The credit of an answer is the square of its coverage, and a late one is worth a tenth: waiting past this time
	// for the rest loses more than any missing shard that the minimum coverage allows.
	partialShare  = 0.86
	partialMargin = 5 * time.Millisecond
	// placeShare of the objective is the time within which a first attempt has to be sent. A caller that is refused then can
	// still be answered in time by another host.
	placeShare = 0.2
	// linger is the time for which the attempts of an answered request may go on, so that their connections can be kept.
	linger = 200 * time.Millisecond
	// retryAfterShare of the objective is the time after which a refused caller is asked to come back.
	retryAfterShare = 0.1
	// minRetryAfter is the least such time.
	minRetryAfter = 20 * time.Millisecond
)

var randomSource = rand.New(lockedSource{})

// lockedSource is the global source, which is safe for concurrent use.
type lockedSource struct{}

// Uint64 implements rand.Source.
func (lockedSource) Uint64() uint64 { return rand.Uint64() }

// place is a target that was picked for an attempt.
type place struct {
	target      registry.Target
	state       *targetState
	service     *serviceState
	estimate    time.Duration
	connections int
	part        model.ShardID
	// extra tells that the attempt took from the budget.
	extra bool
}

// run is one request on its way. Its fields belong to the goroutine of the request.
type run struct {
	engine  *Engine
	request Request
	machine *scatter.Machine
	places  []place // by number of the attempt
	// reached holds the parts of which a target has got an attempt that failed. It belongs to the engine's mutex.
	reached map[model.ShardID]bool
	events  chan event
	over    chan struct{}
	// attempts is the context of all attempts; cancel ends it.
	attempts context.Context
	cancel   context.CancelFunc
	failure  *exchange.Reply
	trace    Trace
	arrived  time.Duration
	// fingerprint identifies the content of the request.
	fingerprint uint64
	// open counts the attempts that have not ended.
	open     atomic.Int32
	gone     bool
	unplaced bool
}

type event struct {
	attempt int
	reply   *exchange.Reply
	err     error
}

func (e *Engine) newRun(request Request) *run {
	w := e.world.Load()
	services := request.Route.Shards
	if len(services) == 0 {
		e.mu.Lock()
		services = []model.ServiceID{e.splitter.Next(request.Route)}
		e.mu.Unlock()
	}
	chosen := w.snapshotOf(request.Route, services)
	r := &run{
		engine:  e,
		request: request,
		places:  make([]place, 0, len(services)+2),
		reached: map[model.ShardID]bool{},
		events:  make(chan event, len(services)),
		over:    make(chan struct{}),
		arrived: request.Arrived.Sub(e.start),

		fingerprint: fingerprint(request.Request),
	}
	r.attempts, r.cancel = context.WithCancel(context.Background())
	r.trace = newTrace(request, w)
	r.machine = scatter.New(r.config(chosen), &picker{engine: e, run: r})
	return r
}

func (r *run) objective() time.Duration {
	if objective := r.request.Route.Objective; objective > 0 {
		return objective
	}
	return min(defaultObjective, r.request.Route.Timeout)
}

func (r *run) config(chosen snapshot.Snapshot) scatter.Config {
	route := r.request.Route
	cfg := scatter.Config{
		Snapshot:        chosen,
		Pinned:          true,
		Mode:            scatter.Full,
		MinCoverage:     1,
		Deadline:        r.request.Deadline.Sub(r.engine.start),
		Once:            !route.Repeatable,
		AttemptsPerPart: max(1, route.MaxAttempts),
		RetryLost:       true,
	}
	if len(route.Shards) > 0 {
		cfg.Mode = scatter.Fast
		cfg.MinCoverage = leastFraction(route.MinCoverage, len(chosen.Parts))
		cfg.SoftDeadline = r.arrived + time.Duration(partialShare*float64(r.objective())) - partialMargin
	}
	return cfg
}

// leastShards returns the least number of shards in an answer.
func leastShards(minCoverage float64, shards int) int {
	return max(1, int(math.Ceil(minCoverage*float64(shards)-1e-9)))
}

// leastFraction returns a fraction of the key space that exactly the least number of equal shards reaches.
func leastFraction(minCoverage float64, shards int) float64 {
	return (float64(leastShards(minCoverage, shards)) - 0.5) / float64(shards)
}

// quarantine returns the refusal of a request that has crashed too many targets.
func (r *run) quarantine() *fault.Error {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.crashes.isQuarantined(e.now(), r.fingerprint) {
		return nil
	}
	return fault.New(fault.Quarantined, fault.NotRun, "send another request", "the request has crashed %d targets", crashLimit)
}

// drive runs the machine to its end.
func (r *run) drive(ctx context.Context) {
	defer close(r.over)
	timer := time.NewTimer(0)
	defer timer.Stop()
	giveUp := r.arrived + time.Duration(placeShare*float64(r.objective()))
	r.carryOut(r.machine.Tick(r.engine.now()))
	for !r.machine.Done() {
		now := r.engine.now()
		if len(r.places) == 0 && now >= giveUp {
			r.unplaced = true
			r.carryOut(r.machine.Stop())
			return
		}
		wake := r.machine.Wake()
		if len(r.places) == 0 {
			wake = min(wake, giveUp)
		}
		timer.Reset(wake - now)
		select {
		case ev := <-r.events:
			r.carryOut(r.handle(ev))
		case <-timer.C:
			r.carryOut(r.machine.Tick(r.engine.now()))
		case <-ctx.Done():
			r.gone = true
			r.carryOut(r.machine.Stop())
		}
	}
}

func (r *run) handle(ev event) []scatter.Action {
	now := r.engine.now()
	r.trace.end(ev, now-r.arrived)
	if ev.err != nil {
		if errors.Is(ev.err, exchange.ErrFailure) {
			r.failure = ev.reply
		}
		return r.machine.Fail(now, ev.attempt, scatter.Classify(ev.err))
	}
	return r.machine.Reply(now, ev.attempt, ev.reply)
}

// carryOut sends attempts. Attempts that lost are not cancelled at once: most of them end soon, and their connections can
// be kept then.
func (r *run) carryOut(actions []scatter.Action) {
	for _, action := range actions {
		if action.Type != scatter.Send {
			continue
		}
		place, number, started := r.places[action.Attempt.ID], action.Attempt.ID, action.Attempt.Sent
		r.trace.send(action, place, r.engine.now()-r.arrived)
		r.open.Add(1)
		r.engine.tasks.Go(func() { r.attempt(place, number, started) })
	}
}

// attempt sends one attempt and waits for its own end, which may be after that of the request.
func (r *run) attempt(p place, number int, started time.Duration) {
	reply, err := r.engine.cfg.Client.Do(r.attempts, &exchange.Attempt{
		Request:        r.request.Request,
		Target:         p.target.Target,
		Address:        p.target.Address,
		Deadline:       r.request.Deadline,
		MaxConnections: p.connections,
	})
	r.learn(p, started, reply, err)
	r.open.Add(-1)
	select {
	case r.events <- event{attempt: number, reply: reply, err: err}:
	case <-r.over:
	}
}

// learn updates the evidence about the target.
func (r *run) learn(p place, started time.Duration, reply *exchange.Reply, err error) {
	e := r.engine
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
	case !errors.Is(err, targetclient.ErrNotSent):
		r.reached[p.part] = true
	case p.extra:
		p.service.extra.Refund()
	}
	pace := &p.state.pace
	usual := p.service.latency.Median(now)
	if reply != nil && reply.Load != nil {
		pace.Report(now, reply.Load.Running+reply.Load.Waiting, reply.Load.Slots)
	}
	switch {
	case err == nil:
		pace.Succeed(now, started, usual)
		p.service.latency.Add(now, now-started, true)
		e.routeSketch(r.request.Route.Name).Add(now, now-started, true)
	case errors.Is(err, targetclient.ErrCancelled), errors.Is(err, targetclient.ErrSilent):
		pace.GiveUp(now, started, usual)
		if errors.Is(err, targetclient.ErrSilent) {
			pace.Fail(now, started)
		}
	default:
		pace.Fail(now, started)
	}
	if errors.Is(err, targetclient.ErrLost) {
		for _, suspected := range e.crashes.lost(now, r.fingerprint, p) {
			e.tasks.Go(func() { e.probe(suspected, r.fingerprint) })
		}
	}
}

func (e *Engine) routeSketch(name string) *replica.Sketch {
	sketch := e.routes[name]
	if sketch == nil {
		sketch = &replica.Sketch{}
		e.routes[name] = sketch
	}
	return sketch
}

// finish lets the remaining attempts linger and then ends them. The attempts of a request that may not be repeated go on
// until its deadline, because a target that loses its connection may still complete it.
func (r *run) finish() {
	if r.open.Load() == 0 {
		r.cancel()
		return
	}
	if r.request.Route.Repeatable {
		time.AfterFunc(linger, r.cancel)
		return
	}
	time.AfterFunc(time.Until(r.request.Deadline), r.cancel)
}

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
	least := 1
	if shards := len(r.request.Route.Shards); shards > 0 {
		least = leastShards(r.request.Route.MinCoverage, shards)
	}
	switch {
	case r.gone:
		return Outcome{Err: broken(context.Cause(ctx), result.Execution)}
	case answered >= least:
		return Outcome{Replies: replies}
	case len(r.request.Route.Shards) == 0 && r.failure != nil:
		return Outcome{Failure: r.failure}
	}
	return Outcome{Err: r.refusal(result, answered)}
}

// broken returns the answer of a request that was ended from outside: its caller has gone, or the host stops.
func broken(cause error, execution fault.Execution) *fault.Error {
	if execution == fault.NotRun {
		return fault.Wrap(cause, fault.Overloaded, fault.NotRun, "repeat the request", "broken off").WithRetryAfter(minRetryAfter)
	}
	return fault.Wrap(cause, fault.TargetFailed, execution, "repeat the request if it may run twice", "broken off")
}

func (r *run) refusal(result scatter.Result, answered int) *fault.Error {
	after := max(minRetryAfter, time.Duration(retryAfterShare*float64(r.objective())))
	switch {
	case r.unplaced || len(r.places) == 0:
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
	return fault.New(fault.TargetFailed, fault.OutcomeUnknown, "repeat the request if it may run twice",
		"the targets failed before they answered")
}
