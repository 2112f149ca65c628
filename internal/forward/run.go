package forward

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/httpreply"
	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/replica"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	// partialShare of the objective, minus partialMargin, is the time after which an answer is sent with the shards that
	// have replied, if they reach the minimum coverage. The value of an answer is the square of its coverage, and a late
	// answer has a tenth of its value. Waiting longer therefore costs more than any missing shards that the minimum
	// coverage allows.
	partialShare  = 0.86
	partialMargin = 5 * time.Millisecond
	// firstSendShare of the objective is the time within which the first attempt must be sent. If the request is refused
	// at that point, another host can still answer it within the objective.
	firstSendShare = 0.2
	// lingerTimeout is how long the attempts of an answered request may continue, so that their connections can be reused.
	lingerTimeout = 200 * time.Millisecond
	// retryAfterShare of the objective is the delay that a refused caller is asked to wait before it retries.
	retryAfterShare = 0.1
	// maxPartBytes limits the reply of one shard. maxRequestBytes limits all replies to a request, those to superseded
	// attempts included.
	maxPartBytes    = 1 << 20
	maxRequestBytes = 16 << 20
	// minRetryAfter is the lower bound of that delay.
	minRetryAfter = 20 * time.Millisecond
)

var randomSource = rand.New(lockedSource{})

// lockedSource is the global source of math/rand/v2, which is safe for concurrent use.
type lockedSource struct{}

// Uint64 implements rand.Source.
func (lockedSource) Uint64() uint64 { return rand.Uint64() }

// pickedTarget is a target that was picked for an attempt.
type pickedTarget struct {
	target      registry.Target
	state       *targetState
	service     *serviceState
	estimate    time.Duration
	connections int
	part        model.ShardID
	kind        scatter.Kind
	// extra means that the attempt was charged to the budget.
	extra bool
	// sent is the monotime reading at which the target was picked.
	sent time.Duration
}

// run is the execution of one request. Unless noted otherwise, its fields are used only by the goroutine of the request.
type run struct {
	engine  *Engine
	request Request
	machine *scatter.Machine
	picked  []pickedTarget // indexed by attempt ID
	// reached holds the parts for which a failed attempt has reached a target. It is guarded by the engine's mutex.
	reached  map[model.ShardID]bool
	events   chan event
	finished chan struct{} // closed when the final answer is decided
	// attemptContext is the context of all attempts. It outlives the request, see finish.
	attemptContext context.Context
	cancel         context.CancelFunc
	failure        *exchange.Reply
	trace          Trace
	arrived        time.Duration
	// memory is charged for the replies.
	memory *membudget.Account
	// fingerprint identifies the content of the request. evidence is what is known of its answers; it is guarded by the
	// engine's mutex.
	fingerprint uint64
	evidence    *evidence.Request
	// leaving holds the instances that said that they leave. It is guarded by the engine's mutex.
	leaving []evidence.Instance
	// parts are the parts of the request.
	parts []snapshot.Part
	// condemned means that the request turned out to crash targets while it ran. unanswered means that an attempt reached a
	// target and got no answer; it is guarded by the engine's mutex.
	condemned, unanswered bool
	// lost counts the attempts whose connections were lost; latestLost is when that last happened to an attempt beyond the first of
	// its part. extraOpen counts such attempts that have not ended. All are guarded by the engine's mutex.
	lost, extraOpen int
	latestLost      time.Duration
	// unfinished counts the attempts whose end the request has not seen.
	unfinished int
	// openAttempts counts the attempts that have not ended. Attempts decrement it concurrently.
	openAttempts atomic.Int32
	// interrupted means that the context ended before the request was answered.
	interrupted bool
	// neverSent means that no attempt could be sent before the first-send deadline.
	neverSent bool
	// noRoom means that this host had no memory for the reply to an attempt.
	noRoom bool
}

type event struct {
	attempt int
	reply   *exchange.Reply
	err     error
}

func (e *Engine) newRun(request Request) *run {
	rs := e.routingState.Load()
	services := request.Route.Shards
	content := fingerprint(request.Request)
	e.mu.Lock()
	known := e.requestOf(content)
	if len(services) == 0 {
		services = []model.ServiceID{e.splitter.Next(request.Route)}
	}
	e.mu.Unlock()
	chosen := rs.snapshotOf(request.Route, services)
	r := &run{
		engine:   e,
		request:  request,
		picked:   make([]pickedTarget, 0, len(services)+2),
		reached:  map[model.ShardID]bool{},
		events:   make(chan event, len(services)),
		finished: make(chan struct{}),
		arrived:  request.Arrived.Sub(e.start),
		memory:   e.cfg.Replies.Open(maxRequestBytes),

		fingerprint: content,
		evidence:    known,
		parts:       chosen.Parts,
	}
	r.attemptContext, r.cancel = context.WithCancel(context.Background())
	r.trace = newTrace(request, rs)
	r.trace.Fingerprint = r.fingerprint
	cfg := r.config(chosen)
	cfg.Suspect = e.cfg.Evidence.IsSuspect(content)
	cfg.FirstPart = rand.IntN(len(services))
	r.machine = scatter.New(cfg, &picker{engine: e, run: r})
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
		AtMostOnce:      !route.Repeatable,
		AttemptsPerPart: max(1, route.MaxAttempts),
		RetryLost:       true,
		RetryNotRun:     true,
	}
	if len(route.Shards) > 0 {
		cfg.Mode = scatter.Fast
		cfg.MinCoverage = minFraction(route.MinCoverage, len(chosen.Parts))
		cfg.SoftDeadline = r.arrived + time.Duration(partialShare*float64(r.objective())) - partialMargin
	}
	return cfg
}

