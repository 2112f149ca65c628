// Package forward carries out opaque requests: it drives the state machine of package scatter with an exchange.Client and
// supplies the decisions that concern more than one request (choice of target, hedges, budgets, cold targets).
package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/replica"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
)

// Config describes an engine.
type Config struct {
	Client exchange.Client
	// Host is this host.
	Host       model.HostID
	DataCentre model.DataCentreID
	// ExtraRatio and ExtraSlack bound the extra attempts at a service in a window, summed over all hosts: the ratio times
	// the requests for it, and the slack. Each host uses its part of ExtraSlack.
	ExtraRatio, ExtraSlack float64
	// Observer learns of the end of each request; nil means none.
	Observer Observer
}

// Observer learns of decisions. Its methods are called from many goroutines and must return at once.
type Observer interface {
	RequestEnded(Trace)
	// TargetCrashed is told of each crash that this host has seen first.
	TargetCrashed(Crash)
}

// Request is a request of a caller.
type Request struct {
	*exchange.Request
	Route      *routing.Route
	Generation model.Generation
	// Arrived is the time at which the request had been read.
	Arrived time.Time
	// Deadline is the time at which the caller gets its final answer.
	Deadline time.Time
}

// Outcome is the final answer to a request.
type Outcome struct {
	// Replies holds the counting reply of each shard, or nil; one for a request to one target.
	Replies []*exchange.Reply
	// Failure is the target's own failure of a request to one target that no target answered with success.
	Failure *exchange.Reply
	// Err is nil if the request was answered. Its Execution tells whether the request ran.
	Err *fault.Error
}

// Engine answers requests. It is safe for concurrent use.
type Engine struct {
	cfg   Config
	start time.Time
	world atomic.Pointer[World]
	// changed is closed when the next world is in force. It belongs to the mutex.
	changed chan struct{}
	// tasks are attempts, which may outlast their request.
	tasks conc.WaitGroup

	mu       sync.Mutex
	targets  map[model.TargetID]*targetState
	services map[model.ServiceID]*serviceState
	routes   map[string]*replica.Sketch
	splitter *routing.Splitter
	crashes  crashes
}

// New returns an engine. It refuses requests until SetWorld is called.
func New(cfg Config) *Engine {
	return &Engine{
		cfg:      cfg,
		start:    time.Now(),
		targets:  map[model.TargetID]*targetState{},
		services: map[model.ServiceID]*serviceState{},
		routes:   map[string]*replica.Sketch{},
		splitter: routing.NewSplitter(),
		crashes:  crashes{suspects: map[uint64]*suspect{}},
		changed:  make(chan struct{}),
	}
}

func (e *Engine) now() time.Duration { return time.Since(e.start) }

// World returns the configuration and targets in force, or nil.
func (e *Engine) World() *World { return e.world.Load() }

// Watch returns the configuration and targets in force, or nil, and a channel that is closed when others are.
func (e *Engine) Watch() (*World, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.world.Load(), e.changed
}

// SetWorld puts a configuration and set of targets in force and drops the state of what it does not name.
func (e *Engine) SetWorld(w *World) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.world.Store(w)
	close(e.changed)
	e.changed = make(chan struct{})
	e.splitter.Keep(w.Table)
	for id, t := range e.targets {
		if _, ok := w.registered[id]; !ok && t.pace.InFlight() == 0 {
			delete(e.targets, id)
		}
	}
	for id := range e.services {
		if !w.Table.Names(id) {
			delete(e.services, id)
		}
	}
	for name := range e.routes {
		if !w.hasRoute(name) {
			delete(e.routes, name)
		}
	}
	for _, s := range e.services {
		s.resize(e.cfg, w.Fleet.Part)
	}
}

// SetBudget changes the bounds of extra attempts.
func (e *Engine) SetBudget(ratio, slack float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg.ExtraRatio, e.cfg.ExtraSlack = ratio, slack
	for _, s := range e.services {
		part := s.part
		s.part = 0 // makes the budget anew
		s.resize(e.cfg, part)
	}
}

// Wait returns when no attempt is under way any more. No request may start meanwhile.
func (e *Engine) Wait() { e.tasks.Wait() }

// Do carries out a request and returns its final answer, at its deadline at the latest. When the context ends the caller
// has gone.
func (e *Engine) Do(ctx context.Context, request Request) Outcome {
	r := e.newRun(request)
	if err := r.quarantine(); err != nil {
		outcome := Outcome{Err: err}
		r.finish()
		r.report(outcome)
		return outcome
	}
	r.drive(ctx)
	outcome := r.outcome(ctx)
	r.report(outcome)
	return outcome
}
