package ingress

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
)

// preference reports whether a connection that keeps the host waiting should make way before another one, or at all if that is nil.
type preference func(c, other *waiting) bool

// waiting describes a connection that keeps the host waiting.
type waiting struct {
	conn  *conn
	phase phase
	since time.Time
	// held is the memory charged for its request.
	held int64
}

// longestWait prefers the connection that has kept the host waiting longest.
func longestWait() preference {
	return func(c, other *waiting) bool { return other == nil || c.since.Before(other.since) }
}

// mostMemory prefers the connection that holds most memory, if it has kept the host waiting for minHold.
func mostMemory(except *conn) preference {
	latest := time.Now().Add(-minHold)
	return func(c, other *waiting) bool {
		return c.conn != except && c.held > 0 && !c.since.After(latest) && (other == nil || c.held > other.held)
	}
}

// stalledAnswer prefers the connection whose caller has kept an answer waiting longest, for at least minHold.
func stalledAnswer() preference {
	latest := time.Now().Add(-minHold)
	return func(c, other *waiting) bool {
		return c.phase == phaseAnswer && !c.since.After(latest) && (other == nil || c.since.Before(other.since))
	}
}

// makeWay ends the preferred connection. It returns false if there is none.
func (g *Guard) makeWay(better preference) bool {
	for {
		victim := g.find(better)
		if victim == nil {
			return false
		}
		if victim.conn.evict(victim.phase, victim.since) {
			return true
		}
	}
}

// find returns the preferred connection, or nil if there is none.
func (g *Guard) find(better preference) *waiting {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found *waiting
	for c := range g.connections {
		if w := c.waiting(); w != nil && better(w, found) {
			found = w
		}
	}
	return found
}

// take charges bytes to the account of the connection's request. Connections that hold memory and wait make way if need be. It
// returns false if there is no room.
func (g *Guard) take(c *conn, bytes int64) bool {
	held := c.account()
	return membudget.AwaitRoom(func() bool { return held.Take(bytes) }, func() bool {
		if !g.makeWay(mostMemory(c)) {
			return false
		}
		g.cfg.Closed(ReasonMemory)
		return true
	})
}

// EndStalledAnswer ends a connection whose caller does not take its answer, because the answers in memory leave no room for more. It
// returns whether the memory of such a connection is about to be given back. Until it is, no further connection is ended.
func (g *Guard) EndStalledAnswer() bool {
	now := int64(monotime.Now())
	last := g.lastStalled.Load()
	if last != 0 && now-last < int64(stalledInterval) {
		return true
	}
	if !g.makeWay(stalledAnswer()) {
		return false
	}
	g.lastStalled.Store(now)
	g.cfg.Closed(ReasonAnswer)
	return true
}
