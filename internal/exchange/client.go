package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	// dialTimeout bounds the opening of a connection. A dropped opening packet is sent again after a second, which is later
	// than another target would have answered.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is the time after which sent bytes that are not acknowledged end a connection.
	ackTimeout = 1500 * time.Millisecond
	// probeIdle and probeInterval find idle connections that have fallen silent.
	probeIdle     = 5 * time.Second
	probeInterval = time.Second
	probeCount    = 2
)

var errNoConnection = errors.New("all connections to the target are in use")

// Dial opens a connection to an IP:port address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Counters count what happened on the connections of a client.
type Counters struct {
	// Opened counts connections that were opened, failed ones included; Reused attempts on kept connections.
	Opened, Reused atomic.Int64
	// Retired counts idle connections that were given up.
	Retired atomic.Int64
}

// Pool is a Client that keeps connections to targets.
type Pool struct {
	dialect  Dialect
	dial     Dial
	counters Counters

	mu      sync.Mutex
	targets map[model.TargetID]*lane
}

// lane holds the connections to one target.
type lane struct {
	address string
	idle    []*connection
	open    int
	// closed tells that the target has another address or is gone.
	closed bool
}

var _ Client = (*Pool)(nil)

// NewPool returns a client over TCP.
func NewPool(dialect Dialect) *Pool {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	return NewPoolOver(dialect, func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// NewPoolOver returns a client that opens its connections with dial.
func NewPoolOver(dialect Dialect, dial Dial) *Pool {
	return &Pool{dialect: dialect, dial: dial, targets: map[model.TargetID]*lane{}}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Counters returns the client's counters.
func (p *Pool) Counters() *Counters { return &p.counters }

// Do implements Client.
func (p *Pool) Do(ctx context.Context, a *Attempt) (*Reply, error) {
	l, conn, err := p.acquire(ctx, a)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", targetclient.ErrNotSent, err)
	}
	reply, reusable, err := conn.exchange(ctx, a, p.dialect)
	p.release(l, conn, reusable)
	if err != nil {
		if !errors.Is(err, targetclient.ErrCancelled) && !errors.Is(err, targetclient.ErrNotSent) {
			p.retire(l)
		}
		return nil, err
	}
	return reply, classify(reply)
}

// Probe implements Client.
func (p *Pool) Probe(ctx context.Context, address string) error {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return conn.Close()
}

func (p *Pool) acquire(ctx context.Context, a *Attempt) (*lane, *connection, error) {
	l, conn, err := p.reserve(a)
	if err != nil || conn != nil {
		return l, conn, err
	}
	p.counters.Opened.Add(1)
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	opened, err := p.dial(ctx, a.Address)
	if err != nil {
		p.mu.Lock()
		l.open--
		p.mu.Unlock()
		return nil, nil, err
	}
	return l, newConnection(opened), nil
}

// reserve returns an idle connection, or the place for a new one.
func (p *Pool) reserve(a *Attempt) (*lane, *connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.targets[a.Target]
	if l == nil || l.address != a.Address {
		if l != nil {
			p.end(l)
		}
		l = &lane{address: a.Address}
		p.targets[a.Target] = l
	}
	now := time.Now()
	for len(l.idle) > 0 {
		last := len(l.idle) - 1
		conn := l.idle[last]
		l.idle = l.idle[:last]
		if conn.isUsable(now) {
			p.counters.Reused.Add(1)
			return l, conn, nil
		}
		conn.Close()
		l.open--
	}
	if a.MaxConnections > 0 && l.open >= a.MaxConnections {
		return nil, nil, errNoConnection
	}
	l.open++
	return l, nil, nil
}

func (p *Pool) release(l *lane, conn *connection, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reusable && !l.closed {
		l.idle = append(l.idle, conn)
		return
	}
	conn.Close()
	l.open--
}

// retire closes the idle connections to a target after one was lost or silent: connections often fail together.
func (p *Pool) retire(l *lane) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Retired.Add(int64(len(l.idle)))
	p.closeIdle(l)
}

// closeIdle runs under the mutex.
func (p *Pool) closeIdle(l *lane) {
	for _, conn := range l.idle {
		conn.Close()
		l.open--
	}
	l.idle = nil
}

// end closes a lane whose connections are not needed any more. It runs under the mutex.
func (p *Pool) end(l *lane) {
	l.closed = true
	p.closeIdle(l)
}

// KeepOnly ends the idle connections to all targets but the given ones.
func (p *Pool) KeepOnly(kept func(model.TargetID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.targets {
		if !kept(id) {
			p.end(l)
			delete(p.targets, id)
		}
	}
}
