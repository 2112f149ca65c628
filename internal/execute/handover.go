package execute

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/ticket"
)

const (
	// handoverCallTimeout is the timeout for the reply to an offer or a chunk.
	handoverCallTimeout = 500 * time.Millisecond
	// idleTimeout bounds the wait for operations in progress. It leaves time for sending the chunks within the 5 s
	// that a planned stop allows for the handover.
	idleTimeout      = 3 * time.Second
	idlePollInterval = 10 * time.Millisecond
	resendInterval   = 50 * time.Millisecond
)

// offerRequest asks a host whether it would adopt ledgers. The reply is the host's ticket.Origin.
type offerRequest struct{}

// handoverReply is the reply to KindHandover.
type handoverReply struct {
	// Complete is set once the whole ledger has arrived.
	Complete bool `msgpack:"complete"`
}

// handleHandover handles KindHandover.
func (e *Engine) handleHandover(_ context.Context, _ peer.Sender, decode func(any) error) (any, error) {
	var chunk ticket.Chunk
	if err := decode(&chunk); err != nil {
		return nil, err
	}
	complete, move, err := e.receiveChunk(chunk)
	if move != nil && e.cfg.Announce != nil {
		// The stopping host may exit before its own announcement has reached all hosts.
		e.cfg.Announce(*move)
	}
	return handoverReply{Complete: complete}, err
}

// receiveChunk adds a chunk to its ledger. If the ledger is now complete, it returns the move of the ledger to
// this host.
func (e *Engine) receiveChunk(chunk ticket.Chunk) (complete bool, move *Move, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.ledgers.Holds(chunk.Origin)
	complete, err = e.ledgers.Receive(chunk)
	if !complete || held {
		return complete, nil, err
	}
	move = &Move{From: chunk.Origin, Successor: e.self, Address: e.cfg.Address}
	e.moves.add(*move)
	return true, move, nil
}

// Close permanently stops issuing and executing tickets on this host. Operations in progress continue.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledgers.Close()
}

// Reopen starts an empty ledger after HandOver, when the host returns to service. incarnation is raised above the
// former one if necessary, so that tickets of the closed ledger are still routed to its successor.
func (e *Engine) Reopen(incarnation model.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.self.Incarnation = max(incarnation, e.self.Incarnation+1)
	e.ledgers = ticket.New(ticket.DefaultConfig(e.self, e.cfg.Address))
}

// HandOver closes the ledgers, waits for the operations in progress, and hands the ledgers over to the first host
// that accepts an offer. It never switches to another host afterwards.
func (e *Engine) HandOver(ctx context.Context, addresses []string) {
	if e.hasMoved() {
		return // a host must not name a second successor
	}
	e.Close()
	e.awaitIdle(ctx)
	successor, address := e.findSuccessor(ctx, addresses)
	if address == "" {
		e.logger.Warn("no host takes the ledgers over: their tickets answer outcome_unknown")
		return
	}
	e.mu.Lock()
	move := Move{From: e.self, Successor: successor, Address: address}
	e.moves.add(move)
	chunks := e.ledgers.Export(successor)
	e.mu.Unlock()
	if e.cfg.Announce != nil {
		e.cfg.Announce(move)
	}
	unanswered := e.sendChunks(ctx, address, chunks)
	e.logger.Info("ledgers handed over", zap.String("successor", string(successor.Host)),
		zap.Int("chunks", len(chunks)), zap.Int("unanswered", unanswered))
}

func (e *Engine) hasMoved() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, moved := e.moves.to[e.self]
	return moved
}

func (e *Engine) findSuccessor(ctx context.Context, addresses []string) (ticket.Origin, string) {
	for _, address := range addresses {
		bounded, cancel := context.WithTimeout(ctx, handoverCallTimeout)
		var successor ticket.Origin
		err := e.cfg.Transport.Call(bounded, address, KindOffer, offerRequest{}, &successor)
		cancel()
		if err == nil && successor != (ticket.Origin{}) && address != e.cfg.Address {
			return successor, address
		}
	}
	return ticket.Origin{}, ""
}

// handleOffer handles KindOffer. A host that is shutting down does not accept the offer.
func (e *Engine) handleOffer(context.Context, peer.Sender, func(any) error) (any, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ledgers.Statistics().Closed {
		return ticket.Origin{}, nil
	}
	return e.self, nil
}

// sendChunks sends the chunks in rounds, so that one lost reply does not delay the others. It returns the number
// of chunks without a reply.
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
		case <-time.After(resendInterval):
		}
	}
}

// awaitIdle waits until no operation is in progress, or until idleTimeout. Operations that are still running are
// then handed over with an unknown outcome.
func (e *Engine) awaitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	ticker := time.NewTicker(idlePollInterval)
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

// sendChunk sends a chunk and reports whether the successor replied, even with a refusal.
func (e *Engine) sendChunk(ctx context.Context, address string, chunk ticket.Chunk) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverCallTimeout)
	defer cancel()
	var reply handoverReply
	err := e.cfg.Transport.Call(ctx, address, KindHandover, chunk, &reply)
	if errors.Is(err, peer.ErrHandlerFailed) {
		e.logger.Warn("successor refused a ledger chunk", zap.Error(err))
	}
	return err == nil || errors.Is(err, peer.ErrHandlerFailed)
}
