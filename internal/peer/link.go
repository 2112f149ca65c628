package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
)

// writeBytes is the size of the pieces in which a frame is written. At 1 Mbit/s a piece takes half a second.
const writeBytes = 64 << 10

// call is a request waiting for its reply. It completes exactly once.
type call struct {
	link     *link
	sequence uint64
	once     sync.Once
	done     chan struct{}
	body     []byte
	err      error
}

func (c *call) complete(body []byte, err error) {
	c.once.Do(func() {
		c.body = body
		c.err = err
		close(c.done)
	})
}

// abandon completes a call whose caller has stopped waiting.
func (c *call) abandon(err error) {
	c.complete(nil, err)
	c.link.removeCall(c.sequence)
}

func (c *call) isDone() bool { return ctxtime.IsClosed(c.done) }

type outgoingFrame struct {
	frame    []byte
	sequence uint64
	call     *call // nil for a one-way frame
}

// link is the outgoing connection to one peer, dialled when there is a frame to send. Its queue drops new frames when
// full.
type link struct {
	transport *FrameTransport
	address   string
	queue     chan outgoingFrame

	mu      sync.Mutex
	pending map[uint64]*call

	// unansweredSince is the monotime of the end of the first write since the last received bytes, or 0 if there was none.
	unansweredSince atomic.Int64
	// lastReceived is the monotime of the last received bytes.
	lastReceived atomic.Int64
	hasReceived  atomic.Bool // set once the current connection has received a frame
}

func newLink(t *FrameTransport, address string) *link {
	return &link{
		transport: t,
		address:   address,
		queue:     make(chan outgoingFrame, t.cfg.QueueFrames),
		pending:   map[uint64]*call{},
	}
}

// run connects and sends until the link is idle or the transport closes.
func (l *link) run(ctx context.Context) {
	cfg := l.transport.cfg
	backoff := cfg.MinBackoff
	for {
		first, ok := l.nextFrame(ctx)
		if !ok && l.transport.removeIdleLink(l) {
			l.rejectQueued()
			return
		}
		if !ok {
			continue
		}
		// Jitter prevents the hosts that lost the same peer from reconnecting to it simultaneously.
		if l.connectAndServe(ctx, first) {
			backoff = cfg.MinBackoff
			ctxtime.Sleep(ctx, backoff/2+rand.N(backoff))
			continue
		}
		l.rejectDuringBackoff(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, cfg.MaxBackoff)
	}
}

// nextFrame returns the next queued frame, or false if the link was idle for IdleTimeout or the transport closes.
func (l *link) nextFrame(ctx context.Context) (outgoingFrame, bool) {
	idle := time.NewTimer(l.transport.cfg.IdleTimeout)
	defer idle.Stop()
	select {
	case out := <-l.queue:
		return out, true
	case <-idle.C:
		return outgoingFrame{}, false
	case <-ctx.Done():
		return outgoingFrame{}, false
	}
}

// connectAndServe runs one connection. It returns whether the connection received any frame.
func (l *link) connectAndServe(ctx context.Context, first outgoingFrame) bool {
	t := l.transport
	dialContext, cancel := context.WithTimeout(ctx, t.cfg.DialTimeout)
	defer cancel()
	connection, err := t.cfg.Network.Dial(dialContext, l.address)
	if err != nil {
		l.rejectFrame(first)
		l.rejectQueued()
		return false
	}
	t.stats.connects.Add(1)
	l.unansweredSince.Store(0)
	l.lastReceived.Store(int64(monotime.Now()))
	l.hasReceived.Store(false)
	l.serve(ctx, connection, first)
	return l.hasReceived.Load()
}

// serve writes queued frames until the connection fails, the peer goes silent or the link is idle.
func (l *link) serve(ctx context.Context, connection net.Conn, first outgoingFrame) {
	t := l.transport
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		l.read(connection)
	}()
	defer func() {
		connection.Close()
		<-readerDone
		l.failPending()
	}()
	if !l.write(connection, first) {
		return
	}
	check := time.NewTicker(t.cfg.SilenceTimeout / 4)
	defer check.Stop()
	lastWrite := time.Now()
	pinged := false
	for {
		select {
		case out := <-l.queue:
			if !l.write(connection, out) {
				return
			}
			lastWrite = time.Now()
		case <-check.C:
			if time.Since(lastWrite) > t.cfg.IdleTimeout {
				return
			}
			silent := l.silenceDuration()
			if silent > t.cfg.SilenceTimeout {
				t.stats.silentConnections.Add(1)
				return
			}
			switch {
			case silent == 0 && l.hasCallWithoutTraffic():
				// The peer may freeze after accepting a call. A ping makes its silence detectable.
				pinged = l.ping(connection)
			case silent < t.cfg.SilenceTimeout/2:
				pinged = false
			case !pinged:
				pinged = l.ping(connection)
			}
		case <-readerDone:
			return
		case <-ctx.Done():
			return
		}
	}
}

// silenceDuration returns how long the peer has left frames unanswered.
func (l *link) silenceDuration() time.Duration {
	since := l.unansweredSince.Load()
	if since == 0 {
		return 0
	}
	return monotime.Now() - time.Duration(since)
}

// hasCallWithoutTraffic reports whether a call is pending and nothing has been received for half of SilenceTimeout.
func (l *link) hasCallWithoutTraffic() bool {
	if quiet := monotime.Now() - time.Duration(l.lastReceived.Load()); quiet < l.transport.cfg.SilenceTimeout/2 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}

