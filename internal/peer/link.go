package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
)

// call is a request that waits for its reply. It is finished once.
type call struct {
	link     *link
	sequence uint64
	once     sync.Once
	done     chan struct{}
	body     []byte
	err      error
}

func (c *call) finish(body []byte, err error) {
	c.once.Do(func() {
		c.body = body
		c.err = err
		close(c.done)
	})
}

// abandon ends a call whose caller no longer waits.
func (c *call) abandon(err error) {
	c.finish(nil, err)
	c.link.forget(c.sequence)
}

func (c *call) finished() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

type outgoing struct {
	frame    []byte
	sequence uint64
	call     *call // nil for a one-way frame
}

// link is the connection to one peer, dialled when there is something to send. Its queue drops new frames when full.
type link struct {
	transport *FrameTransport
	address   string
	queue     chan outgoing

	mu      sync.Mutex
	pending map[uint64]*call

	// unanswered is the time of the first write after the last received frame, as monotime reads it; 0 if there is none.
	unanswered atomic.Int64
	// received is the time of the last received frame, as monotime reads it.
	received atomic.Int64
	proved   atomic.Bool // the connection has carried a frame of the peer
}

func newLink(t *FrameTransport, address string) *link {
	return &link{
		transport: t,
		address:   address,
		queue:     make(chan outgoing, t.cfg.QueueFrames),
		pending:   map[uint64]*call{},
	}
}

// run connects and sends until the link is idle or the transport closes.
func (l *link) run(ctx context.Context) {
	cfg := l.transport.cfg
	backoff := cfg.MinBackoff
	for {
		first, ok := l.await(ctx)
		if !ok && l.transport.retire(l) {
			l.refuseQueued()
			return
		}
		if !ok {
			continue
		}
		// Jitter keeps the hosts that lost the same peer from connecting to it at the same moment.
		if l.connectAndServe(ctx, first) {
			backoff = cfg.MinBackoff
			ctxtime.Sleep(ctx, backoff/2+rand.N(backoff))
			continue
		}
		l.refuseFor(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, cfg.MaxBackoff)
	}
}

// await returns the next frame, or false when the link has been idle or the transport closes.
func (l *link) await(ctx context.Context) (outgoing, bool) {
	idle := time.NewTimer(l.transport.cfg.Idle)
	defer idle.Stop()
	select {
	case out := <-l.queue:
		return out, true
	case <-idle.C:
		return outgoing{}, false
	case <-ctx.Done():
		return outgoing{}, false
	}
}

// connectAndServe returns whether the connection proved to work.
func (l *link) connectAndServe(ctx context.Context, first outgoing) bool {
	t := l.transport
	dialContext, cancel := context.WithTimeout(ctx, t.cfg.DialTimeout)
	defer cancel()
	connection, err := t.cfg.Network.Dial(dialContext, l.address)
	if err != nil {
		l.refuse(first)
		l.refuseQueued()
		return false
	}
	t.stats.connects.Add(1)
	l.unanswered.Store(0)
	l.received.Store(int64(monotime.Now()))
	l.proved.Store(false)
	l.serve(ctx, connection, first)
	return l.proved.Load()
}

