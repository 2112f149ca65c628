package exchange

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/panics"
	"golang.org/x/sys/unix"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	// dialTimeout bounds connection setup. A lost SYN is retransmitted after a second, by which time another target
	// would have answered.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is the TCP user timeout: a connection ends when sent data stays unacknowledged this long.
	ackTimeout = 1500 * time.Millisecond
	// TCP keep-alive settings, which detect dead idle connections.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

var (
	errNoConnection = errors.New("all connections to the target are in use")
	errNoDescriptor = errors.New("all connections to targets that the descriptors allow are in use: lower the load or raise --max-fds")
)

// Dial opens a connection to an IP:port address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Counters holds connection statistics of a Pool.
type Counters struct {
	// Opened counts attempts to open a connection, including failed ones. Reused counts attempts on kept connections.
	Opened, Reused atomic.Int64
	// Retired counts idle connections closed after another connection to the same target failed.
	Retired atomic.Int64
}

// Pool is a Client that pools connections per target.
type Pool struct {
	codec    HeaderCodec
	dial     Dial
	counters Counters

	// limit bounds the open connections to all targets.
	limit int

	mu      sync.Mutex
	targets map[model.TargetID]*targetConns
	// openCount is the number of open connections to all targets.
	openCount int
}

// targetConns holds the connections to one target.
type targetConns struct {
	address   string
	idle      []*connection
	openCount int
	// closed is set when the target is removed or its address changes.
	closed bool
}

var _ Client = (*Pool)(nil)

