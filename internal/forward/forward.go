// Package forward executes opaque requests. It runs the state machine of package scatter over an exchange.Client and
// makes the decisions that involve state shared between requests: load balancing, hedging, retry budgets and the request
// rate of cold targets.
package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/replica"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
)

// The margins are factors by which a request may take longer than 95 in 100 recent ones of its route. An early refusal costs a
// caller one of its few attempts, a late one its answer. The caller of a request that must not be repeated cannot ask again then,
// so its margin is greater.
const (
	repeatableMargin = 1.2
	onceMargin       = 3
)

// defaultReplyBytes is the limit of Config.Replies if it is not set.
const defaultReplyBytes = 64 << 20

// Config describes an engine.
type Config struct {
	Client exchange.Client
	// Host is this host.
	Host       model.HostID
	DataCentre model.DataCentreID
	// ExtraRatio and ExtraSlack bound the extra attempts at a service in a window, summed over all hosts, to ExtraRatio
	// times the number of requests plus ExtraSlack. Each host uses its share of ExtraSlack.
	ExtraRatio, ExtraSlack float64
	// Replies is charged for the targets' replies held in memory; nil means an account of 64 MiB.
	Replies *membudget.Account
	// Evidence holds what the fleet knows of requests that crash targets; nil means evidence of this host only.
	Evidence *evidence.Log
	// Observer is notified of completed requests and of decisions about lost attempts; it may be nil.
	Observer Observer
}

// Observer receives events of an Engine. Its methods are called concurrently and must not block.
type Observer interface {
	// RequestEnded is called once for each request.
	RequestEnded(Trace)
	// TargetJudged is called for each verdict on a target, of this host or learned from another one.
	TargetJudged(TargetDecision)
}

// Request is a request of a caller together with its route.
type Request struct {
	*exchange.Request
	Route      *routing.Route
	Generation model.Generation
	// Arrived is the time at which the request was completely read.
	Arrived time.Time
	// Deadline is the latest time for the final answer to the caller.
	Deadline time.Time
	// Left is closed when the caller of a request that may not be repeated has disconnected. The request is then sent no more, but an
	// attempt that a target may be running is awaited. It may be nil.
	Left <-chan struct{}
	// Memory is charged for the request, and retained by attempts, which may outlive it. It may be nil.
	Memory *membudget.Account
}

// Outcome is the final answer to a request.
type Outcome struct {
	// Replies holds the accepted reply of each shard, or nil for a shard without one. A request to a single target has
	// one element.
	Replies []*exchange.Reply
	// Failure is the error reply of a target to a request to a single target that no target answered successfully.
	Failure *exchange.Reply
	// Err is nil if the request was answered. Its Execution tells whether the request may have run.
	Err *fault.Error
	// Leaving holds the instances that said in their replies that they are shutting down.
	Leaving []evidence.Instance
	// memory is charged for the replies.
	memory *membudget.Account
}

// Release gives back the memory of the replies. Call it once the answer is written.
func (o Outcome) Release() { o.memory.Release() }

// Engine executes requests. It is safe for concurrent use.
type Engine struct {
	cfg          Config
	start        time.Time
	routingState atomic.Pointer[RoutingState]
	// changed is closed when routingState is replaced. It is guarded by mu.
	changed chan struct{}
	// tasks tracks attempts and probes, which may outlive their request.
	tasks conc.WaitGroup

	mu       sync.Mutex
	targets  map[model.TargetID]*targetState
	services map[model.ServiceID]*serviceState
	routes   map[string]*replica.LatencyHistogram
	splitter *routing.Splitter
	// doubtful holds the requests with attempts that got no answer, by fingerprint, until one is answered.
	doubtful map[uint64]*evidence.Request
	// unwilling holds the targets that leave or want nothing for now.
	unwilling map[model.TargetID]*targetState
	// probes counts the probes in progress.
	probes int
}