// serve writes queued frames until the connection fails, goes silent or is idle.
func (l *link) serve(ctx context.Context, connection net.Conn, first outgoing) {
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
	check := time.NewTicker(t.cfg.Silence / 4)
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
			if time.Since(lastWrite) > t.cfg.Idle {
				return
			}
			silent := l.silentFor()
			if silent > t.cfg.Silence {
				t.stats.silent.Add(1)
				return
			}
			switch {
			case silent == 0 && l.holdsQuietCall():
				// The peer may freeze after it has accepted a call: the ping makes its silence visible.
				pinged = l.ping(connection)
			case silent < t.cfg.Silence/2:
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

// silentFor returns how long the peer has left frames unanswered.
func (l *link) silentFor() time.Duration {
	since := l.unanswered.Load()
	if since == 0 {
		return 0
	}
	return monotime.Now() - time.Duration(since)
}

// holdsQuietCall tells whether the peer holds a call and has given no sign of life for half of the silence.
func (l *link) holdsQuietCall() bool {
	if quiet := monotime.Now() - time.Duration(l.received.Load()); quiet < l.transport.cfg.Silence/2 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}

func (l *link) ping(connection net.Conn) bool {
	frame, err := l.transport.seal(0, kindPing, nil)
	return err == nil && l.write(connection, outgoing{frame: frame})
}

// write sends one frame. It returns false if the connection failed.
func (l *link) write(connection net.Conn, out outgoing) bool {
	if out.call != nil && !l.register(out) {
		return true
	}
	l.unanswered.CompareAndSwap(0, int64(monotime.Now()))
	return l.transport.writeFrame(connection, out.frame) == nil
}

// register notes a call that waits for its reply. It returns false if its caller has given up.
func (l *link) register(out outgoing) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if out.call.finished() {
		return false
	}
	l.pending[out.sequence] = out.call
	return true
}

func (t *FrameTransport) writeFrame(connection net.Conn, frame []byte) error {
	if err := connection.SetWriteDeadline(time.Now().Add(t.cfg.WriteTimeout)); err != nil {
		return err
	}
	if _, err := connection.Write(frame); err != nil {
		return err
	}
	t.stats.sent(len(frame))
	return nil
}

// read delivers replies until the connection fails.
func (l *link) read(connection net.Conn) {
	t := l.transport
	reader := bufio.NewReader(connection)
	for {
		e, err := t.receive(reader)
		if err != nil {
			return
		}
		if _, ok := t.versions.admit(Sender{Host: e.From, Incarnation: e.Incarnation}); !ok {
			t.stats.refusedIncarnation.Add(1)
			return
		}
		l.unanswered.Store(0)
		l.received.Store(int64(monotime.Now()))
		l.proved.Store(true)
		l.deliver(e)
	}
}

// forget removes a call that no longer waits.
func (l *link) forget(sequence uint64) {
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
	if waiting == nil || waiting.finished() {
		l.transport.stats.lateReplies.Add(1)
		return
	}
	switch e.Kind {
	case kindReply:
		waiting.finish(e.Body, nil)
	case kindOlder:
		waiting.finish(nil, olderError(e.Body))
	default:
		waiting.finish(nil, failedError(e.Body))
	}
}

func failedError(body []byte) error {
	var message string
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return ErrFailed
	}
	return fmt.Errorf("%w: %s", ErrFailed, message)
}

// OlderIncarnationError carries the newest incarnation that a peer knows of this host.
type OlderIncarnationError struct{ Known model.Incarnation }

// Error returns the message.
func (e *OlderIncarnationError) Error() string {
	return fmt.Sprintf("%s: %d", ErrOlderIncarnation, e.Known)
}

// Unwrap returns ErrOlderIncarnation.
func (e *OlderIncarnationError) Unwrap() error { return ErrOlderIncarnation }

func olderError(body []byte) error {
	var known model.Incarnation
	if err := msgpack.Unmarshal(body, &known); err != nil {
		return ErrOlderIncarnation
	}
	return &OlderIncarnationError{Known: known}
}

// receive reads one authentic frame and counts what it refuses.
func (t *FrameTransport) receive(reader *bufio.Reader) (envelope, error) {
	frame, err := readFrame(reader)
	if errors.Is(err, errTooLong) {
		t.stats.refusedLength.Add(1)
	}
	if err != nil {
		return envelope{}, err
	}
	t.stats.received(len(frame) + lengthBytes)
	e, err := t.codec.open(frame)
	if err != nil {
		t.stats.refusedAuthentication.Add(1)
	}
	return e, err
}

// failPending ends the calls that were sent on a connection that is gone.
func (l *link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for sequence, waiting := range l.pending {
		waiting.finish(nil, fmt.Errorf("%w: the connection to %s ended", ErrNoReply, l.address))
		delete(l.pending, sequence)
	}
}

// refuseQueued drops the queued frames: they would be stale by the time the peer can be reached.
func (l *link) refuseQueued() {
	for {
		select {
		case out := <-l.queue:
			l.refuse(out)
		default:
			return
		}
	}
}

func (l *link) refuse(out outgoing) {
	l.transport.stats.unreachable.Add(1)
	if out.call != nil {
		out.call.finish(nil, fmt.Errorf("%w: can't connect to %s", ErrNotSent, l.address))
	}
}

// refuseFor drops frames for the duration of a backoff.
func (l *link) refuseFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case out := <-l.queue:
			l.refuse(out)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
