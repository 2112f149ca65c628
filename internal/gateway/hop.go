package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/atomicmax"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/forward"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/relay"
)

const (
	kindGather       peer.Kind = "gather"
	kindGatherCancel peer.Kind = "gather_cancel"
	kindCrash        peer.Kind = "crash"
	// gatherGrace is the time after a query's deadline within which the gathering host's answer arrives.
	gatherGrace = 30 * time.Millisecond
)

// gatherRequest asks a large host to carry out a request.
type gatherRequest struct {
	Number uint64
	ID     string
	Method string
	URI    string
	Host   string
	Header map[string][]string
	Body   []byte
	// Repeatable tells how the sending host has understood the route.
	Repeatable bool
	// Allowed is the time from the frame's arrival to the final answer; Since is the time that the query has taken already.
	Allowed, Since time.Duration
	// Generation is the least one that may carry out the query, so that a caller never meets an older one than before.
	Generation model.Generation
}

// gatherReply is the answer of the gathering host.
type gatherReply struct {
	// Declined tells that the query did not run and will not.
	Declined bool
	// Reason says why.
	Reason     string
	Status     int
	Header     map[string][]string
	Body       []byte
	Generation model.Generation
}

// gatherCancel tells that the caller of a query has gone.
type gatherCancel struct{ Number uint64 }

// hop hands requests on to a large host of the same data centre. A small host sees too few of them to know which
// targets are slow, and its part of the shared budgets is too small for hedges.
type hop struct {
	logger    *zap.Logger
	transport peer.Transport
	relays    *relay.Relay
	front     *front
	number    atomic.Uint64
	// seen is the highest generation of which this host's callers have seen the effect.
	seen atomic.Uint64

	mu      sync.Mutex
	running map[runningKey]context.CancelFunc
}

type runningKey struct {
	host   model.HostID
	number uint64
}

func newHop(logger *zap.Logger, transport peer.Transport, relays *relay.Relay, f *front) *hop {
	h := &hop{logger: logger, transport: transport, relays: relays, front: f, running: map[runningKey]context.CancelFunc{}}
	transport.Handle(kindGather, h.handleGather)
	transport.Handle(kindGatherCancel, h.handleCancel)
	transport.Handle(kindCrash, h.handleCrash)
	return h
}

// serve hands the query on and writes its answer. It returns false if the query has not run and this host is to carry it
// out.
func (h *hop) serve(ctx context.Context, w http.ResponseWriter, request *forward.Request) bool {
	for _, gatherer := range h.relays.Gatherers() {
		reply, err := h.call(ctx, gatherer, request)
		switch {
		case errors.Is(err, peer.ErrNotSent):
			h.logger.Info("gathering host lost", zap.String("id", request.ID), zap.String("gatherer", string(gatherer.Host)), zap.Error(err))
			h.relays.Avoid(gatherer.Host)
			continue
		case err != nil:
			h.broken(ctx, w, request, gatherer, err)
			return true
		case reply.Declined:
			h.logger.Info("query declined", zap.String("id", request.ID), zap.String("gatherer", string(gatherer.Host)),
				zap.String("reason", reply.Reason))
			h.relays.Avoid(gatherer.Host)
			continue
		}
		h.note(reply.Generation)
		h.front.observe.handedOn(reply.Status)
		for name, values := range reply.Header {
			w.Header()[name] = values
		}
		h.front.write(w, reply.Status, reply.Body)
		return true
	}
	return false
}

// broken answers a query whose outcome is not known.
func (h *hop) broken(ctx context.Context, w http.ResponseWriter, request *forward.Request, gatherer relay.Gatherer, err error) {
	kind := fault.TargetFailed
	if !time.Now().Before(request.Deadline) {
		kind = fault.DeadlineExceeded
	}
	if ctx.Err() == nil && kind == fault.TargetFailed {
		h.relays.Avoid(gatherer.Host)
	}
	h.logger.Info("query lost on its way", zap.String("id", request.ID), zap.String("gatherer", string(gatherer.Host)), zap.Error(err))
	h.front.reply(w, fault.Wrap(err, kind, fault.OutcomeUnknown, "repeat the request", "the gathering host did not answer"))
}

func (h *hop) call(ctx context.Context, gatherer relay.Gatherer, request *forward.Request) (gatherReply, error) {
	now := time.Now()
	message := gatherRequest{
		Number:     h.number.Add(1),
		ID:         request.ID,
		Method:     request.Method,
		URI:        request.URI,
		Host:       request.Host,
		Header:     request.Header,
		Body:       request.Body,
		Repeatable: request.Route.Repeatable,
		Allowed:    request.Deadline.Sub(now),
		Since:      now.Sub(request.Arrived),
		Generation: max(request.Generation, h.least()),
	}
	stop := context.AfterFunc(ctx, func() {
		if err := h.transport.Send(gatherer.Address, kindGatherCancel, gatherCancel{Number: message.Number}); err != nil {
			h.logger.Info("cancel not sent", zap.String("id", request.ID), zap.Error(err))
		}
	})
	defer stop()
	bounded, cancel := context.WithDeadline(ctx, request.Deadline.Add(gatherGrace))
	defer cancel()
	var reply gatherReply
	err := h.transport.Call(bounded, gatherer.Address, kindGather, message, &reply)
	return reply, err
}

// least returns the least generation that may carry out a query of this host's callers.
func (h *hop) least() model.Generation { return model.Generation(h.seen.Load()) }

// note takes the generation that has carried out a query.
func (h *hop) note(generation model.Generation) { atomicmax.Raise(&h.seen, uint64(generation)) }

func (h *hop) handleCancel(_ context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var message gatherCancel
	if err := decode(&message); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel, ok := h.running[runningKey{from.Host, message.Number}]; ok {
		cancel()
	}
	return nil, nil
}

// spread tells the relays of a crash.
func (h *hop) spread(crash forward.Crash) {
	for _, address := range h.relays.Addresses() {
		if err := h.transport.Send(address, kindCrash, crash); err != nil {
			h.logger.Warn("crash not told", zap.String("relay", address), zap.Error(err))
		}
	}
}

func (h *hop) handleCrash(_ context.Context, _ peer.Sender, decode func(any) error) (any, error) {
	var crash forward.Crash
	if err := decode(&crash); err != nil {
		return nil, err
	}
	h.front.engine.Learn(crash)
	return nil, nil
}

func (h *hop) handleGather(ctx context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var message gatherRequest
	if err := decode(&message); err != nil {
		return nil, err
	}
	request, reason := h.front.restore(&message)
	if request == nil {
		return gatherReply{Declined: true, Reason: reason}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	key := runningKey{from.Host, message.Number}
	h.mu.Lock()
	h.running[key] = cancel
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.running, key)
		h.mu.Unlock()
	}()
	answer := &capture{header: http.Header{}}
	h.front.carryOut(ctx, answer, request)
	return gatherReply{Status: answer.status, Header: answer.header, Body: answer.body.Bytes(), Generation: request.Generation}, nil
}

// capture is an http.ResponseWriter that keeps the answer.
type capture struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (c *capture) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *capture) WriteHeader(status int) { c.status = status }

// Write implements http.ResponseWriter.
func (c *capture) Write(p []byte) (int, error) { return c.body.Write(p) }

// pathOf returns the escaped path of a request URI.
func pathOf(uri string) string {
	parsed, err := url.ParseRequestURI(uri)
	if err != nil {
		return uri
	}
	return parsed.EscapedPath()
}