// New returns an engine. It refuses requests until SetRoutingState is called.
func New(cfg Config) *Engine {
	if cfg.Replies == nil {
		cfg.Replies = membudget.NewAccount(defaultReplyBytes)
	}
	if cfg.Evidence == nil {
		cfg.Evidence = evidence.NewLog(rand.Uint64())
	}
	return &Engine{
		cfg:      cfg,
		start:    time.Now(),
		targets:  map[model.TargetID]*targetState{},
		services: map[model.ServiceID]*serviceState{},
		routes:   map[string]*replica.LatencyHistogram{},
		splitter: routing.NewSplitter(),
		doubtful: map[uint64]*evidence.Request{},

		unwilling: map[model.TargetID]*targetState{},
		changed:   make(chan struct{}),
	}
}

func (e *Engine) now() time.Duration { return time.Since(e.start) }

// RoutingState returns the current configuration and targets, or nil before the first call of SetRoutingState.
func (e *Engine) RoutingState() *RoutingState { return e.routingState.Load() }

// Watch returns the current configuration and targets, or nil, and a channel that is closed when they are replaced.
func (e *Engine) Watch() (*RoutingState, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.routingState.Load(), e.changed
}

// SetRoutingState replaces the configuration and the targets. It drops the state of services, routes and idle targets
// that are no longer part of them.
func (e *Engine) SetRoutingState(rs *RoutingState) { e.reportDecisions(e.replaceRoutingState(rs)) }

func (e *Engine) replaceRoutingState(rs *RoutingState) []TargetDecision {
	e.mu.Lock()
	defer e.mu.Unlock()
	decisions := e.recordRegistrations(e.routingState.Load(), rs)
	e.routingState.Store(rs)
	close(e.changed)
	e.changed = make(chan struct{})
	e.splitter.Retain(rs.Table)
	for id, t := range e.targets {
		registered, ok := rs.registered[id]
		if !ok && t.stats.InFlight() == 0 && e.now() >= t.quietUntil {
			delete(e.targets, id)
		}
		if !ok || registered.Draining {
			delete(e.unwilling, id) // the routing state excludes it
		}
	}
	for id := range e.services {
		if !rs.Table.HasService(id) {
			delete(e.services, id)
		}
	}
	for name := range e.routes {
		if !rs.HasRoute(name) {
			delete(e.routes, name)
		}
	}
	for _, s := range e.services {
		s.resize(e.cfg, rs.Fleet.Part)
	}
	return decisions
}

// SetBudget changes the limits of extra attempts. See Config.ExtraRatio and Config.ExtraSlack.
func (e *Engine) SetBudget(ratio, slack float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg.ExtraRatio, e.cfg.ExtraSlack = ratio, slack
	for _, s := range e.services {
		fleetShare := s.fleetShare
		s.fleetShare = 0 // forces resize to create a new budget
		s.resize(e.cfg, fleetShare)
	}
}

// ExpectedTime returns the time within which nearly all requests of the route are answered.
func (e *Engine) ExpectedTime(route *routing.Route) time.Duration {
	expected := route.Objective
	if expected <= 0 {
		expected = defaultObjective
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if latencies := e.routes[route.Name]; latencies != nil {
		expected = max(expected, latencies.CurrentP95(e.now()))
	}
	if route.Repeatable {
		return time.Duration(repeatableMargin * float64(expected))
	}
	return onceMargin * expected
}

// Wait waits until all attempts and probes have ended. No request may be started in the meantime.
func (e *Engine) Wait() { e.tasks.Wait() }

// Do executes a request and returns its final answer, at its deadline at the latest. Cancelling the context, for example
// because the caller disconnected, ends the request early. The caller must Release the outcome.
func (e *Engine) Do(ctx context.Context, request Request) Outcome {
	r := e.newRun(request)
	err := r.checkQuarantine()
	if err == nil {
		err = r.checkWilling()
	}
	if err != nil {
		outcome := Outcome{Err: err, memory: r.memory}
		r.finish()
		r.report(outcome)
		return outcome
	}
	r.drive(ctx)
	outcome := r.outcome(ctx)
	outcome.memory = r.memory
	e.mu.Lock()
	outcome.Leaving = r.leaving
	e.mu.Unlock()
	r.report(outcome)
	return outcome
}
