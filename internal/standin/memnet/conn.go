package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// chunk is the data of one write, with the time from which it can be read.
type chunk struct {
	readableAt time.Time
	data       []byte
}

// pipe is one direction of a connection. Its reader waits on changed, which is closed and replaced at every change.
type pipe struct {
	mu       sync.Mutex
	chunks   []chunk
	closed   bool
	deadline time.Time
	changed  chan struct{}
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

// notify wakes a waiting reader. The caller holds the mutex.
func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) write(readableAt time.Time, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return io.ErrClosedPipe
	}
	p.chunks = append(p.chunks, chunk{readableAt: readableAt, data: append([]byte(nil), data...)})
	p.notify()
	return nil
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		p.notify()
	}
}

func (p *pipe) setDeadline(deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = deadline
	p.notify()
}

func (p *pipe) read(into []byte) (int, error) {
	for {
		count, next, changed, err := p.tryRead(into)
		if count > 0 || err != nil {
			return count, err
		}
		p.await(next, changed)
	}
}

// tryRead copies the data that is readable now. If there is none, it returns the time of the next attempt, if known, and
// a channel that is closed when the pipe changes.
func (p *pipe) tryRead(into []byte) (count int, next time.Time, changed chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !p.deadline.IsZero() && !now.Before(p.deadline) {
		return 0, time.Time{}, nil, os.ErrDeadlineExceeded
	}
	next = p.deadline
	if len(p.chunks) == 0 {
		if p.closed {
			return 0, time.Time{}, nil, io.EOF
		}
		return 0, next, p.changed, nil
	}
	first := &p.chunks[0]
	if first.readableAt.After(now) {
		if next.IsZero() || first.readableAt.Before(next) {
			next = first.readableAt
		}
		return 0, next, p.changed, nil
	}
	count = copy(into, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		p.chunks = p.chunks[1:]
	}
	return count, time.Time{}, nil, nil
}

func (p *pipe) await(next time.Time, changed chan struct{}) {
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
	in, out  *pipe
	remote   address
	// silent makes both directions drop all bytes. The two ends share it.
	silent *atomic.Bool
}

func newPair(n *Network, dialer, accepter, remote string) (near, far *conn) {
	outbound, inbound := newPipe(), newPipe()
	silent := new(atomic.Bool)
	near = &conn{network: n, from: dialer, to: accepter, in: inbound, out: outbound, remote: address(remote), silent: silent}
	far = &conn{network: n, from: accepter, to: dialer, in: outbound, out: inbound, remote: address(dialer), silent: silent}
	return near, far
}

// Read returns bytes after their network delay.
func (c *conn) Read(into []byte) (int, error) { return c.in.read(into) }

// Write never blocks. Bytes to a node that is cut off are lost without an error.
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

// LocalAddr returns the name of the local node.
func (c *conn) LocalAddr() net.Addr { return address(c.from) }

// RemoteAddr returns the address that was dialled, or the name of the dialling node.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the read deadline. Writes never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the time after which reads fail.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline has no effect, because writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
