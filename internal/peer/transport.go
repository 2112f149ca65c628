package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

var (
	// ErrNotSent is returned when the peer has definitely not handled a frame and will not.
	ErrNotSent = errors.New("peer: frame was not sent; the peer is unreachable or busy, or its queue is full")
	// ErrNoReply is returned when a call was sent but no reply arrived. The peer may have processed it.
	ErrNoReply = errors.New("peer: no reply to a call; the peer may have processed it")
	// ErrHandlerFailed is returned when the peer failed to handle the frame.
	ErrHandlerFailed = errors.New("peer: the peer failed to handle the frame")
	// ErrOlderIncarnation is returned when the peer knows a newer incarnation of this host.
	ErrOlderIncarnation = errors.New("peer: the peer knows a newer incarnation of this host")
)

// Config configures a FrameTransport. Zero durations and sizes select the defaults.
type Config struct {
	// Listen is the IP:port address on which to accept connections from other hosts.
	Listen string
	Self   Sender
	// Keys authenticate frames; one or two must be given. The first key signs and all keys verify.
	Keys    [][]byte
	Network Network
	// QueueFrames bounds the queue of frames to one peer. New frames are dropped when the queue is full.
	QueueFrames int
	// MaxHandlers bounds the concurrent handlers of one connection. Calls over the limit are refused, other frames are dropped.
	MaxHandlers int
	// Urgent lists the kinds of frames that are handled whatever else is: on the goroutine that reads the connection. Their handlers
	// must not block.
	Urgent []Kind
	// DialTimeout bounds connecting, WriteTimeout writing a piece of 64 KiB of a frame.
	DialTimeout  time.Duration
	WriteTimeout time.Duration
	// SilenceTimeout is the time without bytes from the peer after which a connection with unanswered frames is
	// replaced. The transport pings the peer after half of that time, and also at that interval while the peer holds a
	// call.
	SilenceTimeout time.Duration
	// IdleTimeout is the time without a frame to the peer after which the connection is closed.
	IdleTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay before reconnecting.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// withDefaults fills in unset fields. A SilenceTimeout of 500 ms lets a host that pulls every 500 ms use the replacement
// connection before it is fenced after 3 s. An IdleTimeout of 30 s limits the connections left open by membership probes
// to about 30.
func (c Config) withDefaults() Config {
	setDefaultInt := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setDefaultInt(&c.QueueFrames, 256)
	setDefaultInt(&c.MaxHandlers, 128)
	setDefault(&c.DialTimeout, 500*time.Millisecond)
	setDefault(&c.WriteTimeout, 500*time.Millisecond)
	setDefault(&c.SilenceTimeout, 500*time.Millisecond)
	setDefault(&c.IdleTimeout, 30*time.Second)
	setDefault(&c.MinBackoff, 50*time.Millisecond)
	setDefault(&c.MaxBackoff, time.Second)
	return c
}

// FrameTransport is a Transport that exchanges msgpack frames over a Network. It keeps one connection to each peer
// that it sends to. Replies are sent on the connection of their request.
type FrameTransport struct {
	logger       *zap.Logger
	cfg          Config
	codec        *codec
	incarnation  atomic.Uint64
	sequence     atomic.Uint64
	stats        counters
	handlers     map[Kind]Handler
	incarnations *incarnations
	ctx          context.Context
	cancel       context.CancelFunc
	tasks        conc.WaitGroup

	mu      sync.Mutex
	links   map[string]*link
	inbound map[model.HostID]*inboundConn
	closed  bool
}

// New returns a transport that has not been started.
func New(logger *zap.Logger, cfg Config) (*FrameTransport, error) {
	codec, err := newCodec(cfg.Keys)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &FrameTransport{
		logger:       logger,
		cfg:          cfg.withDefaults(),
		codec:        codec,
		handlers:     map[Kind]Handler{},
		incarnations: newIncarnations(),
		ctx:          ctx,
		cancel:       cancel,
		links:        map[string]*link{},
		inbound:      map[model.HostID]*inboundConn{},
	}
	t.incarnation.Store(uint64(cfg.Self.Incarnation))
	return t, nil
}

// Handle registers the handler for a kind. Handlers of one connection run concurrently and in no particular order.
func (t *FrameTransport) Handle(kind Kind, handler Handler) { t.handlers[kind] = handler }

// SetIncarnation sets the incarnation to send in subsequent frames.
func (t *FrameTransport) SetIncarnation(incarnation model.Incarnation) {
	t.incarnation.Store(uint64(incarnation))
}

// Run listens and accepts connections until the context is cancelled, then closes all connections.
func (t *FrameTransport) Run(ctx context.Context) error {
	listener, err := t.cfg.Network.Listen(t.cfg.Listen)
	if err != nil {
		return fmt.Errorf("peer listener: choose another peer_listen than %s: %w", t.cfg.Listen, err)
	}
	return t.Serve(ctx, listener)
}

// Serve accepts connections from a listener until the context is cancelled, then closes all connections.
func (t *FrameTransport) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	err := t.accept(ctx, listener)
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	listener.Close()
	t.tasks.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (t *FrameTransport) accept(ctx context.Context, listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err != nil && (ctx.Err() != nil || errors.Is(err, net.ErrClosed)) {
			return err
		}
		if err != nil {
			t.logger.Warn("accepting a peer connection failed", zap.Error(err))
			ctxtime.Sleep(ctx, t.cfg.MinBackoff)
			continue
		}
		t.tasks.Go(func() { newInbound(t, connection).run(t.ctx) })
	}
}

