package execute

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
	"github.com/knapweedrouter/knapweedrouter/internal/ticket"
)

const (
	// maxTargets bounds the targets that are asked for one operation when each proves that it did not run.
	maxTargets = 3
	// runningRetryAfter is the time after which the outcome of a running operation is asked for again.
	runningRetryAfter = 50 * time.Millisecond
	// shedRetryAfter is the time after which targets that refused are asked again.
	shedRetryAfter = 100 * time.Millisecond
)

// held looks the operation up in the ledgers of this host and executes it if it was never used. held is false when the
// ledger is elsewhere.
func (e *Engine) held(ctx context.Context, op operation) (outcome ticket.Outcome, held bool) {
	e.mu.Lock()
	verdict, outcome := e.book.Begin(op.Ticket, op.Fingerprint)
	if verdict == ticket.Execute {
		e.active++
	}
	e.mu.Unlock()
	switch verdict {
	case ticket.Execute:
		return e.first(ctx, op), true
	case ticket.Finished:
		return outcome, true
	case ticket.Running:
		return unknown(fault.New(fault.TicketRunning, fault.OutcomeUnknown,
			"send the same request again", "the operation is running").WithRetryAfter(runningRetryAfter)), true
	case ticket.Mismatch:
		// The other contents did not run, but a caller who changed the form of its payload must not take that as leave
		// to send the operation under a new ticket.
		return unknown(fault.New(fault.TicketInvalid, fault.OutcomeUnknown,
			"send the request that the ticket was first used for", "the ticket was used for another request")), true
	case ticket.Full:
		return unknown(fault.New(fault.Overloaded, fault.OutcomeUnknown,
			"send the same request again", "the ledger is full of running operations").WithRetryAfter(shedRetryAfter)), true
	case ticket.Closed, ticket.NotHeld:
		return ticket.UnknownOutcome(), false
	}
	return ticket.UnknownOutcome(), true
}

func unknown(err *fault.Error) ticket.Outcome {
	return ticket.Outcome{Execution: fault.OutcomeUnknown, Fault: err}
}

// first executes an operation whose ticket has been recorded as running, and records its outcome.
func (e *Engine) first(ctx context.Context, op operation) ticket.Outcome {
	outcome := ticket.UnknownOutcome()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active--
		e.book.Finish(op.Ticket, outcome)
	}()
	result, err := e.perform(ctx, op)
	if err != nil {
		typed := fault.As(err)
		outcome = ticket.Outcome{Execution: typed.Execution, Fault: typed}
		return outcome
	}
	outcome = ticket.Outcome{Execution: fault.Ran, Result: result}
	return outcome
}

// perform admits the operation and sends it.
func (e *Engine) perform(ctx context.Context, op operation) ([]byte, error) {
	catalogue := e.cfg.View.Catalogue()
	switch {
	case catalogue == nil:
		return nil, fault.New(fault.NotReady, fault.NotRun, remedyNewTicket, "this host has no configuration yet")
	case e.cfg.View.Fenced():
		return nil, fault.New(fault.CutOff, fault.NotRun, remedyNewTicket, "this host may be cut off from changes")
	}
	caller, service, err := allowed(catalogue, op.Ticket)
	if err != nil {
		return nil, err
	}
	if e.cfg.Admission == nil {
		return e.guarded(ctx, op, service, catalogue)
	}
	end, err := e.cfg.Admission.Admit(ctx, caller, string(service.ID), 1)
	if err != nil {
		return nil, err
	}
	result, err := e.guarded(ctx, op, service, catalogue)
	end(err)
	return result, err
}

// guarded sends the operation unless it is known to crash targets.
func (e *Engine) guarded(ctx context.Context, op operation, service model.Service, catalogue *model.Catalogue) ([]byte, error) {
	deadline, _ := ctx.Deadline()
	s := &sending{engine: e, op: op, deadline: deadline, repeatable: service.Repeatable}
	targets := targetsOf(catalogue, e.order(service.Targets))
	if e.cfg.Guard == nil {
		return s.run(ctx, targets)
	}
	alone, end, err := e.cfg.Guard.Admit(ctx, op.Ticket.Caller, op.Fingerprint)
	if err != nil {
		return nil, err
	}
	s.repeatable = service.Repeatable && !alone
	result, err := s.run(ctx, targets)
	end(err == nil)
	return result, err
}

// remedyNewTicket follows from outcomes being final: the refused ticket is spent.
const remedyNewTicket = "get a ticket from another host and send the operation with it"

// allowed returns the ticket's caller and service, if the catalogue in force grants the one to the other.
func allowed(catalogue *model.Catalogue, t ticket.Ticket) (model.Caller, model.Service, error) {
	at := slices.IndexFunc(catalogue.Services, func(s model.Service) bool { return s.ID == t.Service })
	if at < 0 {
		return model.Caller{}, model.Service{}, fault.New(fault.NotFound, fault.NotRun,
			"name a service of the catalogue", "there is no service %q", t.Service)
	}
	for _, caller := range catalogue.Callers {
		if caller.ID == t.Caller && slices.Contains(caller.Services, t.Service) {
			return caller, catalogue.Services[at], nil
		}
	}
	return model.Caller{}, model.Service{}, fault.New(fault.Forbidden, fault.NotRun,
		"ask the operators to grant the service", "caller %s may not use service %q", t.Caller, t.Service)
}

