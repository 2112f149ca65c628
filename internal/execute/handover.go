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
	// handoverCallTimeout bounds the wait for the reply to one chunk.
	handoverCallTimeout = 500 * time.Millisecond
	// idleTimeout leaves time for the chunks within the 5 s that a planned stop has for handing over.
	idleTimeout = 3 * time.Second
	idlePoll    = 10 * time.Millisecond
	roundPause  = 50 * time.Millisecond
)

// offer asks a host whether it would take ledgers over. The reply names its run.
type offer struct{}

// accepted is the reply to KindHandover.
type accepted struct {
	// Complete tells that the whole ledger has arrived.
	Complete bool `msgpack:"complete"`
}

// handleHandover answers another host's KindHandover.
func (e *Engine) handleHandover(_ context.Context, _ peer.Sender, decode func(any) error) (any, error) {
	var chunk ticket.Chunk
	if err := decode(&chunk); err != nil {
		return nil, err
	}
	complete, move, err := e.receive(chunk)
	if move != nil && e.cfg.Announce != nil {
		// The stopping host may exit before its own announcement has spread.
		e.cfg.Announce(*move)
	}
	return accepted{Complete: complete}, err
}

// receive takes a chunk. When it completes a ledger, the move of the ledger to this host is returned.
func (e *Engine) receive(chunk ticket.Chunk) (complete bool, move *Move, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.book.Holds(chunk.Origin)
	complete, err = e.book.Receive(chunk)
	if !complete || held {
		return complete, nil, err
	}
	move = &Move{From: chunk.Origin, Successor: e.self, Address: e.cfg.Address}
	e.moves.add(*move)
	return true, move, nil
}

// Close ends issue and execution on this host, for good. Operations in progress go on.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.book.Close()
}

// Reopen starts an empty ledger after HandOver, when the host is in service again. incarnation is higher than any that the
// host had before, so that tickets of the closed ledger are still looked for at its successor.
func (e *Engine) Reopen(incarnation model.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.self.Incarnation = max(incarnation, e.self.Incarnation+1)
	e.book = ticket.New(ticket.DefaultConfig(e.self, e.cfg.Address))
}

// HandOver closes the ledgers, waits for the operations in progress, and gives the ledgers to the first host of the
// addresses that answers an offer. Once a chunk has been sent it never turns to another host.
func (e *Engine) HandOver(ctx context.Context, addresses []string) {
	if e.hasMoved() {
		return // a second successor must not be named
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
	chunks := e.book.Export(successor)
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
		err := e.cfg.Transport.Call(bounded, address, KindOffer, offer{}, &successor)
		cancel()
		if err == nil && successor != (ticket.Origin{}) && address != e.cfg.Address {
			return successor, address
		}
	}
	return ticket.Origin{}, ""
}

// handleOffer answers another host's KindOffer. A host that is closing has no use for ledgers.
func (e *Engine) handleOffer(context.Context, peer.Sender, func(any) error) (any, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.book.Statistics().Closed {
		return ticket.Origin{}, nil
	}
	return e.self, nil
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
