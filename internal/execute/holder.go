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
	// maxTargets bounds the number of targets tried for one operation when each confirms that it did not run the
	// operation.
	maxTargets = 3
	// runningRetryAfter is the retry delay for an operation that is still running.
	runningRetryAfter = 50 * time.Millisecond
	// shedRetryAfter is the retry delay after no target accepted an operation, or while the ledger is full.
	shedRetryAfter = 100 * time.Millisecond
)

// executeIfHeld looks the ticket up in the ledgers of this host and executes the operation if the ticket was not
// used before. held is false if the ledger is on another host.
func (e *Engine) executeIfHeld(ctx context.Context, op operation) (outcome ticket.Outcome, held bool) {
	e.mu.Lock()
	verdict, outcome := e.ledgers.Begin(op.Ticket, op.Fingerprint)
	if verdict == ticket.Execute {
		e.active++
	}
	e.mu.Unlock()
	switch verdict {
	case ticket.Execute:
		return e.executeAndRecord(ctx, op), true
	case ticket.Finished:
		return outcome, true
	case ticket.Running:
		return unknownWithFault(fault.New(fault.TicketRunning, fault.OutcomeUnknown,
			"send the same request again", "the operation is running").WithRetryAfter(runningRetryAfter)), true
	case ticket.Mismatch:
		// The new contents did not run. But a caller that merely reformatted its payload must not take that as
		// permission to send the operation with a new ticket.
		return unknownWithFault(fault.New(fault.TicketInvalid, fault.OutcomeUnknown,
			"send the request that the ticket was first used for", "the ticket was used for another request")), true
	case ticket.Full:
		return unknownWithFault(fault.New(fault.Overloaded, fault.OutcomeUnknown,
			"send the same request again", "the ledger is full of running operations").WithRetryAfter(shedRetryAfter)), true
	case ticket.Closed, ticket.NotHeld:
		return ticket.UnknownOutcome(), false
	}
	return ticket.UnknownOutcome(), true
}

// unknownWithFault returns an unknown outcome with the given reason.
func unknownWithFault(err *fault.Error) ticket.Outcome {
	return ticket.Outcome{Execution: fault.OutcomeUnknown, Fault: err}
}

// executeAndRecord executes an operation whose ticket has been recorded as running, and records its outcome.
func (e *Engine) executeAndRecord(ctx context.Context, op operation) ticket.Outcome {
	outcome := ticket.UnknownOutcome()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active--
		e.ledgers.Finish(op.Ticket, outcome)
	}()
	result, err := e.admitAndSend(ctx, op)
	if err != nil {
		typed := fault.As(err)
		outcome = ticket.Outcome{Execution: typed.Execution, Fault: typed}
		return outcome
	}
	outcome = ticket.Outcome{Execution: fault.Ran, Result: result}
	return outcome
}

// admitAndSend checks the configuration and the caller's permission, waits for admission, and sends the operation.
func (e *Engine) admitAndSend(ctx context.Context, op operation) ([]byte, error) {
	catalogue := e.cfg.View.Catalogue()
	switch {
	case catalogue == nil:
		return nil, fault.New(fault.NotReady, fault.NotRun, remedyNewTicket, "this host has no configuration yet")
	case e.cfg.View.Fenced():
		return nil, fault.New(fault.CutOff, fault.NotRun, remedyNewTicket, "this host may be cut off from changes")
	}
	caller, service, err := authorize(catalogue, op.Ticket)
	if err != nil {
		return nil, err
	}
	waiting, stop := op.waitContext(ctx)
	defer stop()
	if e.cfg.Admission == nil {
		return e.sendGuarded(ctx, waiting, op, service, catalogue)
	}
	end, err := e.cfg.Admission.Admit(waiting, caller, string(service.ID), 1)
	if err != nil {
		return nil, err
	}
	result, err := e.sendGuarded(ctx, waiting, op, service, catalogue)
	end(err)
	return result, err
}

// waitContext returns a context for the waits before an attempt, which also ends when the caller disconnects.
func (o *operation) waitContext(ctx context.Context) (context.Context, func()) {
	waiting, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(o.left, cancel)
	return waiting, func() {
		stop()
		cancel()
	}
}

// sendGuarded sends the operation unless the guard refuses it because it may crash targets. waiting bounds the wait for the guard.
func (e *Engine) sendGuarded(ctx, waiting context.Context, op operation, service model.Service, catalogue *model.Catalogue) ([]byte, error) {
	deadline, _ := ctx.Deadline()
	d := &dispatch{engine: e, op: op, deadline: deadline, repeatable: service.Repeatable}
	targets := targetsOf(catalogue, e.shuffleWarmFirst(service.Targets))
	if e.cfg.Guard == nil {
		return d.run(ctx, targets)
	}
	alone, end, err := e.cfg.Guard.Admit(waiting, op.Ticket.Caller, op.Fingerprint)
	if err != nil {
		return nil, err
	}
	d.repeatable = service.Repeatable && !alone
	result, err := d.run(ctx, targets)
	end(err == nil)
	return result, err
}

