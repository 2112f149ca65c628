// Package execute runs operations that are executed at most once. It issues tickets, forwards requests to the host
// that holds the ticket's ledger, and sends each operation to a single target.
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

	"github.com/knapweedrouter/knapweedrouter/internal/cancellation"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
	"github.com/knapweedrouter/knapweedrouter/internal/ticket"
)

// View provides the engine with the state of the fleet.
type View interface {
	// Catalogue returns the configuration in force, or nil before the first one has been loaded.
	Catalogue() *model.Catalogue
	// Fenced reports whether this host has to refuse new requests.
	Fenced() bool
}

// Guard detects operations that crash targets.
type Guard interface {
	// Admit refuses a quarantined operation with a *fault.Error. alone is set if the operation may be sent only
	// once. The caller calls end once, with complete set if the operation ran and was answered.
	Admit(ctx context.Context, caller model.CallerID, fingerprint uint64) (alone bool, end func(complete bool), err error)
	// Started and Ended report an attempt at a target. err is nil if a complete reply arrived; only then the
	// incarnation is known.
	Started(attempt model.AttemptID, target model.TargetID, caller model.CallerID, fingerprint uint64)
	Ended(attempt model.AttemptID, target model.TargetID, incarnation model.Incarnation, err error)
}

// Admission decides when a request may run.
type Admission interface {
	// Admit waits until the request may run, or refuses it with a *fault.Error with execution "not run". work
	// names the service or search, cost is the number of target attempts that the request needs initially. The
	// context carries the caller's deadline. The caller calls end once, with the error of the request.
	Admit(ctx context.Context, caller model.Caller, work string, cost float64) (end func(error), err error)
}

// Config configures an Engine.
type Config struct {
	// Self is the current incarnation of this host. Address is the IP:port of its peer listener.
	Self    ticket.Origin
	Address string
	Signer  *ticket.Signer
	Targets targetclient.TargetClient
	// Transport connects to other hosts. It is nil if there are none.
	Transport peer.Transport
	View      View
	// Gate decides which targets may receive requests. If it is nil, all may.
	Gate gate.TargetGate
	// Admission enforces the limits of callers and orders their requests. If it is nil, all requests are admitted.
	Admission Admission
	// Guard quarantines operations that crash targets. It may be nil.
	Guard Guard
	// Announce broadcasts the move of a host's ledgers to all hosts. It may be nil.
	Announce func(Move)
}

// Request is a caller's request to execute an operation.
type Request struct {
	Ticket    string
	Operation string
	Payload   json.RawMessage
	Deadline  time.Duration
}

// Engine issues tickets and executes operations. It is safe for concurrent use.
type Engine struct {
	logger             *zap.Logger
	cfg                Config
	attemptIncarnation model.Incarnation
	sequence           atomic.Uint64
	// lastNumber is the number of the last operation of this host's callers. It begins at random, see cancellation.Key.
	lastNumber atomic.Uint64
	cancels    *cancellation.Registry

	mu sync.Mutex // guards the fields below
	// active is the number of operations that this host is executing.
	active   int
	forwards forwardCounts
	// self is the origin of the tickets that this host issues.
	self    ticket.Origin
	ledgers *ticket.LedgerSet
	moves   moves
}

// New returns an engine and registers its handlers with the transport, which must not have been started.
func New(logger *zap.Logger, cfg Config) *Engine {
	e := &Engine{
		logger:  logger,
		cfg:     cfg,
		self:    cfg.Self,
		ledgers: ticket.New(ticket.DefaultConfig(cfg.Self, cfg.Address)),
		moves:   moves{to: map[ticket.Origin]Move{}},
		cancels: cancellation.New(),
		forwards: forwardCounts{
			perHost: map[string]int{}, perCaller: map[model.CallerID]int{},
		},
	}
	e.attemptIncarnation = attemptIncarnation(cfg.Self)
	e.lastNumber.Store(rand.Uint64())
	if cfg.Transport != nil {
		cfg.Transport.Handle(KindForward, e.handleForward)
		cfg.Transport.Handle(KindForwardCancel, e.handleForwardCancel)
		cfg.Transport.Handle(KindOffer, e.handleOffer)
		cfg.Transport.Handle(KindHandover, e.handleHandover)
	}
	return e
}

