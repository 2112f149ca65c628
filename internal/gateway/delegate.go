package gateway

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/atomicmax"
	"github.com/knapweedrouter/knapweedrouter/internal/cancellation"
	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/forward"
	"github.com/knapweedrouter/knapweedrouter/internal/httpreply"
	"github.com/knapweedrouter/knapweedrouter/internal/ingress"
	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/relay"
	"github.com/knapweedrouter/knapweedrouter/internal/transit"
)

const (
	kindGather       peer.Kind = "gather"
	kindGatherCancel peer.Kind = "gather_cancel"
	// gatherGrace is how long after a query's deadline the aggregator's answer may arrive.
	gatherGrace = 30 * time.Millisecond
	// maxDelegatedBytes bounds the head and body of a request that is handed over. Ordinary ones have a few KiB.
	maxDelegatedBytes = 32 << 10
	// delegationCopies is the number of copies of a request on its way: the message, its envelope and the frame.
	delegationCopies = 3
)

// gatherRequest asks an aggregator to execute a request.
type gatherRequest struct {
	Number uint64
	ID     string
	Method string
	URI    string
	Host   string
	Header map[string][]string
	Body   []byte
	// Repeatable is the sending host's view of the route, which the aggregator must share.
	Repeatable bool
	// Allowed is the time from the sending of the frame to the final answer. Since is the time already spent on the query.
	Allowed, Since time.Duration
	// Sent is the sender's reading of its boot clock; 0 from hosts that do not tell it.
	Sent time.Duration
	// Generation is the minimum configuration generation that may execute the query, so that a caller never sees an
	// older configuration than before.
	Generation model.Generation
	// TakesParts means that the sender fetches the rest of an answer that does not fit into one message.
	TakesParts bool
}

// gatherReply is the aggregator's answer.
type gatherReply struct {
	// Declined means that the query did not run and will not run.
	Declined bool
	// Reason explains why the query was declined.
	Reason string
	// Stopping means that the aggregator declines all queries. Any other reason holds for this query only, such as a
	// configuration that arrives a moment later.
	Stopping   bool
	Status     int
	Header     map[string][]string
	Body       []byte
	Generation model.Generation
	// Leaving holds the instances that said that they leave: the sender passes their answer on and must know, too.
	Leaving []evidence.Instance
	// Length is the length of the whole body if Body is a part of it, else 0. Rest is then the name under which the rest is held.
	Length int
	Rest   uint64
}

// gatherCancel reports that the caller of a query has disconnected.
type gatherCancel struct{ Number uint64 }

// delegator hands requests over to a large host of the same data centre. A small host sees too little traffic to know
// which targets are slow, and its part of the shared budgets is too small for hedging.
type delegator struct {
	logger     *zap.Logger
	transport  peer.Transport
	relays     *relay.Relay
	handler    *callerHandler
	lastNumber atomic.Uint64
	// seenGeneration is the highest generation whose effect callers of this host have seen.
	seenGeneration atomic.Uint64
	waits          transit.Estimator
	parts          *answerParts
	cancels        *cancellation.Registry
}

func newDelegator(logger *zap.Logger, transport peer.Transport, relays *relay.Relay, h *callerHandler) *delegator {
	d := &delegator{logger: logger, transport: transport, relays: relays, handler: h, parts: newAnswerParts(h.shares.Replies),
		cancels: cancellation.New()}
	// A host that has restarted must not use the numbers again that it used before: a cancellation may outlive the process.
	d.lastNumber.Store(rand.Uint64())
	transport.Handle(kindGather, d.handleGather)
	transport.Handle(kindGatherCancel, d.handleCancel)
	transport.Handle(kindGatherRest, d.parts.handleRest)
	return d
}