// minShards returns the minimum number of shards in an answer.
func minShards(minCoverage float64, shards int) int {
	return max(1, int(math.Ceil(minCoverage*float64(shards)-1e-9)))
}

// minFraction returns the minimum coverage as a fraction of the key space. It lies half a shard below the minimum number
// of equal shards, so that rounding cannot change the result of a comparison.
func minFraction(minCoverage float64, shards int) float64 {
	return (float64(minShards(minCoverage, shards)) - 0.5) / float64(shards)
}

// checkQuarantine returns an error if the request has crashed too many targets.
func (r *run) checkQuarantine() *fault.Error {
	j := r.engine.judge(r.fingerprint)
	if j.Verdict != evidence.Quarantined {
		return nil
	}
	return quarantineError(j, fault.NotRun)
}

// drive runs the state machine until the request is answered, refused or interrupted.
func (r *run) drive(ctx context.Context) {
	defer close(r.finished)
	timer := time.NewTimer(0)
	defer timer.Stop()
	firstSendDeadline, nextProbe := r.latestSend(), r.arrived+silenceDelay
	left := r.request.Left
	if !r.isAbandoned(ctx) {
		r.sendAttempts(r.machine.Tick(r.engine.now()))
	}
	for !r.machine.Done() {
		if r.isAbandoned(ctx) {
			r.interrupt()
			return
		}
		if r.condemned {
			r.sendAttempts(r.machine.Stop())
			return
		}
		now := r.engine.now()
		if len(r.picked) == 0 && now >= firstSendDeadline {
			r.neverSent = true
			r.sendAttempts(r.machine.Stop())
			return
		}
		next := r.machine.NextTick()
		if len(r.picked) == 0 {
			next = min(next, firstSendDeadline)
		}
		if now >= nextProbe {
			r.probeOverdue()
			nextProbe = now + probeInterval
		}
		timer.Reset(min(next, nextProbe) - now)
		select {
		case ev := <-r.events:
			r.unfinished--
			if ev.err != nil && r.isAbandoned(ctx) {
				r.trace.recordEnd(ev, r.engine.now()-r.arrived)
				continue
			}
			r.sendAttempts(r.handleEvent(ev))
		case <-left:
			left = nil
		case <-timer.C:
			if !r.isAbandoned(ctx) {
				r.sendAttempts(r.machine.Tick(r.engine.now()))
			}
		case <-ctx.Done():
		}
	}
}

// isAbandoned reports whether nobody waits for an answer any more. It is asked before each attempt: of several channels that are ready,
// a select takes any.
func (r *run) isAbandoned(ctx context.Context) bool {
	return ctx.Err() != nil || r.unfinished == 0 && ctxtime.IsClosed(r.request.Left)
}

// interrupt ends the request early.
func (r *run) interrupt() {
	r.interrupted = true
	r.sendAttempts(r.machine.Stop())
}

func (r *run) handleEvent(ev event) []scatter.Action {
	now := r.engine.now()
	r.trace.recordEnd(ev, now-r.arrived)
	if ev.err != nil {
		if errors.Is(ev.err, exchange.ErrFailure) {
			r.failure = ev.reply
		}
		r.noRoom = r.noRoom || errors.Is(ev.err, targetclient.ErrNoRoom)
		return r.machine.Fail(now, ev.attempt, scatter.Classify(ev.err))
	}
	return r.machine.Reply(now, ev.attempt, ev.reply)
}

// sendAttempts carries out the Send actions. It ignores Cancel actions: most of the superseded attempts end soon, and
// their connections can then be reused. See finish for the remaining ones.
func (r *run) sendAttempts(actions []scatter.Action) {
	for _, action := range actions {
		if action.Type != scatter.Send {
			continue
		}
		target, number, started := r.picked[action.Attempt.ID], action.Attempt.ID, action.Attempt.Sent
		r.trace.recordSend(action, target, r.engine.now()-r.arrived)
		r.openAttempts.Add(1)
		r.unfinished++
		r.memory.Retain()
		r.request.Memory.Retain()
		r.engine.tasks.Go(func() { r.attempt(target, number, started) })
	}
}

