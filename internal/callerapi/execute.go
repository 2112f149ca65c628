package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/ticket"
)

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	Service model.ServiceID `json:"service"`
}

// TicketReply is the body of the response to POST /v1/tickets.
type TicketReply struct {
	Ticket string `json:"ticket"`
}

// ExecuteRequest is the body of POST /v1/execute.
type ExecuteRequest struct {
	Ticket     string          `json:"ticket"`
	Operation  string          `json:"operation"`
	Payload    json.RawMessage `json:"payload"`
	DeadlineMS int64           `json:"deadline_ms"`
}

// ExecuteReply is the body of the response to POST /v1/execute if the operation ran.
type ExecuteReply struct {
	Execution fault.Execution `json:"execution"`
	Result    json.RawMessage `json:"result"`
}

// PathExecute is the path for executing operations. A host that refuses such a request before it has consulted the ledger
// must pass the refusal through WithUnknownOutcome.
const PathExecute = "/v1/execute"

// Executor issues tickets and executes operations at most once.
type Executor interface {
	Issue(caller model.CallerID, service model.ServiceID) (string, error)
	Execute(ctx context.Context, caller model.Caller, request execute.Request) (json.RawMessage, error)
}

// SetExecutor sets the executor for POST /v1/tickets and POST /v1/execute. It must be called before Handler.
func (a *API) SetExecutor(e Executor) { a.executor = e }

// routeExecute adds the routes for tickets and operations if an executor is set.
func (a *API) routeExecute(router *httprouter.Router) {
	if a.executor == nil {
		return
	}
	router.POST("/v1/tickets", a.observer.observe("tickets", a.handle(a.issue, func(err *fault.Error) *fault.Error { return err })))
	router.POST(PathExecute, a.observer.observe("execute", a.handle(a.execute, WithUnknownOutcome)))
}

// WithUnknownOutcome returns a copy of a refusal with execution outcome_unknown. A host that refuses a request before it
// has consulted the ledger can't know whether an earlier copy of the request ran, so it must not report not_run.
func WithUnknownOutcome(err *fault.Error) *fault.Error {
	changed := *err
	changed.Execution = fault.OutcomeUnknown
	return &changed
}

// handle returns a handler that authenticates the caller and writes the reply or the error of answer. adaptAuthError is
// applied to authentication errors.
func (a *API) handle(
	answer func(http.ResponseWriter, *http.Request, model.Caller) (any, error),
	adaptAuthError func(*fault.Error) *fault.Error,
) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		caller, err := a.authenticateCaller(r)
		if err != nil {
			writeError(w, adaptAuthError(fault.As(err)))
			return
		}
		reply, err := answer(w, r, caller)
		if err != nil {
			writeError(w, fault.As(err))
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

func (a *API) authenticateCaller(r *http.Request) (model.Caller, error) {
	catalogue := a.catalogues.Catalogue()
	if catalogue == nil {
		return model.Caller{}, fault.New(fault.NotReady, fault.NotRun, "use another host", "this host has no configuration yet")
	}
	return a.authenticator.authenticate(catalogue, r)
}

func (a *API) issue(w http.ResponseWriter, r *http.Request, caller model.Caller) (any, error) {
	var request TicketRequest
	if err := decodeBody(w, r, &request); err != nil {
		return nil, err
	}
	if err := checkName("service", string(request.Service)); err != nil {
		return nil, err
	}
	observeRequest(r, caller.ID, string(request.Service), 0)
	if !slices.Contains(caller.Services, request.Service) {
		return nil, fault.New(fault.Forbidden, fault.NotRun,
			"ask the operators to grant the service", "caller %s may not use service %q", caller.ID, request.Service)
	}
	if err := a.catalogues.Ready(); err != nil {
		return nil, err
	}
	text, err := a.executor.Issue(caller.ID, request.Service)
	return TicketReply{Ticket: text}, err
}

func (a *API) execute(w http.ResponseWriter, r *http.Request, caller model.Caller) (any, error) {
	request, err := decodeExecute(w, r)
	if err != nil {
		return nil, err
	}
	observeRequest(r, caller.ID, request.Operation, request.DeadlineMS)
	result, err := a.executor.Execute(r.Context(), caller, execute.Request{
		Ticket:    request.Ticket,
		Operation: request.Operation,
		Payload:   compact(request.Payload),
		Deadline:  time.Duration(request.DeadlineMS) * time.Millisecond,
	})
	return ExecuteReply{Execution: fault.Ran, Result: result}, err
}

// decodeExecute reads and decodes a request. A body that did not arrive may belong to a copy of a request that has run, so
// its refusal has execution outcome_unknown. Bodies that are too large or malformed have not run: every host refuses them.
func decodeExecute(w http.ResponseWriter, r *http.Request) (ExecuteRequest, error) {
	var request ExecuteRequest
	body, err := readBody(w, r)
	if fault.IsKind(err, fault.TooLarge) {
		return request, err
	}
	if err != nil {
		return request, WithUnknownOutcome(fault.As(err))
	}
	if err := decodeStrict(body, &request); err != nil {
		return request, err
	}
	return request, request.check()
}

func (r ExecuteRequest) check() error {
	if r.Ticket == "" || len(r.Ticket) > ticket.MaxTextBytes {
		return fault.New(fault.TicketInvalid, fault.NotRun, "get a ticket with POST /v1/tickets", "the request has no ticket")
	}
	if err := checkName("operation", r.Operation); err != nil {
		return err
	}
	return checkDeadline(r.DeadlineMS)
}
