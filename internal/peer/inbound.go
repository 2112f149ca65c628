package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// inbound is a connection that another host opened.
type inbound struct {
	transport  *FrameTransport
	connection net.Conn
	replies    chan []byte   // drops new replies when full
	running    chan struct{} // one element per running handler; a full channel drops the frame
	from       Sender
}

func newInbound(t *FrameTransport, connection net.Conn) *inbound {
	return &inbound{
		transport:  t,
		connection: connection,
		replies:    make(chan []byte, t.cfg.QueueFrames),
		running:    make(chan struct{}, t.cfg.Handlers),
	}
}

// run reads frames until the connection fails or the transport closes.
func (in *inbound) run(ctx context.Context) {
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
	for range cap(in.running) {
		in.running <- struct{}{} // waits for the running handlers
	}
	in.transport.forget(in)
}

func (in *inbound) read(ctx context.Context) {
	t := in.transport
	reader := bufio.NewReader(in.connection)
	for {
		// A peer closes an idle connection after Idle, so one that is quiet for twice as long has gone.
		if err := in.connection.SetReadDeadline(time.Now().Add(2 * t.cfg.Idle)); err != nil {
			return
		}
		e, err := t.receive(reader)
		if err != nil {
			return
		}
		sender := Sender{Host: e.From, Incarnation: e.Incarnation}
		known, ok := t.versions.admit(sender)
		if !ok {
			t.stats.refusedIncarnation.Add(1)
			in.reply(e.Seq, kindOlder, known)
			continue
		}
		if sender != in.from {
			in.from = sender
			t.adopt(in)
		}
		in.dispatch(ctx, e)
	}
}

func (in *inbound) dispatch(ctx context.Context, e envelope) {
	t := in.transport
	if e.Kind == kindPing {
		in.reply(e.Seq, kindPong, nil)
		return
	}
	handler, ok := t.handlers[e.Kind]
	if !ok {
		in.reply(e.Seq, kindFailed, fmt.Sprintf("no handler for frames of kind %q", e.Kind))
		return
	}
	select {
	case in.running <- struct{}{}:
	default:
		t.stats.dropped.Add(1)
		return
	}
	sender := in.from
	go func() {
		defer func() { <-in.running }()
		in.handle(ctx, handler, sender, e)
	}()
}

func (in *inbound) handle(ctx context.Context, handler Handler, from Sender, e envelope) {
	decode := func(into any) error { return msgpack.Unmarshal(e.Body, into) }
	reply, err := handler(ctx, from, decode)
	if err != nil {
		in.reply(e.Seq, kindFailed, err.Error())
		return
	}
	if reply != nil {
		in.reply(e.Seq, kindReply, reply)
	}
}

func (in *inbound) reply(sequence uint64, kind Kind, body any) {
	t := in.transport
	raw, err := Marshal(body)
	if err != nil {
		t.logger.Error("reply to a peer", zap.Error(err))
		return
	}
	frame, err := t.seal(sequence, kind, raw)
	if err != nil {
		t.logger.Error("reply to a peer", zap.Error(err))
		return
	}
	select {
	case in.replies <- frame:
	default:
		t.stats.dropped.Add(1)
	}
}

func (in *inbound) writeReplies(ctx context.Context) {
	for {
		select {
		case frame := <-in.replies:
			if in.transport.writeFrame(in.connection, frame) != nil {
				in.connection.Close()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// adopt makes a connection the only one of its sender. An earlier one was replaced by the sender or belongs to an
// earlier incarnation.
func (t *FrameTransport) adopt(in *inbound) {
	t.mu.Lock()
	previous := t.inbound[in.from.Host]
	t.inbound[in.from.Host] = in
	t.mu.Unlock()
	if previous != nil && previous != in {
		previous.connection.Close()
	}
}

func (t *FrameTransport) forget(in *inbound) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inbound[in.from.Host] == in {
		delete(t.inbound, in.from.Host)
	}
}
