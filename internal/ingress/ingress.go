// Package ingress admits the connections and requests of callers that may misbehave. Every connection, and every byte that is held
// for a caller, is charged to an account before it is taken. Where there is no room, the connection that has kept the host waiting
// longest makes way, and what cannot be admitted is refused as not run or closed unread.
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
)

const (
	// connectionBytes is the memory of a connection: its goroutines, its buffers, the bytes received and not yet read, and a head and a
	// body of ordinary size.
	connectionBytes = 40 << 10
	// receiveBufferBytes bounds the bytes of a connection that were received and not yet read. They count as memory of the process.
	receiveBufferBytes = 16 << 10
	// freeHeadBytes and freeBodyBytes are the memory of an ordinary head and body, which is part of connectionBytes. An ordinary request
	// is thus admitted whatever others hold.
	freeHeadBytes = 8 << 10
	freeBodyBytes = 4 << 10
	// defaultHeadBytes bounds a head while no configuration is known.
	defaultHeadBytes = 64 << 10
	// headSlack is what a head may have beyond the limit of the configuration before it is no longer read. Up to there the refusal
	// names the limit.
	headSlack = 4 << 10
	// minHold is how long a connection must have kept the host waiting before it makes way for the memory of another one.
	minHold = time.Second
	// stalledInterval is the minimum time between two answers that are ended because their callers do not take them.
	stalledInterval = 20 * time.Millisecond
	// lingerTimeout is how long the rest of a refused request is read and dropped: closing at once would reset the connection and lose
	// the refusal.
	lingerTimeout = 500 * time.Millisecond
	// answerStall and answerBytesPerSecond bound the time in which a caller must take an answer. They are far beyond what a caller
	// needs that is still there.
	answerStall          = 20 * time.Second
	answerBytesPerSecond = 64 << 10
	// retryAfter is the Retry-After value of a refusal for lack of room: by then connections that wait have made way.
	retryAfter = time.Second
)

// Reason is why a connection was closed or a request refused.
type Reason string

// Reasons. docs/operators/metrics.md describes them.
const (
	ReasonConnections Reason = "connections"
	ReasonMemory      Reason = "memory"
	ReasonHeadSize    Reason = "head_size"
	ReasonAnswer      Reason = "answer"
)

// CountClosed returns a function for Config.Closed that counts the connections in a metric of the set.
func CountClosed(set *metrics.Set) func(Reason) {
	return func(reason Reason) {
		set.GetOrCreateCounter(`knapweedrouter_caller_connections_closed_total{reason="` + string(reason) + `"}`).Inc()
	}
}

// Config configures a Guard. All fields are required.
type Config struct {
	// Requests is charged for the heads and bodies of requests beyond their ordinary size.
	Requests *membudget.Account
	// Connections bounds the open connections; see MaxConnections.
	Connections int
	// HeadBytes returns the limit of the configuration for a head, or 0 if there is none.
	HeadBytes func() int
	// Refusal returns the answer to a request whose head was not read to its end.
	Refusal func(*fault.Error) Refusal
	// Closed is called for each connection that makes way or is refused.
	Closed func(Reason)
}

// Guard admits the connections of one listener. It is safe for concurrent use.
type Guard struct {
	cfg Config

	mu          sync.Mutex
	connections map[*conn]struct{}
	// lastStalled is the monotime reading at which EndStalledAnswer last ended a connection, 0 if it has not.
	lastStalled atomic.Int64
}

// HeadMemory returns the memory of a parsed head beyond an ordinary one, by its lines and bytes.
func HeadMemory(lines, bytes int) int64 {
	return max(0, membudget.HeadMemory(lines, bytes)-freeHeadBytes)
}

// BodyMemory returns the memory of a body beyond an ordinary one.
func BodyMemory(bytes int) int64 { return max(0, int64(bytes)-freeBodyBytes) }

// MaxConnections returns the number of connections for which the given memory in bytes suffices.
func MaxConnections(memory int64) int { return int(max(1, memory/connectionBytes)) }

// New returns a Guard.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg, connections: map[*conn]struct{}{}}
}

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.connections)
}

// openAccount returns the account of one request. It may take whatever there is for all requests.
func (g *Guard) openAccount() *membudget.Account { return g.cfg.Requests.Open(g.cfg.Requests.Limit()) }

type connKey struct{}

// Protect makes the server admit its callers through the guard. It returns the listener that the server must serve.
func (g *Guard) Protect(server *http.Server, l net.Listener) net.Listener {
	setReceiveBuffer(l)
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(next, w, r) })
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return c.(*conn).setContext(context.WithValue(ctx, connKey{}, c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			c.(*conn).enter(phaseIdle)
		}
	}
	return &listener{Listener: l, guard: g}
}

func serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if !c.begin() {
		panic(http.ErrAbortHandler) // the connection has made way: its caller has the refusal
	}
	defer c.end(r)
	next.ServeHTTP(w, r)
}

// connOf returns the connection of a request, or nil if its server is not protected.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Account returns the account of the request, which is charged for its head and body. Whoever uses the request after its handler has
// returned must Retain and Release it.
func Account(r *http.Request) *membudget.Account { return connOf(r).account() }

// errNoMemory is the refusal of a request for which there is no memory.
func errNoMemory() *fault.Error {
	return fault.New(fault.Overloaded, fault.NotRun, "use another host, or repeat the request later",
		"the requests in memory reach their limit").WithRetryAfter(retryAfter)
}

// errHeadSize is the refusal of a head that is longer than the limit.
func errHeadSize(limit int) *fault.Error {
	return fault.New(fault.TooLarge, fault.NotRun, "send shorter headers", "the headers have more than %d bytes", limit)
}