func targetsOf(catalogue *model.Catalogue, ids []model.TargetID) []model.Target {
	byID := make(map[model.TargetID]model.Target, len(ids))
	for _, t := range catalogue.Targets {
		byID[t.ID] = t
	}
	targets := make([]model.Target, 0, len(ids))
	for _, id := range ids {
		if t, ok := byID[id]; ok {
			targets = append(targets, t)
		}
	}
	return targets
}

// sending sends one operation: to one target once, and to another only after proof that the first did not run it. An
// operation of a repeatable service gets one more attempt whatever happened.
type sending struct {
	engine     *Engine
	op         operation
	deadline   time.Time
	repeatable bool
	mayHaveRun bool
	last       error
}

// gateRetry is the time between two looks for a target that takes work.
const gateRetry = 20 * time.Millisecond

// run waits for a target that takes work, for half of the time that is left at most. Permits of cold targets are few and
// may have to be borrowed from another host first.
func (s *sending) run(ctx context.Context, targets []model.Target) ([]byte, error) {
	patience := time.Now().Add(time.Until(s.deadline) / 2)
	for {
		result, asked, err := s.round(ctx, targets)
		if err == nil || asked > 0 || len(targets) == 0 || time.Now().After(patience) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(gateRetry):
		}
	}
}

// round asks the targets one after the other. asked is the number of those that were sent the operation.
func (s *sending) round(ctx context.Context, targets []model.Target) (result []byte, asked int, err error) {
	for _, target := range targets {
		if asked == maxTargets || ctx.Err() != nil {
			break
		}
		release, ok := s.acquire(target.ID)
		if !ok {
			continue
		}
		asked++
		reply, err := s.send(ctx, target, release)
		if err == nil {
			return reply.Result, asked, nil
		}
		s.last = err
		if targetclient.IsNotRun(err) {
			continue
		}
		s.mayHaveRun = true
		if !s.repeatable {
			break
		}
		s.repeatable = false
	}
	return nil, asked, s.failure(asked)
}

func (s *sending) acquire(target model.TargetID) (gate.Release, bool) {
	if s.engine.cfg.Gate == nil {
		return func(gate.Outcome) {}, true
	}
	return s.engine.cfg.Gate.Acquire(target, s.deadline)
}

func (s *sending) send(ctx context.Context, target model.Target, release gate.Release) (targetclient.ExecuteReply, error) {
	request := targetclient.ExecuteRequest{
		Attempt:    s.engine.nextAttempt(),
		Service:    s.op.Ticket.Service,
		Operation:  s.op.Operation,
		Payload:    s.op.Payload,
		DeadlineMS: max(1, time.Until(s.deadline).Milliseconds()),
	}
	guard := s.engine.cfg.Guard
	if guard != nil {
		guard.Started(request.Attempt, target.ID, s.op.Ticket.Caller, s.op.Fingerprint)
	}
	started := time.Now()
	reply, err := s.engine.cfg.Targets.Execute(ctx, target, request)
	release(gate.Outcome{Result: resultOf(err), Latency: time.Since(started), Incarnation: reply.Incarnation})
	if guard != nil {
		guard.Ended(request.Attempt, target.ID, reply.Incarnation, err)
	}
	return reply, err
}

// failure returns the typed error of an operation without a result.
func (s *sending) failure(asked int) error {
	switch {
	case s.mayHaveRun:
		return fault.Wrap(s.last, fault.TargetFailed, fault.OutcomeUnknown,
			"read the state from the service itself", "the target may have run the operation")
	case asked == 0:
		return fault.New(fault.Unavailable, fault.NotRun, "get a new ticket and try again",
			"no target of service %s takes work", s.op.Ticket.Service).WithRetryAfter(shedRetryAfter)
	case errors.Is(s.last, targetclient.ErrDeadline) || !time.Now().Before(s.deadline):
		return fault.Wrap(s.last, fault.DeadlineExceeded, fault.NotRun,
			"get a new ticket and send a longer deadline", "the deadline passed before a target started")
	}
	return fault.Wrap(s.last, fault.Overloaded, fault.NotRun, "get a new ticket and try again",
		"%d targets of service %s refused", asked, s.op.Ticket.Service).WithRetryAfter(shedRetryAfter)
}

func resultOf(err error) gate.Result {
	results := []struct {
		err    error
		result gate.Result
	}{
		{targetclient.ErrNotSent, gate.NotSent},
		{targetclient.ErrShed, gate.Shed},
		{targetclient.ErrDraining, gate.Draining},
		{targetclient.ErrLost, gate.Lost},
		{targetclient.ErrSilent, gate.Silent},
		{targetclient.ErrCancelled, gate.Cancelled},
	}
	if err == nil {
		return gate.Success
	}
	for _, known := range results {
		if errors.Is(err, known.err) {
			return known.result
		}
	}
	return gate.Other
}
