package server

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/admission"
	"github.com/knapweedrouter/knapweedrouter/internal/concurrency"
	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// expireInterval is the time between two looks for waiting requests that have become too late.
	expireInterval = 5 * time.Millisecond
	// maxRunning bounds the requests that run at once on this host: 256 run at 3,200 requests/s of 80 ms. It is fixed,
	// because a limit that follows missed deadlines could be pressed down by a caller whose deadlines can't be met.
	maxRunning = 256
	// queuePerCaller bounds the waiting requests of one caller.
	queuePerCaller = 256
	// firstLatency is the estimate before the first answer.
	firstLatency = 5 * time.Millisecond
	// minRetryAfter keeps refused callers from repeating at once.
	minRetryAfter = 10 * time.Millisecond
)

// admitter lets requests run in a fair order, within the limits of their callers. It is safe for concurrent use.
type admitter struct {
	started time.Time
	limits  gate.CallerLimits // nil means no limits over all hosts

	// capacity returns the number of requests of a work that may run at once; nil means maxRunning.
	capacity func(work string) int

	mu          sync.Mutex
	controllers map[string]*admission.Controller // by work: each work has targets of its own
	lastID      uint64
	waiting     map[uint64]chan bool // receives true when the request starts, false when it is too late
}

var _ execute.Admission = (*admitter)(nil)

func newAdmitter(limits gate.CallerLimits) *admitter {
	return &admitter{
		started:     time.Now(),
		limits:      limits,
		waiting:     map[uint64]chan bool{},
		controllers: map[string]*admission.Controller{},
	}
}

// controllerOf returns the controller of a work with the present limit. It runs under the mutex. The callers of the
// admitter have checked that the catalogue has the work, so that their number is bounded.
func (a *admitter) controllerOf(work string) *admission.Controller {
	controller := a.controllers[work]
	if controller == nil {
		controller = admission.New(admission.Config{
			Running:        concurrency.Config{Variant: concurrency.VariantFixed, Initial: maxRunning, Max: maxRunning},
			QueuePerCaller: queuePerCaller,
			Latency:        firstLatency,
		})
		a.controllers[work] = controller
	}
	if a.capacity != nil {
		controller.SetLimit(a.capacity(work))
	}
	return controller
}

// run refuses waiting requests that have become too late, until the context ends.
func (a *admitter) run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			a.expire()
		}
	}
}

// Admit implements execute.Admission. It waits until the request may run, or refuses it with a typed error and execution
// "not run". end is called once with the error of the request.
func (a *admitter) Admit(ctx context.Context, caller model.Caller, work string, cost float64) (end func(error), err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(model.MaxDeadline)
	}
	release := func() {}
	if a.limits != nil {
		if release, err = a.limits.Take(caller.ID, cost, deadline); err != nil {
			return nil, err
		}
	}
	if err := a.enter(caller, work, cost, deadline); err != nil {
		release()
		return nil, err
	}
	began := time.Now()
	return func(err error) {
		a.finish(work, time.Since(began), outcomeOf(err))
		release()
	}, nil
}

// enter offers the request to the controller and waits for its start.
func (a *admitter) enter(caller model.Caller, work string, cost float64, deadline time.Time) error {
	a.mu.Lock()
	a.lastID++
	id := a.lastID
	decision := a.controllerOf(work).Offer(time.Since(a.started), admission.Request{
		ID: id, Caller: caller.ID, Class: caller.Class, Work: work, Cost: cost, Deadline: deadline.Sub(a.started),
	})
	var starts chan bool
	if decision.Verdict == admission.Queued {
		starts = make(chan bool, 1)
		a.waiting[id] = starts
	}
	a.mu.Unlock()
	switch decision.Verdict {
	case admission.Started:
		return nil
	case admission.TooLate:
		return tooLate(decision.Wait)
	case admission.QueueFull:
		return fault.New(fault.Overloaded, fault.NotRun, "send fewer requests at once or use another host",
			"caller %s has %d requests waiting at this host", caller.ID, queuePerCaller).WithRetryAfter(atLeast(decision.Wait))
	}
	return a.await(starts, deadline, decision.Wait)
}

// await waits for the start of a queued request. It expires the queue itself at the deadline, so that no request depends
// on run.
func (a *admitter) await(starts chan bool, deadline time.Time, wait time.Duration) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case started := <-starts:
		if started {
			return nil
		}
		return tooLate(wait)
	case <-timer.C:
	}
	a.expire()
	if <-starts {
		return nil
	}
	return tooLate(wait)
}

func tooLate(wait time.Duration) error {
	return fault.New(fault.DeadlineTooShort, fault.NotRun, "send a longer deadline or use another host",
		"the request would not end before its deadline").WithRetryAfter(atLeast(wait))
}

func atLeast(wait time.Duration) time.Duration { return max(wait, minRetryAfter) }

func (a *admitter) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, controller := range a.controllers {
		a.notify(controller.Expire(time.Since(a.started)), false)
		controller.Forget()
	}
}

func (a *admitter) finish(work string, latency time.Duration, outcome concurrency.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notify(a.controllerOf(work).Finish(time.Since(a.started), work, latency, outcome), true)
}

// notify tells the waiting requests what became of them. It runs under the mutex.
func (a *admitter) notify(requests []admission.Request, started bool) {
	for _, r := range requests {
		a.waiting[r.ID] <- started
		delete(a.waiting, r.ID)
	}
}

// load returns the present load of each work for state dumps.
func (a *admitter) load() map[string]admission.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := make(map[string]admission.Load, len(a.controllers))
	for work, controller := range a.controllers {
		loads[work] = controller.Load()
	}
	return loads
}

// outcomeOf tells whether the end of a request is a sample of the latency.
func outcomeOf(err error) concurrency.Outcome {
	if err == nil {
		return concurrency.Success
	}
	return concurrency.Neutral
}

// capacity returns the number of requests of a search or service that this host runs at once.
func (s *Server) capacity(work string) int {
	catalogue := s.Catalogue()
	if catalogue == nil {
		return maxRunning
	}
	return min(maxRunning, s.engine.Capacity(catalogue, model.SearchID(work)))
}
