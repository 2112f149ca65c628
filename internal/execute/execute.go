// Package execute carries out operations that run at most once: it issues tickets, forwards requests to the host that
// holds the ticket's ledger, and sends each operation to one target.
package execute

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
	"github.com/knapweedrouter/knapweedrouter/internal/ticket"
)

// View is what the engine sees of the fleet.
type View interface {
	// Catalogue returns the configuration in force, or nil before the first.
	Catalogue() *model.Catalogue
	// Fenced tells whether this host has to refuse new work.
	Fenced() bool
}

// Guard watches for operations that crash targets.
type Guard interface {
	// Admit refuses an operation that is quarantined, with a *fault.Error. alone tells that it may be sent only once. end
	// is called once with the result; whole tells that the operation ran and was answered.
	Admit(ctx context.Context, caller model.CallerID, fingerprint uint64) (alone bool, end func(whole bool), err error)
	// Started and Ended report an attempt at a target. The error is nil for a whole reply, whose incarnation is known.
	Started(attempt model.AttemptID, target model.TargetID, caller model.CallerID, fingerprint uint64)
	Ended(attempt model.AttemptID, target model.TargetID, incarnation model.Incarnation, err error)
}

// Admission decides when a request may run.
type Admission interface {
	// Admit waits until the request may run, or refuses it with a *fault.Error of execution "not run". work names the
	// service or search, cost is the number of target attempts that it needs first. The context's deadline is the
	// caller's. end is called once with the error of the request.
	Admit(ctx context.Context, caller model.Caller, work string, cost float64) (end func(error), err error)
}

// Config describes an engine.
type Config struct {
	// Self is this run of this host; Address is the IP:port of its peer listener.
	Self    ticket.Origin
	Address string
	Sealer  *ticket.Sealer
	Targets targetclient.TargetClient
	// Transport reaches other hosts; nil means that there are none.
	Transport peer.Transport
	View      View
	// Gate decides which targets get work; nil lets all.
	Gate gate.TargetGate
	// Admission holds callers to their limits and orders their requests; nil admits all.
	Admission Admission
	// Guard is nil when no quarantine is kept.
	Guard Guard
	// Announce spreads a move of ledgers to all hosts; nil means that nobody hears of it.
	Announce func(Move)
}

// Request is an operation that a caller asks for.
type Request struct {
	Ticket    string
	Operation string
	Payload   json.RawMessage
	Deadline  time.Duration
}

// Engine issues tickets and executes them. It is safe for concurrent use.
type Engine struct {
	logger   *zap.Logger
	cfg      Config
	identity model.Incarnation
	sequence atomic.Uint64

	mu sync.Mutex // guards what follows
	// active counts the operations that this host executes.
	active   int
	forwards forwards
	// self is the origin of the tickets that this host issues now.
	self  ticket.Origin
	book  *ticket.LedgerSet
	moves moves
}

// New returns an engine and registers its handlers at the transport, which must not have started.
func New(logger *zap.Logger, cfg Config) *Engine {
	e := &Engine{
		logger: logger,
		cfg:    cfg,
		self:   cfg.Self,
		book:   ticket.New(ticket.DefaultConfig(cfg.Self, cfg.Address)),
		moves:  moves{to: map[ticket.Origin]Move{}},
		forwards: forwards{
			toHost: map[string]int{}, ofCaller: map[model.CallerID]int{},
		},
	}
	e.identity = identity(cfg.Self)
	if cfg.Transport != nil {
		cfg.Transport.Handle(KindForward, e.handleForward)
		cfg.Transport.Handle(KindOffer, e.handleOffer)
		cfg.Transport.Handle(KindHandover, e.handleHandover)
	}
	return e
}

// identity makes attempt ids differ from those of other hosts, other runs and this host's searches.
func identity(self ticket.Origin) model.Incarnation {
	digest := xxhash.New()
	_, _ = digest.WriteString("execute\x00" + string(self.Host)) // a digest's Write never fails
	var run [8]byte
	for i := range run {
		run[i] = byte(self.Incarnation >> (8 * i))
	}
	_, _ = digest.Write(run[:])
	return model.Incarnation(digest.Sum64())
}

// Issue returns the text of a fresh ticket. The errors are typed, with execution "not run".
func (e *Engine) Issue(caller model.CallerID, service model.ServiceID) (string, error) {
	e.mu.Lock()
	t, ok := e.book.Issue(caller, service)
	e.mu.Unlock()
	if !ok {
		return "", fault.New(fault.Stopping, fault.NotRun, "use another host", "this host is stopping")
	}
	text, err := e.cfg.Sealer.Seal(t)
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, fault.NotRun, "report this as a fault of the router", "ticket")
	}
	return text, nil
}

// Execute executes the request, or returns the outcome of its first copy. It returns the result of the operation, or a
// typed error. An error with execution "not run" is final: the ticket will not run any more.
func (e *Engine) Execute(ctx context.Context, caller model.Caller, request Request) (json.RawMessage, error) {
	t, err := e.open(caller, request.Ticket)
	if err != nil {
		return nil, err
	}
	// An operation goes on when its caller has gone: cutting it would leave its outcome unknown.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.Deadline)
	defer cancel()
	outcome := e.route(ctx, operation{
		Ticket:      t,
		Operation:   request.Operation,
		Payload:     request.Payload,
		Fingerprint: Fingerprint(t.Service, request.Operation, request.Payload),
		DeadlineMS:  request.Deadline.Milliseconds(),
	})
	if outcome.Fault != nil {
		return nil, outcome.Fault
	}
	return outcome.Result, nil
}

func (e *Engine) open(caller model.Caller, text string) (ticket.Ticket, error) {
	t, err := e.cfg.Sealer.Open(text)
	switch {
	case err == ticket.ErrNotAuthentic:
		return t, fault.Wrap(err, fault.TicketInvalid, fault.OutcomeUnknown,
			"get a new ticket, unless the operation may have run under this one", "the ticket can't be checked any more")
	case err != nil:
		return t, fault.Wrap(err, fault.TicketInvalid, fault.NotRun, "get a ticket with POST /v1/tickets", "no ticket")
	case t.Caller != caller.ID:
		return t, fault.New(fault.Forbidden, fault.NotRun, "use a ticket of your own", "the ticket is another caller's")
	}
	return t, nil
}

// Fingerprint identifies the contents of an operation, whichever caller sends it.
func Fingerprint(service model.ServiceID, operation string, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(service) + "\x00" + operation + "\x00") // a digest's Write never fails
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// Statistics describes the ledgers for state dumps.
func (e *Engine) Statistics() ticket.Statistics {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Statistics()
}

func (e *Engine) nextAttempt() model.AttemptID {
	return model.AttemptID{Incarnation: e.identity, Sequence: e.sequence.Add(1)}
}

// order returns the targets of the service in the order in which they are tried: warm ones first, each at random.
func (e *Engine) order(ids []model.TargetID) []model.TargetID {
	var warm, other []model.TargetID
	for _, at := range rand.Perm(len(ids)) {
		if e.cfg.Gate == nil || e.cfg.Gate.Warm(ids[at]) {
			warm = append(warm, ids[at])
			continue
		}
		other = append(other, ids[at])
	}
	return append(warm, other...)
}