// handOver delegates the query and writes its answer. It returns false if the query has not run and this host must
// execute it.
func (d *delegator) handOver(ctx, caller context.Context, w http.ResponseWriter, request *forward.Request) bool {
	aggregators := d.relays.Aggregators()
	if len(aggregators) == 0 || !mayDelegate(request) {
		return false
	}
	for _, aggregator := range aggregators {
		reply, err := d.call(ctx, caller, aggregator, request)
		switch {
		case errors.Is(err, peer.ErrNotSent):
			d.logger.Info("gathering host lost", zap.String("id", request.ID), zap.String("gatherer", string(aggregator.Host)), zap.Error(err))
			d.relays.Avoid(aggregator.Host)
			continue
		case err != nil:
			d.writeLost(ctx, w, request, aggregator, err)
			return true
		case reply.Declined:
			d.logger.Info("query declined", zap.String("id", request.ID), zap.String("gatherer", string(aggregator.Host)),
				zap.String("reason", reply.Reason))
			if reply.Stopping {
				d.relays.Avoid(aggregator.Host)
			}
			continue
		}
		d.recordGeneration(reply.Generation)
		d.handler.engine.LearnLeaving(aggregator.Host, reply.Leaving)
		d.writeAnswer(ctx, w, request, aggregator, &reply)
		return true
	}
	return false
}

// writeAnswer writes the answer of an aggregator, of which it fetches what did not fit into the reply.
func (d *delegator) writeAnswer(ctx context.Context, w http.ResponseWriter, request *forward.Request, aggregator relay.Aggregator, reply *gatherReply) {
	held := d.handler.shares.Replies.Open(httpreply.MaxBodyBytes)
	defer held.Release()
	if !held.Take(ingress.BodyMemory(max(reply.Length, len(reply.Body)))) {
		d.handler.writeError(w, errAnswerNotHeld)
		return
	}
	if len(reply.Body) < reply.Length {
		if err := fetchRest(ctx, d.transport, aggregator.Address, reply); err != nil {
			d.writeLost(ctx, w, request, aggregator, err)
			return
		}
	}
	d.handler.observer.countDelegated(reply.Status)
	for name, values := range reply.Header {
		w.Header()[name] = values
	}
	d.handler.writeBody(w, reply.Status, reply.Body)
}

// errAnswerNotHeld is the error for an answer of an aggregator for which this host has no room.
var errAnswerNotHeld = fault.New(fault.TargetFailed, fault.OutcomeUnknown, "repeat the request if it may run twice",
	"the replies in memory reach their limit")

// mayDelegate reports whether a request is handed over. A large one is carried out here: its copies on the way would take more memory
// than the request itself.
func mayDelegate(request *forward.Request) bool {
	_, size := headSize(request.Header)
	size += len(request.URI) + len(request.Body)
	return size <= maxDelegatedBytes && request.Memory.Take(ingress.BodyMemory(delegationCopies*size))
}

// headSize returns the number of lines of a head and their size in bytes.
func headSize(header map[string][]string) (lines, size int) {
	for name, values := range header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return lines, size
}

// holdDelegated charges a request of another host. It returns nil if there is no room. The account must be released.
func (d *delegator) holdDelegated(message *gatherRequest) *membudget.Account {
	lines, size := headSize(message.Header)
	requests := d.handler.shares.Requests
	held := requests.Open(requests.Limit())
	if !held.Take(ingress.HeadMemory(lines, size+len(message.URI)) + ingress.BodyMemory(len(message.Body))) {
		held.Release()
		return nil
	}
	return held
}

// writeLost answers a query whose outcome is unknown because the aggregator did not answer.
func (d *delegator) writeLost(ctx context.Context, w http.ResponseWriter, request *forward.Request, aggregator relay.Aggregator, err error) {
	kind := fault.TargetFailed
	if !time.Now().Before(request.Deadline) {
		kind = fault.DeadlineExceeded
	}
	if ctx.Err() == nil && kind == fault.TargetFailed {
		d.relays.Avoid(aggregator.Host)
	}
	d.logger.Info("query lost on its way", zap.String("id", request.ID), zap.String("gatherer", string(aggregator.Host)), zap.Error(err))
	d.handler.writeError(w, fault.Wrap(err, kind, fault.OutcomeUnknown, "repeat the request", "the gathering host did not answer"))
}

