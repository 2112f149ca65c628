package server

import (
	"context"
	"errors"
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
	// expireInterval is the interval at which queued requests are checked for expiry.
	expireInterval = 5 * time.Millisecond
	// maxRunning limits the requests that run concurrently on this host. 3,200 requests/s of 80 ms each keep 256 running.
	// The limit is fixed, because a caller that sends unmeetable deadlines could lower a limit that adapts to missed ones.
	maxRunning = 256
	// maxQueuedPerCaller limits the queued requests of each caller.
	maxQueuedPerCaller = 256
	// initialLatency is the latency estimate until the first request completes.
	initialLatency = 5 * time.Millisecond
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = 10 * time.Millisecond
)

// admitter starts requests in a fair order and enforces the limits of their callers. It is safe for concurrent use.
type admitter struct {
	started time.Time
	limits  gate.CallerLimits // nil disables the limits that apply across all hosts

	// capacity returns the maximum number of concurrent requests of a search or service; nil means maxRunning.
	capacity func(workName string) int

	mu          sync.Mutex
	controllers map[string]*admission.Controller // by search or service, since each has its own targets
	lastID      uint64
	queued      map[uint64]chan bool // receives true when the request starts, false when it has expired
}

var _ execute.Admission = (*admitter)(nil)

func newAdmitter(limits gate.CallerLimits) *admitter {
	return &admitter{
		started:     time.Now(),
		limits:      limits,
		queued:      map[uint64]chan bool{},
		controllers: map[string]*admission.Controller{},
	}
}

// controllerOf returns the controller of a search or service and updates its limit. The mutex must be held. The number of
// controllers is bounded, because the code that calls the admitter only passes names that are in the catalogue.
func (a *admitter) controllerOf(workName string) *admission.Controller {
	controller := a.controllers[workName]
	if controller == nil {
		controller = admission.New(admission.Config{
			Running:        concurrency.Config{Variant: concurrency.VariantFixed, Initial: maxRunning, Max: maxRunning},
			QueuePerCaller: maxQueuedPerCaller,
			Latency:        initialLatency,
		})
		a.controllers[workName] = controller
	}
	if a.capacity != nil {
		controller.SetLimit(a.capacity(workName))
	}
	return controller
}

// run periodically refuses expired requests until the context ends.
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

// Admit implements execute.Admission. It blocks until the request may run, or refuses it with a *fault.Error whose
// execution is not_run. end must be called exactly once with the error of the request, or nil.
func (a *admitter) Admit(
	ctx context.Context, caller model.Caller, workName string, cost float64,
) (end func(error), err error) {
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
	if err := a.enqueue(ctx, caller, workName, cost, deadline); err != nil {
		release()
		return nil, err
	}
	began := time.Now()
	return func(err error) {
		a.finish(workName, time.Since(began), concurrencyOutcome(err))
		release()
	}, nil
}

// enqueue submits the request to the controller and, if it is queued, waits for its start.
func (a *admitter) enqueue(ctx context.Context, caller model.Caller, workName string, cost float64, deadline time.Time) error {
	a.mu.Lock()
	a.lastID++
	id := a.lastID
	decision := a.controllerOf(workName).Offer(time.Since(a.started), admission.Request{
		ID: id, Caller: caller.ID, Class: caller.Class, WorkName: workName, Cost: cost, Deadline: deadline.Sub(a.started),
	})
	var starts chan bool
	if decision.Verdict == admission.Queued {
		starts = make(chan bool, 1)
		a.queued[id] = starts
	}
	a.mu.Unlock()
	switch decision.Verdict {
	case admission.Started:
		return nil
	case admission.TooLate:
		return errTooLate(decision.Wait)
	case admission.QueueFull:
		return fault.New(fault.Overloaded, fault.NotRun, "send fewer requests at once or use another host",
			"caller %s has %d requests waiting at this host", caller.ID, maxQueuedPerCaller).
			WithRetryAfter(retryAfter(decision.Wait))
	}
	err := a.awaitStart(ctx, starts, deadline, decision.Wait)
	if errors.Is(err, errCallerLeft) && !a.withdraw(workName, caller.ID, id) && <-starts {
		a.finish(workName, 0, concurrency.Neutral) // it was started at the moment at which its caller left
	}
	return err
}

// errCallerLeft ends a request whose caller has left before it could run.
var errCallerLeft = fault.New(fault.Unavailable, fault.NotRun, "repeat the request", "the caller disconnected before the request ran")

// withdraw takes a request out of the queue. It returns false if the request was told already that it starts or has expired.
func (a *admitter) withdraw(workName string, caller model.CallerID, id uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.queued, id)
	return a.controllerOf(workName).Withdraw(caller, id)
}

// awaitStart waits for the start of a queued request. At the deadline it expires the queue itself, so that requests end in
// time even if run is not active.
func (a *admitter) awaitStart(ctx context.Context, starts chan bool, deadline time.Time, wait time.Duration) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case started := <-starts:
		if started {
			return nil
		}
		return errTooLate(wait)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return errCallerLeft
		}
	case <-timer.C:
	}
	a.expire()
	if <-starts {
		return nil
	}
	return errTooLate(wait)
}

func errTooLate(wait time.Duration) error {
	return fault.New(fault.DeadlineTooShort, fault.NotRun, "send a longer deadline or use another host",
		"the request would not end before its deadline").WithRetryAfter(retryAfter(wait))
}

func retryAfter(wait time.Duration) time.Duration { return max(wait, minRetryAfter) }

func (a *admitter) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, controller := range a.controllers {
		a.notify(controller.Expire(time.Since(a.started)), false)
		controller.Forget()
	}
}

func (a *admitter) finish(workName string, latency time.Duration, outcome concurrency.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notify(a.controllerOf(workName).Finish(time.Since(a.started), workName, latency, outcome), true)
}

// notify reports to queued requests whether they start or have expired. The mutex must be held.
func (a *admitter) notify(requests []admission.Request, started bool) {
	for _, r := range requests {
		a.queued[r.ID] <- started
		delete(a.queued, r.ID)
	}
}

// load returns the load of each search and service for state dumps.
func (a *admitter) load() map[string]admission.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := make(map[string]admission.Load, len(a.controllers))
	for workName, controller := range a.controllers {
		loads[workName] = controller.Load()
	}
	return loads
}

// concurrencyOutcome returns Success only for completed requests, so that failed ones don't count as latency samples.
func concurrencyOutcome(err error) concurrency.Outcome {
	if err == nil {
		return concurrency.Success
	}
	return concurrency.Neutral
}

// capacity returns the maximum number of requests of a search or service that this host runs concurrently.
func (s *Server) capacity(workName string) int {
	catalogue := s.Catalogue()
	if catalogue == nil {
		return maxRunning
	}
	return min(maxRunning, s.engine.Capacity(catalogue, model.SearchID(workName)))
}
