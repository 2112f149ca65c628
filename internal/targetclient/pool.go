package targetclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/targetwire"
)

const (
	connectTimeout = time.Second
	// maxWaiters limits the requests that wait for a connection to a target. Further requests fail with ErrNotSent.
	maxWaiters = 1024
)

var (
	errTooManyWaiters = errors.New("too many requests wait for a connection")
	errPoolClosed     = errors.New("connection pool closed")
)

// pool holds the connections to one target.
type pool struct {
	address  string
	dial     Dial
	counters *Counters
	// incomplete is charged for the replies that are being read; all pools share it.
	incomplete *membudget.Account

	mu    sync.Mutex
	limit int
	idle  []*connection // ordered by last use, the most recent last
	// open is the number of connections, including those being opened.
	open    int
	opening int
	// attempts is the number of connections that carry an attempt.
	attempts int
	waiters  []*waiter
	// lastUnresponsive is when a connection was last found unresponsive. It is reset to zero once a connection that was
	// opened afterwards has carried a reply.
	lastUnresponsive time.Time
	closed           bool
}

// waiter is a request that waits for a connection. result has a buffer of one.
type waiter struct {
	control bool
	attempt model.AttemptID
	result  chan acquired
}

type acquired struct {
	connection *connection
	err        error
}

// attemptLimit returns the number of connections that attempts may use. One connection is reserved for cancel and status
// requests, which would otherwise queue behind the attempts that they concern. The mutex must be held.
func (p *pool) attemptLimit() int { return max(1, p.limit-1) }

// maxConnectionWait bounds the wait for a connection. The target may have been taken out of service meanwhile, and must get no new work 3 s
// later; another target takes the work.
const maxConnectionWait = time.Second

// acquire returns a connection for one request. If it returns an error, nothing was sent.
func (p *pool) acquire(ctx context.Context, x *exchange) (*connection, error) {
	w := &waiter{control: x.control, attempt: x.attempt, result: make(chan acquired, 1)}
	if err := p.enqueue(w); err != nil {
		return nil, err
	}
	timer := time.NewTimer(min(time.Until(x.deadline), maxConnectionWait))
	defer timer.Stop()
	select {
	case got := <-w.result:
		return got.connection, got.err
	case <-x.unwanted:
		return nil, p.removeWaiter(w, ErrCancelled)
	case <-ctx.Done():
		return nil, p.removeWaiter(w, ctx.Err())
	case <-timer.C:
		return nil, p.removeWaiter(w, context.DeadlineExceeded)
	}
}

func (p *pool) enqueue(w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errPoolClosed
	}
	if len(p.waiters) >= maxWaiters {
		return errTooManyWaiters
	}
	p.waiters = append(p.waiters, w)
	p.dispatch()
	return nil
}

// removeWaiter removes a waiter and returns cause. If the waiter has received a connection in the meantime, that connection
// is released.
func (p *pool) removeWaiter(w *waiter, cause error) error {
	p.mu.Lock()
	at := slices.Index(p.waiters, w)
	if at >= 0 {
		p.waiters = slices.Delete(p.waiters, at, at+1)
	}
	p.mu.Unlock()
	if at < 0 {
		if got := <-w.result; got.connection != nil {
			p.release(got.connection, w.control, true)
		}
	}
	return cause
}

// cancelWaiting cancels an attempt that is waiting for a connection and reports whether it was found.
func (p *pool) cancelWaiting(attempt model.AttemptID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.IndexFunc(p.waiters, func(w *waiter) bool { return !w.control && w.attempt == attempt })
	if at < 0 {
		return false
	}
	p.waiters[at].result <- acquired{err: ErrCancelled}
	p.waiters = slices.Delete(p.waiters, at, at+1)
	return true
}

// dispatch assigns idle connections to waiters and opens new ones for the remaining waiters. After a connection
// to the target was unresponsive, it opens one at a time until a new one has carried a reply. The mutex must be held.
func (p *pool) dispatch() {
	unserved := 0
	free := p.attemptLimit() - p.attempts
	remaining := p.waiters[:0]
	for _, w := range p.waiters {
		servable := w.control || free > 0
		if servable && !w.control {
			free--
		}
		if servable && unserved == 0 {
			if c := p.takeIdle(); c != nil {
				p.assign(w, c)
				continue
			}
		}
		if servable {
			unserved++
		}
		remaining = append(remaining, w)
	}
	clear(p.waiters[len(remaining):])
	p.waiters = remaining
	for p.opening < unserved && p.open < p.limit && (p.opening == 0 || p.lastUnresponsive.IsZero()) {
		p.opening++
		p.open++
		go p.connect()
	}
}

// assign gives a connection to a waiter. The mutex must be held.
func (p *pool) assign(w *waiter, c *connection) {
	if !w.control {
		p.attempts++
	}
	w.result <- acquired{connection: c}
}

// takeIdle removes and returns an idle connection that is still usable, or nil. The mutex must be held.
func (p *pool) takeIdle() *connection {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if !c.isClosed() {
			return c
		}
		p.open--
	}
	return nil
}

// connect opens a connection and makes it available to the waiters.
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
		p.failFirstWaiter(err)
		p.dispatch()
		return
	}
	if p.closed {
		p.open--
		conn.Close()
		return
	}
	c := newConnection(conn, p.incomplete)
	go p.runReader(c)
	p.idle = append(p.idle, c)
	p.closeSurplus()
	p.dispatch()
}

// failFirstWaiter fails the first waiter with a connect error. The mutex must be held.
func (p *pool) failFirstWaiter(err error) {
	if len(p.waiters) > 0 {
		p.waiters[0].result <- acquired{err: fmt.Errorf("connect: %w", err)}
		p.waiters = slices.Delete(p.waiters, 0, 1)
	}
}

// runReader runs the read loop of a connection and removes it from the pool if it closes while idle.
func (p *pool) runReader(c *connection) {
	c.readLoop(targetwire.HeaderChecksum, func() { p.counters.Unexpected.Add(1) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := slices.Index(p.idle, c); at >= 0 {
		p.idle = slices.Delete(p.idle, at, at+1)
		p.open--
		p.dispatch()
	}
}

// release returns a connection to the pool after a request. healthy is set if the complete reply has been read; otherwise
// the connection is closed.
func (p *pool) release(c *connection, control, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !control {
		p.attempts--
	}
	if healthy && !c.isClosed() && !p.closed {
		if !c.opened.Before(p.lastUnresponsive) {
			p.lastUnresponsive = time.Time{}
		}
		p.idle = append(p.idle, c)
		p.closeSurplus()
	} else {
		p.open--
		c.conn.Close()
	}
	p.dispatch()
}

// closeSurplus closes idle connections above the limit, the least recently used first. The mutex must be held.
func (p *pool) closeSurplus() {
	for p.open > p.limit && len(p.idle) > 0 {
		p.idle[0].conn.Close()
		p.idle = slices.Delete(p.idle, 0, 1)
		p.open--
	}
}

// markUnresponsive records that a connection has received nothing since the given time. It also closes idle connections
// without a reply since then, because connections often become unresponsive together.
func (p *pool) markUnresponsive(since time.Time) {
	silentSince := monotime.Now() - time.Since(since)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUnresponsive = time.Now()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Duration(c.lastReplyAt.Load()) < silentSince {
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
	p.closeSurplus()
	p.dispatch()
}

// close fails the waiting requests and closes all idle connections. Connections in use are closed when their request ends.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, w := range p.waiters {
		w.result <- acquired{err: errPoolClosed}
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