// call sends the query and awaits its answer. ctx ends when the answer is no longer awaited, caller when the caller disconnects.
func (d *delegator) call(ctx, caller context.Context, aggregator relay.Aggregator, request *forward.Request) (gatherReply, error) {
	now := time.Now()
	message := gatherRequest{
		Number:     d.lastNumber.Add(1),
		ID:         request.ID,
		Method:     request.Method,
		URI:        request.URI,
		Host:       request.Host,
		Header:     request.Header,
		Body:       request.Body,
		Repeatable: request.Route.Repeatable,
		Allowed:    request.Deadline.Sub(now),
		Since:      now.Sub(request.Arrived),
		Sent:       monotime.SinceBoot(),
		Generation: max(request.Generation, d.minGeneration()),
		TakesParts: true,
	}
	cancelQuery := func() {
		if err := d.transport.Send(aggregator.Address, kindGatherCancel, gatherCancel{Number: message.Number}); err != nil {
			d.logger.Info("failed to send cancellation", zap.String("id", request.ID), zap.Error(err))
		}
	}
	defer context.AfterFunc(ctx, cancelQuery)()
	if !request.Route.Repeatable {
		defer context.AfterFunc(caller, cancelQuery)()
	}
	bounded, cancel := context.WithDeadline(ctx, request.Deadline.Add(gatherGrace))
	defer cancel()
	var reply gatherReply
	err := d.transport.Call(bounded, aggregator.Address, kindGather, message, &reply)
	return reply, err
}

// minGeneration returns the minimum generation that may execute a query of this host's callers.
func (d *delegator) minGeneration() model.Generation {
	return model.Generation(d.seenGeneration.Load())
}

// recordGeneration records the generation that executed a query.
func (d *delegator) recordGeneration(generation model.Generation) {
	atomicmax.Raise(&d.seenGeneration, uint64(generation))
}

func (d *delegator) handleCancel(_ context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var message gatherCancel
	if err := decode(&message); err != nil {
		return nil, err
	}
	d.cancels.Cancel(cancellation.Key{Host: from.Host, Number: message.Number})
	return nil, nil
}

func (d *delegator) handleGather(ctx context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var message gatherRequest
	if err := decode(&message); err != nil {
		return nil, err
	}
	stopper := d.handler.stopper
	leave := stopper.enter()
	defer func() {
		// The reply is still to be written: the host counts as idle only a while after it.
		stopper.lastRequest.Store(int64(monotime.Now()))
		leave()
	}()
	held := d.holdDelegated(&message)
	if held == nil {
		return gatherReply{Declined: true, Reason: "the requests in memory reach their limit"}, nil
	}
	defer held.Release()
	d.deductWait(from, &message)
	request, reason := d.handler.restoreRequest(&message)
	if request == nil {
		return gatherReply{Declined: true, Reason: reason, Stopping: d.handler.stopper.isStopping()}, nil
	}
	request.Memory = held
	ctx, cancel := stopper.withCutoff(ctx)
	defer cancel()
	left, leaves := context.WithCancel(context.Background())
	defer leaves()
	disconnected := cancel
	if !message.Repeatable {
		request.Left, disconnected = left.Done(), leaves
	}
	defer d.cancels.Begin(cancellation.Key{Host: from.Host, Number: message.Number}, disconnected)()
	answer := &responseRecorder{header: http.Header{}}
	leaving := d.handler.execute(ctx, answer, request)
	reply := gatherReply{
		Status: answer.status, Header: answer.header, Body: answer.body.Bytes(), Generation: request.Generation, Leaving: leaving,
	}
	if message.TakesParts && len(reply.Body) > maxPartOfAnswer {
		if err := d.parts.hold(&reply); err != nil {
			return nil, err
		}
	}
	return reply, nil
}

// deductWait takes the time that the message waited on its way from the time that the query may take.
func (d *delegator) deductWait(from peer.Sender, message *gatherRequest) {
	if message.Sent == 0 {
		return
	}
	waited := d.waits.Waited(from.Host, from.Incarnation, message.Sent, monotime.SinceBoot())
	message.Allowed -= waited
	message.Since += waited
}

// responseRecorder is an http.ResponseWriter that buffers the response.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(p []byte) (int, error) { return r.body.Write(p) }

// escapedPath returns the escaped path of a request URI, or the URI itself if it is malformed.
func escapedPath(uri string) string {
	parsed, err := url.ParseRequestURI(uri)
	if err != nil {
		return uri
	}
	return parsed.EscapedPath()
}
