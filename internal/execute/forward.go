package execute

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

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
	// maxMoves bounds the known moves of ledgers. The oldest is forgotten: its tickets answer "outcome unknown".
	maxMoves = 4096
	// handoverCallTimeout bounds the wait for the reply to one chunk.
	handoverCallTimeout = 500 * time.Millisecond
	// idleTimeout leaves time for the chunks within the 5 s that a planned stop has for handing over.
	idleTimeout = 3 * time.Second
	idlePoll    = 10 * time.Millisecond
	roundPause  = 50 * time.Millisecond
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

// offer asks a host whether it would take ledgers over. The reply names its run.
type offer struct{}

// accepted is the reply to KindHandover.
type accepted struct {
	// Complete tells that the whole ledger has arrived.
	Complete bool `msgpack:"complete"`
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
	for range maxHops {
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
	if t.Origin == e.cfg.Self {
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
		origin = e.cfg.Self
	}
	move, found := e.moves.follow(origin)
	if !found {
		return nil
	}
	return &move
}

// handleHandover answers another host's KindHandover.
func (e *Engine) handleHandover(_ context.Context, _ peer.Sender, decode func(any) error) (any, error) {
	var chunk ticket.Chunk
	if err := decode(&chunk); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	complete, err := e.book.Receive(chunk)
	return accepted{Complete: complete}, err
}

// Close ends issue and execution on this host, for good. Operations in progress go on.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.book.Close()
}

// HandOver closes the ledgers, waits for the operations in progress, and gives the ledgers to the first host of the
// addresses that answers an offer. Once a chunk has been sent it never turns to another host.
func (e *Engine) HandOver(ctx context.Context, addresses []string) {
	e.Close()
	e.awaitIdle(ctx)
	successor, address := e.findSuccessor(ctx, addresses)
	if address == "" {
		e.logger.Warn("no host takes the ledgers over: their tickets answer outcome_unknown")
		return
	}
	move := Move{From: e.cfg.Self, Successor: successor, Address: address}
	e.mu.Lock()
	e.moves.add(move)
	chunks := e.book.Export(successor)
	e.mu.Unlock()
	if e.cfg.Announce != nil {
		e.cfg.Announce(move)
	}
	unanswered := e.sendChunks(ctx, address, chunks)
	e.logger.Info("ledgers handed over", zap.String("successor", string(successor.Host)),
		zap.Int("chunks", len(chunks)), zap.Int("unanswered", unanswered))
}

func (e *Engine) findSuccessor(ctx context.Context, addresses []string) (ticket.Origin, string) {
	for _, address := range addresses {
		bounded, cancel := context.WithTimeout(ctx, handoverCallTimeout)
		var successor ticket.Origin
		err := e.cfg.Transport.Call(bounded, address, KindOffer, offer{}, &successor)
		cancel()
		if err == nil && successor != (ticket.Origin{}) && successor != e.cfg.Self {
			return successor, address
		}
	}
	return ticket.Origin{}, ""
}

// handleOffer answers another host's KindOffer. A host that is closing has no use for ledgers.
func (e *Engine) handleOffer(context.Context, peer.Sender, func(any) error) (any, error) {
	if e.Statistics().Closed {
		return ticket.Origin{}, nil
	}
	return e.cfg.Self, nil
}

// sendChunks sends the chunks in rounds, so that a lost reply to one does not hold up the others. It returns the number
// of those without an answer.
func (e *Engine) sendChunks(ctx context.Context, address string, chunks []ticket.Chunk) int {
	for {
		var unanswered []ticket.Chunk
		for _, chunk := range chunks {
			if !e.sendChunk(ctx, address, chunk) {
				unanswered = append(unanswered, chunk)
			}
		}
		if chunks = unanswered; len(chunks) == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return len(chunks)
		case <-time.After(roundPause):
		}
	}
}

// awaitIdle waits until no operation is in progress. One that takes longer is handed over with an unknown outcome.
func (e *Engine) awaitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for e.isBusy() && ctx.Err() == nil {
		<-ticker.C
	}
}

func (e *Engine) isBusy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active > 0
}

// sendChunk tells whether the successor answered, which includes a refusal.
func (e *Engine) sendChunk(ctx context.Context, address string, chunk ticket.Chunk) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverCallTimeout)
	defer cancel()
	var reply accepted
	err := e.cfg.Transport.Call(ctx, address, KindHandover, chunk, &reply)
	if errors.Is(err, peer.ErrFailed) {
		e.logger.Warn("successor refused a part of a ledger", zap.Error(err))
	}
	return err == nil || errors.Is(err, peer.ErrFailed)
}