func (l *link) ping(connection net.Conn) bool {
	frame, err := l.transport.encodeFrame(0, kindPing, nil)
	return err == nil && l.write(connection, outgoingFrame{frame: frame})
}

// write sends a frame. It returns false if the connection failed.
func (l *link) write(connection net.Conn, out outgoingFrame) bool {
	if out.call != nil && !l.register(out) {
		return true
	}
	started := int64(monotime.Now())
	isFirst := l.unansweredSince.CompareAndSwap(0, started)
	if l.transport.writeFrame(connection, out.frame) != nil {
		return false
	}
	if isFirst { // the peer can answer only now
		l.unansweredSince.CompareAndSwap(started, int64(monotime.Now()))
	}
	return true
}

// register records a call that waits for its reply. It returns false if the caller has stopped waiting.
func (l *link) register(out outgoingFrame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if out.call.isDone() {
		return false
	}
	l.pending[out.sequence] = out.call
	return true
}

// writeFrame writes a frame piece by piece, each within WriteTimeout, so that a large frame passes a thin link.
func (t *FrameTransport) writeFrame(connection net.Conn, frame []byte) error {
	for piece := range slices.Chunk(frame, writeBytes) {
		if err := connection.SetWriteDeadline(time.Now().Add(t.cfg.WriteTimeout)); err != nil {
			return err
		}
		if _, err := connection.Write(piece); err != nil {
			return err
		}
	}
	t.stats.sent(len(frame))
	return nil
}

// read processes replies until the connection fails.
func (l *link) read(connection net.Conn) {
	t := l.transport
	reader := bufio.NewReader(&livenessReader{connection, l})
	for {
		e, err := t.receive(reader)
		if err != nil {
			return
		}
		if _, ok := t.incarnations.admit(Sender{Host: e.From, Incarnation: e.Incarnation}); !ok {
			t.stats.refusedIncarnation.Add(1)
			return
		}
		l.hasReceived.Store(true)
		l.deliver(e)
	}
}

// livenessReader notes each arrival of bytes: the peer is alive while a large frame arrives on a thin link.
type livenessReader struct {
	connection net.Conn
	link       *link
}

// Read implements io.Reader.
func (r *livenessReader) Read(into []byte) (int, error) {
	n, err := r.connection.Read(into)
	if n > 0 {
		r.link.unansweredSince.Store(0)
		r.link.lastReceived.Store(int64(monotime.Now()))
	}
	return n, err
}

// removeCall removes a call that no longer waits for its reply.
func (l *link) removeCall(sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, sequence)
}

func (l *link) deliver(e envelope) {
	if e.Kind == kindPong {
		return
	}
	l.mu.Lock()
	waiting := l.pending[e.Seq]
	delete(l.pending, e.Seq)
	l.mu.Unlock()
	if waiting == nil || waiting.isDone() {
		l.transport.stats.lateReplies.Add(1)
		return
	}
	switch e.Kind {
	case kindReply:
		waiting.complete(e.Body, nil)
	case kindBusy:
		waiting.complete(nil, fmt.Errorf("%w: %s handles too many frames", ErrNotSent, l.address))
	case kindOlderIncarnation:
		waiting.complete(nil, decodeOlderIncarnation(e.Body))
	default:
		waiting.complete(nil, decodeFailure(e.Body))
	}
}

func decodeFailure(body []byte) error {
	var message string
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return ErrHandlerFailed
	}
	return fmt.Errorf("%w: %s", ErrHandlerFailed, message)
}

// OlderIncarnationError reports the newest incarnation of this host that is known to a peer.
type OlderIncarnationError struct{ Known model.Incarnation }

// Error implements error.
func (e *OlderIncarnationError) Error() string {
	return fmt.Sprintf("%s: %d", ErrOlderIncarnation, e.Known)
}

// Unwrap returns ErrOlderIncarnation.
func (e *OlderIncarnationError) Unwrap() error { return ErrOlderIncarnation }

func decodeOlderIncarnation(body []byte) error {
	var known model.Incarnation
	if err := msgpack.Unmarshal(body, &known); err != nil {
		return ErrOlderIncarnation
	}
	return &OlderIncarnationError{Known: known}
}

// receive reads and authenticates a frame, and counts rejected frames.
func (t *FrameTransport) receive(reader *bufio.Reader) (envelope, error) {
	frame, err := readFrame(reader)
	if errors.Is(err, errFrameTooLong) {
		t.stats.refusedLength.Add(1)
	}
	if err != nil {
		return envelope{}, err
	}
	t.stats.received(len(frame) + lengthBytes)
	e, err := t.codec.decode(frame)
	if err != nil {
		t.stats.refusedAuthentication.Add(1)
	}
	return e, err
}

// failPending fails the calls that were sent on a closed connection.
func (l *link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for sequence, waiting := range l.pending {
		waiting.complete(nil, fmt.Errorf("%w: the connection to %s was closed", ErrNoReply, l.address))
		delete(l.pending, sequence)
	}
}

// rejectQueued drops the queued frames, which would be stale by the time the peer is reachable again.
func (l *link) rejectQueued() {
	for {
		select {
		case out := <-l.queue:
			l.rejectFrame(out)
		default:
			return
		}
	}
}

func (l *link) rejectFrame(out outgoingFrame) {
	l.transport.stats.unreachable.Add(1)
	if out.call != nil {
		out.call.complete(nil, fmt.Errorf("%w: connecting to %s failed", ErrNotSent, l.address))
	}
}

// rejectDuringBackoff drops frames for the duration of a backoff.
func (l *link) rejectDuringBackoff(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case out := <-l.queue:
			l.rejectFrame(out)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