// Send queues a one-way frame without blocking.
func (t *FrameTransport) Send(address string, kind Kind, body any) error {
	return t.enqueue(address, kind, body, nil)
}

// Call sends a frame and waits for the reply. Its errors wrap ErrNotSent, ErrNoReply, ErrHandlerFailed or
// ErrOlderIncarnation.
func (t *FrameTransport) Call(ctx context.Context, address string, kind Kind, body, reply any) error {
	waiting := &call{done: make(chan struct{})}
	if err := t.enqueue(address, kind, body, waiting); err != nil {
		return err
	}
	select {
	case <-waiting.done:
	case <-ctx.Done():
		waiting.abandon(fmt.Errorf("%w: %w", ErrNoReply, ctx.Err()))
		<-waiting.done
	}
	if waiting.err != nil {
		return waiting.err
	}
	if err := msgpack.Unmarshal(waiting.body, reply); err != nil {
		return fmt.Errorf("%w: decode reply to kind %s: %w", ErrNoReply, kind, err)
	}
	return nil
}

func (t *FrameTransport) enqueue(address string, kind Kind, body any, waiting *call) error {
	raw, err := Marshal(body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	sequence := t.sequence.Add(1)
	frame, err := t.encodeFrame(sequence, kind, raw)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return fmt.Errorf("%w: the transport is closed", ErrNotSent)
	}
	l := t.links[address]
	if l == nil {
		l = newLink(t, address)
		t.links[address] = l
		t.tasks.Go(func() { l.run(t.ctx) })
	}
	if waiting != nil {
		waiting.link = l
		waiting.sequence = sequence
	}
	select {
	case l.queue <- outgoingFrame{frame: frame, sequence: sequence, call: waiting}:
		return nil
	default:
		t.stats.dropped.Add(1)
		return fmt.Errorf("%w: the queue to %s is full", ErrNotSent, address)
	}
}

func (t *FrameTransport) encodeFrame(sequence uint64, kind Kind, body []byte) ([]byte, error) {
	return t.codec.encode(envelope{
		From:        t.cfg.Self.Host,
		Incarnation: model.Incarnation(t.incarnation.Load()),
		Seq:         sequence,
		Kind:        kind,
		Body:        body,
	})
}

// removeIdleLink removes a link with an empty queue. It returns false if a frame was queued in the meantime.
func (t *FrameTransport) removeIdleLink(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(l.queue) > 0 && !t.closed {
		return false
	}
	if t.links[l.address] == l {
		delete(t.links, l.address)
	}
	return true
}
