package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// chunk is a written piece that is readable from a moment on.
type chunk struct {
	at   time.Time
	data []byte
}

// half is one direction of a connection.
type half struct {
	mu       sync.Mutex
	chunks   []chunk
	closed   bool
	deadline time.Time
	changed  chan struct{}
}

func newHalf() *half { return &half{changed: make(chan struct{})} }

// wake lets a waiting reader look again. The caller holds the mutex.
func (h *half) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *half) write(at time.Time, data []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return io.ErrClosedPipe
	}
	h.chunks = append(h.chunks, chunk{at: at, data: append([]byte(nil), data...)})
	h.wake()
	return nil
}

func (h *half) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.closed = true
		h.wake()
	}
}

func (h *half) setDeadline(deadline time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = deadline
	h.wake()
}

func (h *half) read(into []byte) (int, error) {
	for {
		count, next, changed, err := h.tryRead(into)
		if count > 0 || err != nil {
			return count, err
		}
		h.await(next, changed)
	}
}

// tryRead copies what is readable now. If nothing is, it returns the moment at which to look again.
func (h *half) tryRead(into []byte) (count int, next time.Time, changed chan struct{}, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !h.deadline.IsZero() && !now.Before(h.deadline) {
		return 0, time.Time{}, nil, os.ErrDeadlineExceeded
	}
	next = h.deadline
	if len(h.chunks) == 0 {
		if h.closed {
			return 0, time.Time{}, nil, io.EOF
		}
		return 0, next, h.changed, nil
	}
	first := &h.chunks[0]
	if first.at.After(now) {
		if next.IsZero() || first.at.Before(next) {
			next = first.at
		}
		return 0, next, h.changed, nil
	}
	count = copy(into, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		h.chunks = h.chunks[1:]
	}
	return count, time.Time{}, nil, nil
}

func (h *half) await(next time.Time, changed chan struct{}) {
	if next.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// conn is one end of a connection.
type conn struct {
	network  *Network
	from, to string
	in, out  *half
	remote   address
	// silent tells that both directions lose every byte. Both ends share it.
	silent *atomic.Bool
}

func newPair(n *Network, dialer, accepter, remote string) (near, far *conn) {
	forth, back := newHalf(), newHalf()
	silent := new(atomic.Bool)
	near = &conn{network: n, from: dialer, to: accepter, in: back, out: forth, remote: address(remote), silent: silent}
	far = &conn{network: n, from: accepter, to: dialer, in: forth, out: back, remote: address(dialer), silent: silent}
	return near, far
}

// Read returns bytes once their delay has passed.
func (c *conn) Read(into []byte) (int, error) { return c.in.read(into) }

// Write never blocks. Bytes to a place that is cut off are lost without an error.
func (c *conn) Write(data []byte) (int, error) {
	if c.silent.Load() || c.network.isCut(c.from, c.to) {
		return len(data), nil
	}
	at := time.Now().Add(c.network.Delay(c.from, c.to))
	if err := c.out.write(at, data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Close ends both directions.
func (c *conn) Close() error {
	c.in.close()
	c.out.close()
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.open, c)
	return nil
}

// LocalAddr returns the name of the own place.
func (c *conn) LocalAddr() net.Addr { return address(c.from) }

// RemoteAddr returns the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline bounds reads. Writes never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline bounds reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline has no effect, because writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
