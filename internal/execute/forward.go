package execute

import (
	"context"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/ticket"
)

// The kinds of frames between hosts.
const (
	KindForward  peer.Kind = "execute_forward"
	KindOffer    peer.Kind = "ledger_offer"
	KindHandover peer.Kind = "ledger_handover"
)

const (
	// maxHops bounds the hosts that one request is forwarded to, one after the other.
	maxHops = 4
	// maxChain bounds the planned stops that a ledger is followed over.
	maxChain = 64
	// maxMoves bounds the known moves of ledgers. The oldest is forgotten: its tickets answer "outcome unknown".
	maxMoves = 4096
)

// operation is a request on its way to the host that holds its ledger. It is the body of KindForward.
type operation struct {
	Ticket      ticket.Ticket `msgpack:"ticket"`
	Operation   string        `msgpack:"operation"`
	Payload     []byte        `msgpack:"payload"`
	Fingerprint uint64        `msgpack:"fingerprint"`
	DeadlineMS  int64         `msgpack:"deadline_ms"`
}

// forwarded is the reply to KindForward. Held is false if the receiver has no open ledger of the ticket; Moved then names
// the next host to ask, if the receiver knows one.
type forwarded struct {
	Held    bool           `msgpack:"held"`
	Outcome ticket.Outcome `msgpack:"outcome"`
	Moved   *Move          `msgpack:"moved"`
}

// Move tells that a stopping host gives its ledgers to a successor.
type Move struct {
	From      ticket.Origin `msgpack:"from"`
	Successor ticket.Origin `msgpack:"successor"`
	// Address is the IP:port of the successor's peer listener.
	Address string `msgpack:"address"`
}

// moves remembers where ledgers went.
type moves struct {
	to    map[ticket.Origin]Move
	order []ticket.Origin
}

func (m *moves) add(move Move) {
	if _, known := m.to[move.From]; known {
		return // a host names one successor only
	}
	if len(m.order) >= maxMoves {
		delete(m.to, m.order[0])
		m.order = m.order[1:]
	}
	m.to[move.From] = move
	m.order = append(m.order, move.From)
}

// follow returns the last known move of a ledger.
func (m *moves) follow(origin ticket.Origin) (Move, bool) {
	move, found := m.to[origin]
	for range maxChain {
		next, further := m.to[move.Successor]
		if !found || !further {
			break
		}
		move = next
	}
	return move, found
}

// LearnMove takes another host's announcement.
func (e *Engine) LearnMove(move Move) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moves.add(move)
}

// route executes the operation here or at the host that holds its ledger.
func (e *Engine) route(ctx context.Context, op operation) ticket.Outcome {
	outcome, held := e.held(ctx, op)
	if held {
		return outcome
	}
	address := e.whereIs(op.Ticket)
	for range maxHops {
		if address == "" || address == e.cfg.Address {
			return ticket.UnknownOutcome()
		}
		reply, err := e.forward(ctx, address, op)
		if err != nil {
			return unreachable(err)
		}
		if reply.Held {
			return checked(reply.Outcome)
		}
		if reply.Moved == nil {
			return ticket.UnknownOutcome()
		}
		address = reply.Moved.Address
	}
	return ticket.UnknownOutcome()
}

// whereIs returns the address of the host that should hold the ticket's ledger, or "" if nobody does.
func (e *Engine) whereIs(t ticket.Ticket) string {
	if move := e.movedTo(t.Origin); move != nil {
		return move.Address
	}
	if t.Address == e.cfg.Address {
		return ""
	}
	return t.Address
}

func (e *Engine) forward(ctx context.Context, address string, op operation) (forwarded, error) {
	var reply forwarded
	if e.cfg.Transport == nil {
		return reply, peer.ErrNotSent
	}
	if !e.enterForward(address, op.Ticket.Caller) {
		return reply, errForwards
	}
	defer e.leaveForward(address, op.Ticket.Caller)
	deadline, _ := ctx.Deadline()
	op.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	err := e.cfg.Transport.Call(ctx, address, KindForward, op, &reply)
	return reply, err
}

// unreachable is the outcome of a request whose holder did not answer. Even if this copy was not sent, an earlier one
// may have run, so it never says "not run".
func unreachable(err error) ticket.Outcome {
	return unknown(fault.Wrap(err, fault.Unavailable, fault.OutcomeUnknown,
		"send the same request with the same ticket again; it runs at most once",
		"the host that holds the ticket did not answer").WithRetryAfter(runningRetryAfter))
}

// checked turns an outcome without a valid state into an unknown one.
func checked(outcome ticket.Outcome) ticket.Outcome {
	isResult := outcome.Fault == nil && outcome.Execution == fault.Ran
	isFault := outcome.Fault != nil && outcome.Fault.Execution.Valid()
	if isResult || isFault {
		return outcome
	}
	return ticket.UnknownOutcome()
}

// handleForward answers another host's KindForward.
func (e *Engine) handleForward(ctx context.Context, _ peer.Sender, decode func(any) error) (any, error) {
	var op operation
	if err := decode(&op); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(op.DeadlineMS)*time.Millisecond)
	defer cancel()
	outcome, held := e.held(ctx, op)
	reply := forwarded{Held: held, Outcome: outcome}
	if !held {
		reply.Moved = e.movedTo(op.Ticket.Origin)
	}
	return reply, nil
}

// movedTo returns the move of a ledger that this host had or knows of.
func (e *Engine) movedTo(origin ticket.Origin) *Move {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.book.Holds(origin) {
		origin = e.self
	}
	move, found := e.moves.follow(origin)
	if !found {
		return nil
	}
	return &move
}
