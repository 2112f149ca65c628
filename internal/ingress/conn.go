package ingress

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
)

// phase is what a connection does.
type phase int

const (
	// phaseIdle: no byte of a request has arrived.
	phaseIdle phase = iota
	// phaseHead: the head of a request is arriving.
	phaseHead
	// phaseBody: the body of a request is arriving.
	phaseBody
	// phaseRunning: the host works on the request.
	phaseRunning
	// phaseAnswer: the caller takes the answer.
	phaseAnswer
	// phaseEvicted: the connection makes way for others.
	phaseEvicted
)

// errEvicted means that the connection makes way for others.
var errEvicted = errors.New("the connection makes way for others")

// conn is a caller's connection. Its reads belong to one goroutine at a time, as do its writes.
type conn struct {
	net.Conn
	guard *Guard
	// headLines and headBytes are the size of the head so far. charged is what was charged for it.
	headLines, headBytes int
	charged              int64
	// bodyRead means that the body of the request in progress was read to its end.
	bodyRead bool
	// context is the parent of the contexts of all requests, which leave ends.
	context context.Context
	leave   context.CancelFunc

	mu sync.Mutex
	// begun counts the requests whose handlers have begun. handling is set while one runs, watched once its caller's end is watched for.
	begun             int
	handling, watched bool
	// held is charged for the request in progress, or the next one; nil once the connection is closed.
	held  *membudget.Account
	phase phase
	// since is when the phase began.
	since time.Time
}

func newConn(g *Guard, raw net.Conn) *conn {
	return &conn{Conn: raw, guard: g, held: g.openAccount(), since: time.Now(), leave: func() {}}
}

// enter begins a phase. It returns the phase before, or false if the connection makes way for others.
func (c *conn) enter(next phase) (phase, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.phase
	if before == phaseEvicted {
		return before, false
	}
	c.phase, c.since = next, time.Now()
	return before, true
}

// account returns the account of the request in progress, or the next one.
func (c *conn) account() *membudget.Account {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// waiting describes the connection if it keeps the host waiting; otherwise it returns nil.
func (c *conn) waiting() *waiting {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRunning || c.phase == phaseEvicted {
		return nil
	}
	return &waiting{conn: c, phase: c.phase, since: c.since, held: c.held.Used()}
}

// evict ends the connection, unless it has left the given phase meanwhile. It never blocks.
func (c *conn) evict(in phase, since time.Time) bool {
	c.mu.Lock()
	left := c.phase != in || !c.since.Equal(since)
	if !left {
		c.phase = phaseEvicted
	}
	c.mu.Unlock()
	if left {
		return false
	}
	if in == phaseHead || in == phaseBody {
		c.send(errNoMemory())
	}
	c.guard.unregister(c)
	_ = c.Conn.Close() // its goroutine ends with an error from the connection
	return true
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseEvicted
}

// begin marks the start of a handler. It returns false if the connection makes way for others.
func (c *conn) begin() bool {
	if _, ok := c.enter(phaseRunning); !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun++
	c.handling, c.watched = true, false
	return true
}

// end marks the end of a handler: the memory of its request is given back.
func (c *conn) end(r *http.Request) {
	c.mu.Lock()
	c.handling = false
	finished := c.held
	c.held = c.guard.openAccount()
	c.headLines, c.headBytes, c.charged = 0, 0, 0
	unread := r.Body != http.NoBody && !c.bodyRead
	c.bodyRead = false
	c.mu.Unlock()
	finished.Release()
	if unread {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed connection
	}
}

// Read implements net.Conn. It charges the head of a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if now, counts := c.arrive(); !counts {
		if now == phaseRunning {
			c.watchEnd()
		}
		return n, err
	} else if now == phaseEvicted {
		return 0, readError(errEvicted)
	}
	if refusal := c.chargeHead(p[:n]); refusal != nil {
		c.refuse(refusal)
		return 0, readError(refusal)
	}
	return n, err
}

// arrive marks the arrival of bytes. It reports the phase and whether they belong to a head.
func (c *conn) arrive() (phase, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase, c.since = phaseHead, time.Now()
	}
	return c.phase, c.phase == phaseHead || c.phase == phaseEvicted
}

// chargeHead charges further bytes of a head before they are parsed. It returns the refusal if the head is too long or there is no
// room.
func (c *conn) chargeHead(p []byte) *fault.Error {
	limit := c.guard.cfg.HeadBytes()
	if limit <= 0 {
		limit = defaultHeadBytes
	}
	c.headBytes += len(p)
	if c.headBytes > limit+headSlack {
		c.guard.cfg.Closed(ReasonHeadSize)
		return errHeadSize(limit)
	}
	c.headLines += bytes.Count(p, []byte{'\n'})
	due := HeadMemory(c.headLines, c.headBytes) - c.charged
	if due > 0 && !c.guard.take(c, due) {
		c.guard.cfg.Closed(ReasonMemory)
		return errNoMemory()
	}
	c.charged += due
	return nil
}

// readError returns an error upon which package http closes the connection without an answer of its own.
func readError(cause error) error { return &net.OpError{Op: "read", Net: "tcp", Err: cause} }

// refuse sends a refusal to a caller whose head was not read to its end, and drops what it still sends for a short time.
func (c *conn) refuse(err *fault.Error) {
	c.send(err)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // the connection is closed soon
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed connection
	var dropped [1 << 10]byte
	for {
		if _, err := c.Conn.Read(dropped[:]); err != nil {
			return
		}
	}
}

// send sends a refusal as far as the connection takes it at once.
func (c *conn) send(err *fault.Error) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, rawErr := tcp.SyscallConn()
	if rawErr != nil {
		return
	}
	refusal := c.guard.cfg.Refusal(err)
	encoded := refusal.encode()
	_ = raw.Control(func(fd uintptr) {
		_, _ = unix.SendmsgN(int(fd), encoded, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL) // the caller may have left
	})
}

// Write implements net.Conn. A caller that does not take the answer in time loses it.
func (c *conn) Write(p []byte) (int, error) {
	before, ok := c.enter(phaseAnswer)
	if !ok {
		return 0, errEvicted
	}
	allowed := answerStall + time.Duration(len(p))*time.Second/answerBytesPerSecond
	if err := c.Conn.SetWriteDeadline(time.Now().Add(allowed)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.enter(before)
	return n, err
}

// CloseWrite closes the sending side, as package http does before it closes a connection that has not been read to its end.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.unregister(c)
	c.mu.Lock()
	held := c.held
	c.held = nil
	c.mu.Unlock()
	held.Release()
	c.leave()
	return c.Conn.Close()
}