// NewPool returns a Pool that connects over TCP. limit bounds its open connections.
func NewPool(codec HeaderCodec, limit int) *Pool {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	pool := NewPoolWithDial(codec, func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
	pool.limit = limit
	return pool
}

// NewPoolWithDial returns a Pool that opens connections with dial.
func NewPoolWithDial(codec HeaderCodec, dial Dial) *Pool {
	return &Pool{codec: codec, dial: dial, limit: math.MaxInt, targets: map[model.TargetID]*targetConns{}}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// Counters returns the pool's counters.
func (p *Pool) Counters() *Counters { return &p.counters }

// Do implements Client.
func (p *Pool) Do(ctx context.Context, a *Attempt) (*Reply, error) {
	conns, conn, err := p.acquire(ctx, a)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", targetclient.ErrNotSent, err)
	}
	if ctxtime.IsClosed(a.Unwanted) {
		p.release(conns, conn, true)
		return nil, errUnwanted
	}
	a.Request.carriers.add(conn)
	var reply *Reply
	var reusable bool
	recovered := panics.Try(func() { reply, reusable, err = conn.exchange(ctx, a, p.codec) })
	if recovered != nil {
		// A reply that no parser expected must not end the process.
		reusable, err = false, fmt.Errorf("%w: %w", targetclient.ErrMismatch, recovered.AsError())
	}
	p.release(conns, conn, reusable)
	if err != nil {
		if !errors.Is(err, targetclient.ErrCancelled) && !errors.Is(err, targetclient.ErrNotSent) {
			p.retireIdle(conns)
		}
		return nil, err
	}
	return reply, replyError(reply)
}

// errUnwanted is the error of an attempt for which nobody waited any more when its connection was open.
var errUnwanted = fmt.Errorf("%w: %w", targetclient.ErrNotSent, targetclient.ErrCancelled)

// Probe implements Client.
func (p *Pool) Probe(ctx context.Context, a *Attempt) (*Reply, error) {
	reply, err := p.Do(ctx, a)
	if reply != nil && (a.Misdirected || !reply.WrongTarget) {
		err = nil
	}
	return reply, err
}

// acquire returns an idle connection to the target, or opens one.
func (p *Pool) acquire(ctx context.Context, a *Attempt) (*targetConns, *connection, error) {
	conns, conn, err := p.reserve(a)
	if err != nil || conn != nil {
		return conns, conn, err
	}
	p.counters.Opened.Add(1)
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	opened, err := p.dial(ctx, a.Address)
	if err != nil {
		p.mu.Lock()
		p.countClosed(conns, 1)
		p.mu.Unlock()
		return nil, nil, err
	}
	return conns, newConnection(opened), nil
}

// reserve returns an idle connection, or a nil connection if the caller must open one, which is already counted.
func (p *Pool) reserve(a *Attempt) (*targetConns, *connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.targets[a.Target]
	if conns == nil || conns.address != a.Address {
		if conns != nil {
			p.closeTarget(conns)
		}
		conns = &targetConns{address: a.Address}
		p.targets[a.Target] = conns
	}
	if !a.Misdirected {
		if conn := p.takeIdle(conns, a.Request); conn != nil {
			p.counters.Reused.Add(1)
			return conns, conn, nil
		}
	}
	if a.MaxConnections > 0 && conns.openCount >= a.MaxConnections && !p.closeOldest(conns) {
		return nil, nil, errNoConnection
	}
	if p.openCount >= p.limit && !p.closeOldestOfAll() {
		return nil, nil, errNoDescriptor
	}
	conns.openCount++
	p.openCount++
	return conns, nil, nil
}

// countClosed counts closed connections to a target. The caller holds p.mu.
func (p *Pool) countClosed(conns *targetConns, closed int) {
	conns.openCount -= closed
	p.openCount -= closed
}

// takeIdle removes and returns the usable idle connection that was used last and has not carried the request, or nil. It
// closes those before it that are no longer usable. The caller holds the pool's mutex.
func (p *Pool) takeIdle(c *targetConns, request *Request) *connection {
	now := time.Now()
	for i := len(c.idle) - 1; i >= 0; i-- {
		conn := c.idle[i]
		if conn.hasCarried(request) {
			continue
		}
		c.idle = slices.Delete(c.idle, i, i+1)
		if conn.isUsable(now) {
			return conn
		}
		conn.Close()
		p.countClosed(c, 1)
	}
	return nil
}

// closeOldest closes the idle connection that was used least recently, to make room for another one. It returns false if
// there is none. The caller holds the pool's mutex.
func (p *Pool) closeOldest(c *targetConns) bool {
	if len(c.idle) == 0 {
		return false
	}
	c.idle[0].Close()
	c.idle = slices.Delete(c.idle, 0, 1)
	p.countClosed(c, 1)
	return true
}

// closeOldestOfAll closes the idle connection that was used least recently of all targets. It returns false if there is none. The
// caller holds p.mu.
func (p *Pool) closeOldestOfAll() bool {
	var oldest *targetConns
	for _, conns := range p.targets {
		if len(conns.idle) > 0 && (oldest == nil || conns.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = conns
		}
	}
	return oldest != nil && p.closeOldest(oldest)
}

// release returns a connection to the pool after an attempt, or closes it if it cannot carry another one.
func (p *Pool) release(conns *targetConns, conn *connection, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reusable && !conns.closed {
		conn.idleSince = time.Now()
		conns.idle = append(conns.idle, conn)
		return
	}
	conn.Close()
	p.countClosed(conns, 1)
}

// retireIdle closes the idle connections to a target after one was lost or timed out, because connections often fail
// together.
func (p *Pool) retireIdle(conns *targetConns) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Retired.Add(int64(len(conns.idle)))
	p.closeIdle(conns)
}

// closeIdle closes the idle connections to a target. The caller holds p.mu.
func (p *Pool) closeIdle(conns *targetConns) {
	for _, conn := range conns.idle {
		conn.Close()
	}
	p.countClosed(conns, len(conns.idle))
	conns.idle = nil
}

// closeTarget closes the idle connections to a target and those in use once they are released. The caller holds p.mu.
func (p *Pool) closeTarget(conns *targetConns) {
	conns.closed = true
	p.closeIdle(conns)
}

// KeepOnly closes the connections to all targets for which kept returns false.
func (p *Pool) KeepOnly(kept func(model.TargetID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, conns := range p.targets {
		if !kept(id) {
			p.closeTarget(conns)
			delete(p.targets, id)
		}
	}
}