// attempt sends one attempt and waits for its end, which may be after the end of the request.
func (r *run) attempt(p pickedTarget, number int, started time.Duration) {
	defer r.memory.Release()
	defer r.request.Memory.Release()
	reply, err := r.engine.cfg.Client.Do(r.attemptContext, &exchange.Attempt{
		Request:        r.request.Request,
		Target:         p.target.Target,
		Address:        p.target.Address,
		Deadline:       r.request.Deadline,
		Unwanted:       r.unwanted(),
		MaxConnections: p.connections,
		MaxReplyBytes:  r.replyLimit(),
		Memory:         r.memory,
	})
	r.engine.reportDecisions(r.recordResult(p, started, reply, err))
	r.openAttempts.Add(-1)
	select {
	case r.events <- event{attempt: number, reply: reply, err: err}:
	case <-r.finished:
	}
}

// unwanted returns the channel that is closed when attempts that were not sent by then need not be sent any more.
func (r *run) unwanted() <-chan struct{} {
	if r.request.Route.Repeatable {
		return r.finished
	}
	return r.request.Left
}

// replyLimit returns the limit of one reply in bytes.
func (r *run) replyLimit() int64 {
	if len(r.request.Route.Shards) > 0 {
		return maxPartBytes
	}
	return httpreply.MaxBodyBytes
}

// recordResult updates the statistics of the target, its service and the route, the budget, and the evidence of crashes. It
// returns the decisions about the latter.
func (r *run) recordResult(p pickedTarget, started time.Duration, reply *exchange.Reply, err error) []TargetDecision {
	e := r.engine
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	r.recordLost(p.kind, now, errors.Is(err, targetclient.ErrLost))
	switch {
	case err == nil:
	case !errors.Is(err, targetclient.ErrNotSent):
		r.reached[p.part] = true
	case p.extra:
		p.service.extra.Refund()
	}
	stats := &p.state.stats
	typical := p.service.latency.Typical(now)
	if reply != nil && reply.Load != nil {
		stats.RecordLoad(now, reply.Load.Running+reply.Load.Waiting, reply.Load.Slots)
	}
	switch {
	case err == nil:
		stats.RecordSuccess(now, started, typical)
		p.service.latency.Add(now, now-started, true)
		e.routeLatencies(r.request.Route.Name).Add(now, now-started, true)
	case errors.Is(err, targetclient.ErrCancelled), errors.Is(err, targetclient.ErrNoReply):
		stats.RecordAbandoned(now, started, typical)
		if errors.Is(err, targetclient.ErrNoReply) {
			stats.RecordFailure(now, started)
		}
	case reply != nil && reply.RetryAfter > 0:
		stats.Remove(started) // a target that says when to come back has not failed
	default:
		stats.RecordFailure(now, started)
	}
	decisions := r.recordEnding(&p, reply, err)
	if reply != nil && !errors.Is(err, targetclient.ErrDraining) && !errors.Is(err, targetclient.ErrMismatch) {
		if reply.Leaving {
			r.leaving = append(r.leaving, p.state.instance())
		}
		decisions = append(decisions, e.recordWishes(p.state, reply)...)
	}
	return decisions
}

// recordLost records the end of an attempt, which may have lost its connection. The caller holds the engine's mutex.
func (r *run) recordLost(kind scatter.Kind, now time.Duration, lost bool) {
	extra := kind != scatter.First
	if extra {
		r.extraOpen--
	}
	if lost {
		r.lost++
	}
	if lost && extra {
		r.latestLost = now
	}
}

// awaitsAnswer reports whether no further attempt beyond the first of its part may be sent for now: the request has lost many
// targets, none has answered it, and what became of the latest such attempt is not known yet. A request to many shards that crashes
// targets has taken one of each shard before the first end is known, and its retries would take the others. The caller holds the
// engine's mutex.
func (r *run) awaitsAnswer() bool {
	if r.lost < manyLosses || r.evidence.Answered {
		return false
	}
	return r.extraOpen > 0 || r.latestLost > 0 && r.engine.now()-r.latestLost < 2*probeDelay
}

// required returns the minimum number of parts in an answer.
func (r *run) required() int {
	if shards := len(r.request.Route.Shards); shards > 0 {
		return minShards(r.request.Route.MinCoverage, shards)
	}
	return 1
}

// defaultRetryAfter is the delay that a refused caller is asked to wait if no better time is known.
func (r *run) defaultRetryAfter() time.Duration {
	return max(minRetryAfter, time.Duration(retryAfterShare*float64(r.objective())))
}

func (e *Engine) routeLatencies(name string) *replica.LatencyHistogram {
	latencies := e.routes[name]
	if latencies == nil {
		latencies = &replica.LatencyHistogram{}
		e.routes[name] = latencies
	}
	return latencies
}

// finish schedules the cancellation of the remaining attempts. The attempts of a request that must not be repeated
// continue until its deadline, because a target that loses its connection may still complete the request.
func (r *run) finish() {
	if r.openAttempts.Load() == 0 {
		r.cancel()
		return
	}
	if r.request.Route.Repeatable {
		time.AfterFunc(lingerTimeout, r.cancel)
		return
	}
	time.AfterFunc(time.Until(r.request.Deadline), r.cancel)
}