// remedyNewTicket asks for a new ticket because outcomes are final: the refused ticket can't be used again.
const remedyNewTicket = "get a ticket from another host and send the operation with it"

// authorize returns the ticket's caller and service if the catalogue in force allows the caller to use the
// service.
func authorize(catalogue *model.Catalogue, t ticket.Ticket) (model.Caller, model.Service, error) {
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

// dispatch sends one operation to one target, and to another only after proof that the first did not run it. An
// operation of a repeatable service gets one more attempt whatever the result of the first.
type dispatch struct {
	engine     *Engine
	op         operation
	deadline   time.Time
	repeatable bool
	mayHaveRun bool
	lastErr    error
}

// gateRetryInterval is the time between two attempts to find an available target.
const gateRetryInterval = 20 * time.Millisecond

// run sends the operation. If the gate admits no target, it retries for up to half of the remaining time: permits
// of cold targets are few, and this host may have to borrow one first.
func (d *dispatch) run(ctx context.Context, targets []model.Target) ([]byte, error) {
	giveUpAt := time.Now().Add(time.Until(d.deadline) / 2)
	for {
		result, attempted, err := d.tryTargets(ctx, targets)
		if err == nil || attempted > 0 || len(targets) == 0 || time.Now().After(giveUpAt) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-d.op.left.Done():
			return nil, d.failure(attempted)
		case <-time.After(gateRetryInterval):
		}
	}
}

// tryTargets tries the targets in order. attempted is the number of targets to which the operation was sent.
func (d *dispatch) tryTargets(ctx context.Context, targets []model.Target) (result []byte, attempted int, err error) {
	for _, target := range targets {
		if attempted == maxTargets || ctx.Err() != nil || d.op.left.Err() != nil {
			break
		}
		release, ok := d.acquire(target.ID)
		if !ok {
			continue
		}
		attempted++
		reply, err := d.send(ctx, target, release)
		if err == nil {
			return reply.Result, attempted, nil
		}
		d.lastErr = err
		if targetclient.IsNotRun(err) {
			continue
		}
		d.mayHaveRun = true
		if !d.repeatable {
			break
		}
		d.repeatable = false
	}
	return nil, attempted, d.failure(attempted)
}

func (d *dispatch) acquire(target model.TargetID) (gate.Release, bool) {
	if d.engine.cfg.Gate == nil {
		return func(gate.Outcome) {}, true
	}
	return d.engine.cfg.Gate.Acquire(target, d.deadline)
}

func (d *dispatch) send(ctx context.Context, target model.Target, release gate.Release) (targetclient.ExecuteReply, error) {
	request := targetclient.ExecuteRequest{
		Attempt:    d.engine.nextAttemptID(),
		Service:    d.op.Ticket.Service,
		Operation:  d.op.Operation,
		Payload:    d.op.Payload,
		DeadlineMS: max(1, time.Until(d.deadline).Milliseconds()),
		Unwanted:   d.op.left.Done(),
	}
	guard := d.engine.cfg.Guard
	if guard != nil {
		guard.Started(request.Attempt, target.ID, d.op.Ticket.Caller, d.op.Fingerprint)
	}
	started := time.Now()
	reply, err := d.engine.cfg.Targets.Execute(ctx, target, request)
	release(gate.Outcome{Result: resultOf(err), Latency: time.Since(started), Incarnation: reply.Incarnation})
	if guard != nil {
		guard.Ended(request.Attempt, target.ID, reply.Incarnation, err)
	}
	return reply, err
}

// failure returns the typed error of an operation without a result.
func (d *dispatch) failure(attempted int) error {
	switch {
	case d.mayHaveRun:
		return fault.Wrap(d.lastErr, fault.TargetFailed, fault.OutcomeUnknown,
			"read the state from the service itself", "the target may have run the operation")
	case d.op.left.Err() != nil:
		return fault.New(fault.Unavailable, fault.NotRun, "get a new ticket and try again",
			"the caller disconnected before the operation ran").WithRetryAfter(shedRetryAfter)
	case attempted == 0:
		return fault.New(fault.Unavailable, fault.NotRun, "get a new ticket and try again",
			"no target of service %s accepts operations now", d.op.Ticket.Service).WithRetryAfter(shedRetryAfter)
	case errors.Is(d.lastErr, targetclient.ErrDeadline) || !time.Now().Before(d.deadline):
		return fault.Wrap(d.lastErr, fault.DeadlineExceeded, fault.NotRun,
			"get a new ticket and send a longer deadline", "the deadline passed before a target started")
	}
	return fault.Wrap(d.lastErr, fault.Overloaded, fault.NotRun, "get a new ticket and try again",
		"%d targets of service %s refused the operation", attempted, d.op.Ticket.Service).WithRetryAfter(shedRetryAfter)
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
		{targetclient.ErrNoReply, gate.NoReply},
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
