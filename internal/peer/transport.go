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
	// ErrNotSent is returned when a frame has surely not reached the peer.
	ErrNotSent = errors.New("peer: frame was not sent; the peer can't be reached or its queue is full")
	// ErrNoReply is returned when a call was sent and its reply did not arrive. The peer may have acted on it.
	ErrNoReply = errors.New("peer: no reply to a call; the peer may have acted on it")
	// ErrFailed is returned when the peer's handler failed.
	ErrFailed = errors.New("peer: the peer could not answer")
	// ErrOlderIncarnation is returned when the peer knows a newer incarnation of this host.
	ErrOlderIncarnation = errors.New("peer: the peer knows a newer incarnation of this host")
)

// Config configures a FrameTransport. Zero durations and sizes take the defaults.
type Config struct {
	// Listen is the IP:port address for the connections of other hosts.
	Listen string
	Self   Sender
	// Keys authenticate frames. The first signs, all of them verify; one or two may be given.
	Keys    [][]byte
	Network Network
	// QueueFrames bounds the frames that wait for one peer. A full queue drops the new frame.
	QueueFrames int
	// Handlers bounds the handlers that run at once for one connection. Frames over it are dropped.
	Handlers int
	// DialTimeout bounds a connect, WriteTimeout the write of one frame.
	DialTimeout  time.Duration
	WriteTimeout time.Duration
	// Silence is the time without a frame from the peer after which a connection with unanswered frames is replaced.
	// After half of it the transport asks for a sign of life, and at that interval from a peer that holds a call.
	Silence time.Duration
	// Idle is the time without a frame to the peer after which the connection is closed.
	Idle time.Duration
	// MinBackoff and MaxBackoff bound the wait before the next connect.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// withDefaults fills in what is not set. Silence of 500 ms lets a pull every 500 ms use the new connection before the
// fence of 3 s; an idle time of 30 s keeps the connections that probes leave behind at about 30.
func (c Config) withDefaults() Config {
	orInt := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	or := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	orInt(&c.QueueFrames, 256)
	orInt(&c.Handlers, 128)
	or(&c.DialTimeout, 500*time.Millisecond)
	or(&c.WriteTimeout, 500*time.Millisecond)
	or(&c.Silence, 500*time.Millisecond)
	or(&c.Idle, 30*time.Second)
	or(&c.MinBackoff, 50*time.Millisecond)
	or(&c.MaxBackoff, time.Second)
	return c
}

// FrameTransport is the Transport that exchanges msgpack frames over a Network. It keeps one connection to each peer
// that it sends to; replies travel on the connection of their request.
type FrameTransport struct {
	logger      *zap.Logger
	cfg         Config
	codec       *codec
	incarnation atomic.Uint64
	sequence    atomic.Uint64
	stats       counters
	handlers    map[Kind]Handler
	versions    *incarnations
	ctx         context.Context
	cancel      context.CancelFunc
	duties      conc.WaitGroup

	mu      sync.Mutex
	links   map[string]*link
	inbound map[model.HostID]*inbound
	closed  bool
}

// New returns a transport that has not started.
func New(logger *zap.Logger, cfg Config) (*FrameTransport, error) {
	codec, err := newCodec(cfg.Keys)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &FrameTransport{
		logger:   logger,
		cfg:      cfg.withDefaults(),
		codec:    codec,
		handlers: map[Kind]Handler{},
		versions: newIncarnations(),
		ctx:      ctx,
		cancel:   cancel,
		links:    map[string]*link{},
		inbound:  map[model.HostID]*inbound{},
	}
	t.incarnation.Store(uint64(cfg.Self.Incarnation))
	return t, nil
}

// Handle registers the handler of a kind. Handlers of one connection run at the same time, in no fixed order.
func (t *FrameTransport) Handle(kind Kind, handler Handler) { t.handlers[kind] = handler }

// SetIncarnation replaces the incarnation that later frames state.
func (t *FrameTransport) SetIncarnation(incarnation model.Incarnation) {
	t.incarnation.Store(uint64(incarnation))
}

// Run accepts connections until the context ends, then closes every connection.
func (t *FrameTransport) Run(ctx context.Context) error {
	listener, err := t.cfg.Network.Listen(t.cfg.Listen)
	if err != nil {
		return fmt.Errorf("peer listener: choose another peer_listen than %s: %w", t.cfg.Listen, err)
	}
	return t.Serve(ctx, listener)
}

// Serve accepts connections from a listener until the context ends, then closes every connection.
func (t *FrameTransport) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	err := t.accept(ctx, listener)
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	listener.Close()
	t.duties.Wait()
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
			t.logger.Warn("peer listener", zap.Error(err))
			ctxtime.Sleep(ctx, t.cfg.MinBackoff)
			continue
		}
		t.duties.Go(func() { newInbound(t, connection).run(t.ctx) })
	}
}

// Send queues a one-way frame and returns at once.
func (t *FrameTransport) Send(address string, kind Kind, body any) error {
	return t.enqueue(address, kind, body, nil)
}

// Call sends a frame and waits for the reply. Errors: ErrNotSent, ErrNoReply, ErrFailed, ErrOlderIncarnation.
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
		return fmt.Errorf("%w: reply of kind %s: %w", ErrNoReply, kind, err)
	}
	return nil
}

func (t *FrameTransport) enqueue(address string, kind Kind, body any, waiting *call) error {
	raw, err := Marshal(body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	sequence := t.sequence.Add(1)
	frame, err := t.seal(sequence, kind, raw)
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
		t.duties.Go(func() { l.run(t.ctx) })
	}
	if waiting != nil {
		waiting.link = l
		waiting.sequence = sequence
	}
	select {
	case l.queue <- outgoing{frame: frame, sequence: sequence, call: waiting}:
		return nil
	default:
		t.stats.dropped.Add(1)
		return fmt.Errorf("%w: the queue to %s is full", ErrNotSent, address)
	}
}

func (t *FrameTransport) seal(sequence uint64, kind Kind, body []byte) ([]byte, error) {
	return t.codec.seal(envelope{
		From:        t.cfg.Self.Host,
		Incarnation: model.Incarnation(t.incarnation.Load()),
		Seq:         sequence,
		Kind:        kind,
		Body:        body,
	})
}

// retire removes a link that has nothing to send. It returns false if a frame arrived in the meantime.
func (t *FrameTransport) retire(l *link) bool {
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
