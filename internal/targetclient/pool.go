package targetclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/wire"
)

const (
	connectTimeout = time.Second
	// maxWaiters bounds the requests that wait for a connection to one target; more are refused as not sent.
	maxWaiters = 1024
)

var (
	errPoolFull   = errors.New("too many requests wait for a connection")
	errPoolClosed = errors.New("client closed")
)

// pool holds the connections to one target.
type pool struct {
	address  string
	dial     Dial
	counters *Counters

	mu    sync.Mutex
	limit int
	idle  []*connection // the one used last is at the end
	// open counts connections, those being opened included.
	open    int
	opening int
	// attempts counts connections that carry an attempt.
	attempts int
	waiters  []*waiter
	// suspectSince is the time at which a connection fell silent. It is zero again once a connection that was opened
	// later has carried a reply.
	suspectSince time.Time
	closed       bool
}

// waiter is a request that waits for a connection. got has room for one result.
type waiter struct {
	control bool
	attempt model.AttemptID
	got     chan acquired
}

type acquired struct {
	connection *connection
	err        error
}

// attemptLimit returns the number of connections that attempts may use. One is kept for cancel and status requests, which
// would otherwise wait behind the attempts that they concern. The caller holds the mutex.
func (p *pool) attemptLimit() int { return max(1, p.limit-1) }

// acquire returns a connection for one request. Every error means that nothing was sent.
func (p *pool) acquire(ctx context.Context, until time.Time, control bool, attempt model.AttemptID) (*connection, error) {
	w := &waiter{control: control, attempt: attempt, got: make(chan acquired, 1)}
	if err := p.enqueue(w); err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case got := <-w.got:
		return got.connection, got.err
	case <-ctx.Done():
		return nil, p.abandon(w, ctx.Err())
	case <-timer.C:
		return nil, p.abandon(w, context.DeadlineExceeded)
	}
}

func (p *pool) enqueue(w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errPoolClosed
	}
	if len(p.waiters) >= maxWaiters {
		return errPoolFull
	}
	p.waiters = append(p.waiters, w)
	p.dispatch()
	return nil
}

// abandon takes a waiter out. A connection that it was given at the same moment goes back.
func (p *pool) abandon(w *waiter, cause error) error {
	p.mu.Lock()
	at := slices.Index(p.waiters, w)
	if at >= 0 {
		p.waiters = slices.Delete(p.waiters, at, at+1)
	}
	p.mu.Unlock()
	if at < 0 {
		if got := <-w.got; got.connection != nil {
			p.release(got.connection, w.control, true)
		}
	}
	return cause
}

// cancelWaiting refuses an attempt that still waits for a connection. It tells whether there was one.
func (p *pool) cancelWaiting(attempt model.AttemptID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.IndexFunc(p.waiters, func(w *waiter) bool { return !w.control && w.attempt == attempt })
	if at < 0 {
		return false
	}
	p.waiters[at].got <- acquired{err: ErrCancelled}
	p.waiters = slices.Delete(p.waiters, at, at+1)
	return true
}

// dispatch hands idle connections to waiters and opens new ones for the rest. The caller holds the mutex.
func (p *pool) dispatch() {
	unserved := 0
	free := p.attemptLimit() - p.attempts
	rest := p.waiters[:0]
	for _, w := range p.waiters {
		servable := w.control || free > 0
		if servable && !w.control {
			free--
		}
		if servable && unserved == 0 {
			if c := p.takeIdle(); c != nil {
				p.hand(w, c)
				continue
			}
		}
		if servable {
			unserved++
		}
		rest = append(rest, w)
	}
	clear(p.waiters[len(rest):])
	p.waiters = rest
	for p.opening < unserved && p.open < p.limit && (p.opening == 0 || p.suspectSince.IsZero()) {
		p.opening++
		p.open++
		go p.connect()
	}
}

func (p *pool) hand(w *waiter, c *connection) {
	if !w.control {
		p.attempts++
	}
	w.got <- acquired{connection: c}
}

// takeIdle returns an idle connection that has not ended, or nil. The caller holds the mutex.
func (p *pool) takeIdle() *connection {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if !c.hasEnded() {
			return c
		}
		p.open--
	}
	return nil
}

// connect opens one connection for whichever waiter is first then.
func (p *pool) connect() {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	p.counters.Opened.Add(1)
	conn, err := p.dial(ctx, p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.open--
		p.failOne(err)
		p.dispatch()
		return
	}
	if p.closed {
		p.open--
		conn.Close()
		return
	}
	c := newConnection(conn)
	go p.read(c)
	p.idle = append(p.idle, c)
	p.trim()
	p.dispatch()
}

// failOne tells the first waiter that the target cannot be reached. The caller holds the mutex.
func (p *pool) failOne(err error) {
	if len(p.waiters) > 0 {
		p.waiters[0].got <- acquired{err: fmt.Errorf("connect: %w", err)}
		p.waiters = slices.Delete(p.waiters, 0, 1)
	}
}

// read runs the connection's reader and takes the connection out when it ends while it is idle.
func (p *pool) read(c *connection) {
	c.read(wire.HeaderChecksum, func() { p.counters.Unexpected.Add(1) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := slices.Index(p.idle, c); at >= 0 {
		p.idle = slices.Delete(p.idle, at, at+1)
		p.open--
		p.dispatch()
	}
}

// release takes a connection back after a request. healthy tells that its whole reply has been read.
func (p *pool) release(c *connection, control, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !control {
		p.attempts--
	}
	if healthy && !c.hasEnded() && !p.closed {
		if !c.opened.Before(p.suspectSince) {
			p.suspectSince = time.Time{}
		}
		p.idle = append(p.idle, c)
		p.trim()
	} else {
		p.open--
		c.conn.Close()
	}
	p.dispatch()
}

// trim closes idle connections above the limit, the longest unused first. The caller holds the mutex.
func (p *pool) trim() {
	for p.open > p.limit && len(p.idle) > 0 {
		p.idle[0].conn.Close()
		p.idle = slices.Delete(p.idle, 0, 1)
		p.open--
	}
}

// suspect notes that a connection has been silent since the given time. Idle connections without a reply since then are
// retired with it, because connections often fall silent together.
func (p *pool) suspect(since time.Time) {
	silent := monotime.Now() - time.Since(since)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspectSince = time.Now()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Duration(c.active.Load()) < silent {
			c.conn.Close()
			p.open--
			p.counters.Retired.Add(1)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, limit)
	p.trim()
	p.dispatch()
}

// close ends all idle connections; those in use end with their request.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, w := range p.waiters {
		w.got <- acquired{err: errPoolClosed}
	}
	p.waiters = nil
	for _, c := range p.idle {
		c.conn.Close()
		p.open--
	}
	p.idle = nil
}

// Dial opens a connection to an IP:port address.
type Dial func(ctx context.Context, address string) (net.Conn, error)
