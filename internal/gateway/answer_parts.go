package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ingress"
	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
)

const (
	kindGatherRest peer.Kind = "gather_rest"
	// maxPartOfAnswer bounds the part of an answer's body in one message. A frame holds at most peer.MaxFrameBytes, with the head.
	maxPartOfAnswer = 1 << 20
	// restTimeout bounds the time in which the sender of a query fetches the rest of its answer, which is ready.
	restTimeout = 5 * time.Second
)

// errNoRest means that the rest of an answer is not held here: its time is over, or there was no memory for it.
var errNoRest = errors.New("the rest of the answer is not held: repeat the request")

// gatherRest asks for a part of the body of an answer that does not fit into one message.
type gatherRest struct {
	// Rest is the value of the gatherReply.
	Rest   uint64
	Offset int
}

// gatherRestReply is a part of a body. It is empty if the answer is not held any more.
type gatherRestReply struct{ Body []byte }

// answerParts holds the answers that do not fit into one message until their senders have fetched them.
type answerParts struct {
	replies *membudget.Account

	mu   sync.Mutex
	held map[uint64]*heldAnswer
}

type heldAnswer struct {
	body   []byte
	memory *membudget.Account
	expiry *time.Timer
}

func newAnswerParts(replies *membudget.Account) *answerParts {
	return &answerParts{replies: replies, held: map[uint64]*heldAnswer{}}
}

// hold keeps the body of an answer and sets what the reply says of it. It returns errNoRest if there is no memory for it.
func (p *answerParts) hold(reply *gatherReply) error {
	memory := p.replies.Open(p.replies.Limit())
	if !memory.Take(ingress.BodyMemory(len(reply.Body))) {
		memory.Release()
		return errNoRest
	}
	// Numbers that start anew with each process could name the answer to another query.
	rest := rand.Uint64()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[rest] = &heldAnswer{body: reply.Body, memory: memory, expiry: time.AfterFunc(restTimeout, func() { p.drop(rest) })}
	reply.Rest, reply.Length, reply.Body = rest, len(reply.Body), reply.Body[:maxPartOfAnswer]
	return nil
}

// part returns the part of a held body that begins at an offset. The last part ends the hold.
func (p *answerParts) part(rest uint64, offset int) []byte {
	p.mu.Lock()
	answer := p.held[rest]
	p.mu.Unlock()
	if answer == nil || offset < 0 || offset >= len(answer.body) {
		return nil
	}
	end := min(offset+maxPartOfAnswer, len(answer.body))
	if end == len(answer.body) {
		p.drop(rest)
	}
	return answer.body[offset:end]
}

func (p *answerParts) drop(rest uint64) {
	p.mu.Lock()
	answer := p.held[rest]
	delete(p.held, rest)
	p.mu.Unlock()
	if answer == nil {
		return
	}
	answer.expiry.Stop()
	answer.memory.Release()
}

// handleRest answers a request for a part of a body.
func (p *answerParts) handleRest(_ context.Context, _ peer.Sender, decode func(any) error) (any, error) {
	var message gatherRest
	if err := decode(&message); err != nil {
		return nil, err
	}
	return gatherRestReply{Body: p.part(message.Rest, message.Offset)}, nil
}

// fetchRest completes the body of an answer of the host at the given address. The caller has charged its length.
func fetchRest(ctx context.Context, transport peer.Transport, address string, reply *gatherReply) error {
	ctx, cancel := context.WithTimeout(ctx, restTimeout)
	defer cancel()
	body := append(make([]byte, 0, reply.Length), reply.Body...)
	for len(body) < reply.Length {
		var part gatherRestReply
		if err := transport.Call(ctx, address, kindGatherRest, gatherRest{Rest: reply.Rest, Offset: len(body)}, &part); err != nil {
			return err
		}
		if len(part.Body) == 0 || len(part.Body) > reply.Length-len(body) {
			return errNoRest
		}
		body = append(body, part.Body...)
	}
	reply.Body = body
	return nil
}
