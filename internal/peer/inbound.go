package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// inboundConn is a connection opened by another host.
type inboundConn struct {
	transport    *FrameTransport
	connection   net.Conn
	replies      chan outgoingReply // new replies are dropped when the queue is full
	handlerSlots chan struct{}      // holds one element per running handler; frames are refused when it is full
	sender       Sender
}

// outgoingReply is the frame of a reply.
type outgoingReply struct {
	frame []byte
	body  any
}

func newInbound(t *FrameTransport, connection net.Conn) *inboundConn {
	return &inboundConn{
		transport:    t,
		connection:   connection,
		replies:      make(chan outgoingReply, t.cfg.QueueFrames),
		handlerSlots: make(chan struct{}, t.cfg.MaxHandlers),
	}
}

// run reads frames until the connection fails or the transport closes.
func (in *inboundConn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { in.connection.Close() })
	defer stop()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		in.writeReplies(ctx)
	}()
	in.read(ctx)
	cancel()
	in.connection.Close()
	<-writerDone
	for range cap(in.handlerSlots) {
		in.handlerSlots <- struct{}{} // wait for the running handlers
	}
	in.dropReplies()
	in.transport.unregisterInbound(in)
}

func (in *inboundConn) read(ctx context.Context) {
	t := in.transport
	reader := bufio.NewReader(in.connection)
	for {
		// Peers close idle connections after IdleTimeout, so the peer of one without traffic for twice as long is gone.
		if err := in.connection.SetReadDeadline(time.Now().Add(2 * t.cfg.IdleTimeout)); err != nil {
			return
		}
		e, err := t.receive(reader)
		if err != nil {
			return
		}
		sender := Sender{Host: e.From, Incarnation: e.Incarnation}
		known, ok := t.incarnations.admit(sender)
		if !ok {
			t.stats.refusedIncarnation.Add(1)
			in.reply(e.Seq, kindOlderIncarnation, known)
			continue
		}
		if sender != in.sender {
			in.sender = sender
			t.registerInbound(in)
		}
		in.dispatch(ctx, e)
	}
}

func (in *inboundConn) dispatch(ctx context.Context, e envelope) {
	t := in.transport
	if e.Kind == kindPing {
		in.reply(e.Seq, kindPong, nil)
		return
	}
	handler, ok := t.handlers[e.Kind]
	if !ok {
		in.reply(e.Seq, kindFailed, fmt.Sprintf("no handler registered for frames of kind %q", e.Kind))
		return
	}
	if slices.Contains(t.cfg.Urgent, e.Kind) {
		in.handle(ctx, handler, in.sender, e)
		return
	}
	select {
	case in.handlerSlots <- struct{}{}:
	default:
		t.stats.dropped.Add(1)
		in.reply(e.Seq, kindBusy, nil) // the sender of a one-way frame ignores it
		return
	}
	sender := in.sender
	go func() {
		defer func() { <-in.handlerSlots }()
		in.handle(ctx, handler, sender, e)
	}()
}

// errHandlerFailed is sent to the peer if a handler panics, in place of the panic, which is logged here.
var errHandlerFailed = errors.New("the handler of the frame failed unexpectedly: see the log of the host that received it")

// handle calls the handler and sends its reply. A panic ends the call only: a frame that no handler expected must not end
// the process.
func (in *inboundConn) handle(ctx context.Context, handler Handler, from Sender, e envelope) {
	decode := func(into any) error { return msgpack.Unmarshal(e.Body, into) }
	var reply any
	var err error
	if recovered := panics.Try(func() { reply, err = handler(ctx, from, decode) }); recovered != nil {
		in.transport.logger.Error("frame handler failed", zap.String("kind", string(e.Kind)), zap.String("from", string(from.Host)),
			zap.Error(recovered.AsError()))
		err = errHandlerFailed
	}
	if err != nil {
		done(reply)
		in.reply(e.Seq, kindFailed, err.Error())
		return
	}
	if reply != nil {
		in.reply(e.Seq, kindReply, reply)
	}
}

func (in *inboundConn) reply(sequence uint64, kind Kind, body any) {
	t := in.transport
	frame, err := t.encodeReply(sequence, kind, body)
	if err != nil {
		t.logger.Error("reply frame to a peer can't be encoded", zap.Error(err))
		// The peer would otherwise wait until its call times out.
		if frame, err = t.encodeReply(sequence, kindFailed, err.Error()); err != nil {
			done(body)
			return
		}
	}
	select {
	case in.replies <- outgoingReply{frame: frame, body: body}:
	default:
		t.stats.dropped.Add(1)
		done(body)
	}
}

// dropReplies drops the replies that were queued when the connection ended.
func (in *inboundConn) dropReplies() {
	for {
		select {
		case reply := <-in.replies:
			done(reply.body)
		default:
			return
		}
	}
}

func (t *FrameTransport) encodeReply(sequence uint64, kind Kind, body any) ([]byte, error) {
	raw, err := Marshal(body)
	if err != nil {
		return nil, err
	}
	return t.encodeFrame(sequence, kind, raw)
}

func (in *inboundConn) writeReplies(ctx context.Context) {
	for {
		select {
		case reply := <-in.replies:
			err := in.transport.writeFrame(in.connection, reply.frame)
			done(reply.body)
			if err != nil {
				in.connection.Close()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// registerInbound makes a connection the only one from its sender. It closes an earlier connection, which the sender
// has replaced or which belongs to an earlier incarnation.
func (t *FrameTransport) registerInbound(in *inboundConn) {
	t.mu.Lock()
	previous := t.inbound[in.sender.Host]
	t.inbound[in.sender.Host] = in
	t.mu.Unlock()
	if previous != nil && previous != in {
		previous.connection.Close()
	}
}

func (t *FrameTransport) unregisterInbound(in *inboundConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inbound[in.sender.Host] == in {
		delete(t.inbound, in.sender.Host)
	}
}