// attemptIncarnation returns the incarnation used in attempt IDs. It differs from those of other hosts, of other
// incarnations of this host, and of this host's searches.
func attemptIncarnation(self ticket.Origin) model.Incarnation {
	digest := xxhash.New()
	_, _ = digest.WriteString("execute\x00" + string(self.Host)) // a digest's Write never fails
	var encoded [8]byte
	for i := range encoded {
		encoded[i] = byte(self.Incarnation >> (8 * i))
	}
	_, _ = digest.Write(encoded[:])
	return model.Incarnation(digest.Sum64())
}

// Issue returns the text form of a new ticket. Errors are of type *fault.Error with execution "not run".
func (e *Engine) Issue(caller model.CallerID, service model.ServiceID) (string, error) {
	e.mu.Lock()
	t, ok := e.ledgers.Issue(caller, service)
	e.mu.Unlock()
	if !ok {
		return "", fault.New(fault.Stopping, fault.NotRun, "use another host", "this host is stopping")
	}
	text, err := e.cfg.Signer.Sign(t)
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, fault.NotRun, "report this as a fault of the router", "the ticket could not be signed")
	}
	return text, nil
}

// Execute executes the request, or returns the outcome of its first copy. It returns the result of the operation
// or a *fault.Error. An error with execution "not run" is final: the ticket will never run.
func (e *Engine) Execute(ctx context.Context, caller model.Caller, request Request) (json.RawMessage, error) {
	t, err := e.verify(caller, request.Ticket)
	if err != nil {
		return nil, err
	}
	// An attempt that was sent continues if its caller disconnects, because cancelling it would leave its outcome unknown.
	left := ctx
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.Deadline)
	defer cancel()
	outcome := e.route(ctx, operation{
		Ticket:      t,
		Operation:   request.Operation,
		Payload:     request.Payload,
		Fingerprint: Fingerprint(t.Service, request.Operation, request.Payload),
		DeadlineMS:  request.Deadline.Milliseconds(),
		Number:      e.lastNumber.Add(1),
		left:        left,
	})
	if outcome.Fault != nil {
		return nil, outcome.Fault
	}
	return outcome.Result, nil
}

func (e *Engine) verify(caller model.Caller, text string) (ticket.Ticket, error) {
	t, err := e.cfg.Signer.Verify(text)
	switch {
	case err == ticket.ErrNotAuthentic:
		return t, fault.Wrap(err, fault.TicketInvalid, fault.OutcomeUnknown,
			"get a new ticket, unless the operation may have run under this one", "no configured key verifies the ticket")
	case err != nil:
		return t, fault.Wrap(err, fault.TicketInvalid, fault.NotRun, "get a ticket with POST /v1/tickets", "the text is not a ticket")
	case t.Caller != caller.ID:
		return t, fault.New(fault.Forbidden, fault.NotRun, "use a ticket of your own", "the ticket is another caller's")
	}
	return t, nil
}

// Fingerprint identifies the contents of an operation, independent of the caller.
func Fingerprint(service model.ServiceID, operation string, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(service) + "\x00" + operation + "\x00") // a digest's Write never fails
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// Statistics returns the sizes of the ledgers for state dumps.
func (e *Engine) Statistics() ticket.Statistics {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledgers.Statistics()
}

func (e *Engine) nextAttemptID() model.AttemptID {
	return model.AttemptID{Incarnation: e.attemptIncarnation, Sequence: e.sequence.Add(1)}
}

// shuffleWarmFirst returns the targets in the order in which they are tried: warm targets before others, shuffled
// within each group.
func (e *Engine) shuffleWarmFirst(ids []model.TargetID) []model.TargetID {
	var warm, other []model.TargetID
	for _, at := range rand.Perm(len(ids)) {
		if e.cfg.Gate == nil || e.cfg.Gate.IsWarm(ids[at]) {
			warm = append(warm, ids[at])
			continue
		}
		other = append(other, ids[at])
	}
	return append(warm, other...)
}
