package execute

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/cancellation"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/ticket"
)

// Frame kinds of this package.
const (
	KindForward       peer.Kind = "execute_forward"
	KindForwardCancel peer.Kind = "execute_forward_cancel"
	KindOffer         peer.Kind = "ledger_offer"
	KindHandover      peer.Kind = "ledger_handover"
)

const (
	// maxHops bounds the number of hosts to which one request is forwarded in turn.
	maxHops = 4
	// maxMoveChain bounds the number of successive moves through which a ledger is located.
	maxMoveChain = 64
	// maxMoves bounds the known moves of ledgers. The oldest is evicted, and its tickets are answered with
	// "outcome unknown".
	maxMoves = 4096
)

// operation is a request that is forwarded to the host that holds the ledger of its ticket. It is the body of
// KindForward.
type operation struct {
	Ticket      ticket.Ticket `msgpack:"ticket"`
	Operation   string        `msgpack:"operation"`
	Payload     []byte        `msgpack:"payload"`
	Fingerprint uint64        `msgpack:"fingerprint"`
	DeadlineMS  int64         `msgpack:"deadline_ms"`
	// Number identifies the operation in a forwardCancel; 0 from hosts of earlier versions.
	Number uint64 `msgpack:"number"`

	// left ends when the caller disconnects. It is not sent.
	left context.Context
}

// forwardCancel tells the holder of a ticket that the caller of an operation has disconnected. It is the body of KindForwardCancel.
type forwardCancel struct {
	Number uint64 `msgpack:"number"`
}

// forwardReply is the reply to KindForward. Held is false if the receiver has no open ledger for the ticket. Moved
// then names the next host to ask, if the receiver knows one.
type forwardReply struct {
	Held    bool           `msgpack:"held"`
	Outcome ticket.Outcome `msgpack:"outcome"`
	Moved   *Move          `msgpack:"moved"`
}

// Move announces that a host that is shutting down hands its ledgers over to a successor.
type Move struct {
	From      ticket.Origin `msgpack:"from"`
	Successor ticket.Origin `msgpack:"successor"`
	// Address is the IP:port of the successor's peer listener.
	Address string `msgpack:"address"`
}

// moves records the known moves of ledgers, the oldest first.
type moves struct {
	to    map[ticket.Origin]Move
	order []ticket.Origin
}

func (m *moves) add(move Move) {
	if _, known := m.to[move.From]; known {
		return // a host names only one successor
	}
	if len(m.order) >= maxMoves {
		delete(m.to, m.order[0])
		m.order = m.order[1:]
	}
	m.to[move.From] = move
	m.order = append(m.order, move.From)
}

// latest follows the moves of a ledger and returns the last known one.
func (m *moves) latest(origin ticket.Origin) (Move, bool) {
	move, found := m.to[origin]
	for range maxMoveChain {
		next, further := m.to[move.Successor]
		if !found || !further {
			break
		}
		move = next
	}
	return move, found
}

// RecordMove records a move announced by another host.
func (e *Engine) RecordMove(move Move) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moves.add(move)
}

// route executes the operation on this host or on the one that holds its ledger.
func (e *Engine) route(ctx context.Context, op operation) ticket.Outcome {
	outcome, held := e.executeIfHeld(ctx, op)
	if held {
		return outcome
	}
	address := e.holderAddress(op.Ticket)
	for range maxHops {
		if address == "" || address == e.cfg.Address {
			return ticket.UnknownOutcome()
		}
		reply, err := e.forward(ctx, address, op)
		if err != nil {
			return holderUnreachable(err)
		}
		if reply.Held {
			return validateOutcome(reply.Outcome)
		}
		if reply.Moved == nil {
			return ticket.UnknownOutcome()
		}
		address = reply.Moved.Address
	}
	return ticket.UnknownOutcome()
}

// holderAddress returns the address of the host that should hold the ticket's ledger, or "" if there is none.
func (e *Engine) holderAddress(t ticket.Ticket) string {
	if move := e.movedTo(t.Origin); move != nil {
		return move.Address
	}
	if t.Address == e.cfg.Address {
		return ""
	}
	return t.Address
}

func (e *Engine) forward(ctx context.Context, address string, op operation) (forwardReply, error) {
	var reply forwardReply
	if e.cfg.Transport == nil {
		return reply, peer.ErrNotSent
	}
	if !e.beginForward(address, op.Ticket.Caller) {
		return reply, errTooManyForwards
	}
	defer e.endForward(address, op.Ticket.Caller)
	deadline, _ := ctx.Deadline()
	op.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	defer context.AfterFunc(op.left, func() {
		if err := e.cfg.Transport.Send(address, KindForwardCancel, forwardCancel{Number: op.Number}); err != nil {
			e.logger.Info("failed to send cancellation", zap.String("holder", address), zap.Error(err))
		}
	})()
	err := e.cfg.Transport.Call(ctx, address, KindForward, op, &reply)
	return reply, err
}

// holderUnreachable returns the outcome of a request whose ledger holder did not answer. It never reports "not
// run": even if this copy was not sent, an earlier one may have run.
func holderUnreachable(err error) ticket.Outcome {
	return unknownWithFault(fault.Wrap(err, fault.Unavailable, fault.OutcomeUnknown,
		"send the same request with the same ticket again; it runs at most once",
		"the host that holds the ticket did not answer").WithRetryAfter(runningRetryAfter))
}

// validateOutcome returns the outcome, or an unknown outcome if its fields are inconsistent.
func validateOutcome(outcome ticket.Outcome) ticket.Outcome {
	isResult := outcome.Fault == nil && outcome.Execution == fault.Ran
	isFault := outcome.Fault != nil && outcome.Fault.Execution.Valid()
	if isResult || isFault {
		return outcome
	}
	return ticket.UnknownOutcome()
}

// handleForward handles KindForward. The end of the connection is no end of the caller, who may still wait at the other host.
func (e *Engine) handleForward(ctx context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var op operation
	if err := decode(&op); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(op.DeadlineMS)*time.Millisecond)
	defer cancel()
	left, leave := context.WithCancel(context.Background())
	defer leave()
	op.left = left
	if op.Number != 0 {
		defer e.cancels.Begin(cancellation.Key{Host: from.Host, Number: op.Number}, leave)()
	}
	outcome, held := e.executeIfHeld(ctx, op)
	reply := forwardReply{Held: held, Outcome: outcome}
	if !held {
		reply.Moved = e.movedTo(op.Ticket.Origin)
	}
	return reply, nil
}

// handleForwardCancel handles KindForwardCancel.
func (e *Engine) handleForwardCancel(_ context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var message forwardCancel
	if err := decode(&message); err != nil {
		return nil, err
	}
	e.cancels.Cancel(cancellation.Key{Host: from.Host, Number: message.Number})
	return nil, nil
}

// movedTo returns the last known move of a ledger that this host has held or whose move was announced to it, or
// nil.
func (e *Engine) movedTo(origin ticket.Origin) *Move {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ledgers.Holds(origin) {
		origin = e.self
	}
	move, found := e.moves.latest(origin)
	if !found {
		return nil
	}
	return &move
}
