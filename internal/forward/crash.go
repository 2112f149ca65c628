package forward

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// probeLosses is the number of lost attempts of a request from which its targets are probed: one loss alone is far more
	// often a reset connection.
	probeLosses = 2
	// probeDelay is the time after a loss at which the target is probed. A process that has crashed refuses connections then.
	probeDelay   = 30 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// crashLimit is the number of targets that a request may crash before it is refused.
	crashLimit = 3
	// crashMemory is the time for which crashes are held against a request.
	crashMemory = 2 * time.Minute
	// maxSuspects bounds the requests that are remembered; the oldest are forgotten first.
	maxSuspects = 4096
)

// Crash tells that a target crashed while it ran a request. Hosts tell each other.
type Crash struct {
	Fingerprint uint64
	Target      model.TargetID
	Incarnation model.Incarnation
}

// suspect is a request whose attempts were lost.
type suspect struct {
	// lost holds the places of lost attempts whose targets have not been probed yet.
	lost    []place
	losses  int
	crashed map[Crash]bool
	last    time.Duration
}

// crashes holds the requests that may crash targets. It belongs to the engine's mutex.
type crashes struct {
	suspects map[uint64]*suspect
}

// fingerprint identifies the content of a request, whoever sends it and under whatever id.
func fingerprint(r *exchange.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URI} {
		_, _ = digest.WriteString(part) // a digest's Write never fails
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return digest.Sum64()
}

func (c *crashes) entry(now time.Duration, fingerprint uint64) *suspect {
	s := c.suspects[fingerprint]
	if s == nil || now-s.last > crashMemory {
		if len(c.suspects) >= maxSuspects {
			c.forgetOldest()
		}
		s = &suspect{crashed: map[Crash]bool{}}
		c.suspects[fingerprint] = s
	}
	s.last = now
	return s
}

func (c *crashes) forgetOldest() {
	var oldest uint64
	var at time.Duration
	first := true
	for id, s := range c.suspects {
		if first || s.last < at {
			oldest, at, first = id, s.last, false
		}
	}
	delete(c.suspects, oldest)
}

// lost counts a lost attempt and returns the places whose targets are worth a probe now.
func (c *crashes) lost(now time.Duration, fingerprint uint64, p place) []place {
	s := c.entry(now, fingerprint)
	s.losses++
	s.lost = append(s.lost, p)
	if s.losses < probeLosses {
		return nil
	}
	suspected := s.lost
	s.lost = nil
	return suspected
}

// add counts a crash. It returns false if it is known already.
func (c *crashes) add(now time.Duration, crash Crash) bool {
	s := c.entry(now, crash.Fingerprint)
	if s.crashed[crash] {
		return false
	}
	s.crashed[crash] = true
	return true
}

// isQuarantined tells whether the request has crashed too many targets.
func (c *crashes) isQuarantined(now time.Duration, fingerprint uint64) bool {
	s := c.suspects[fingerprint]
	return s != nil && now-s.last <= crashMemory && len(s.crashed) >= crashLimit
}

// Learn takes a crash that another host has seen.
func (e *Engine) Learn(crash Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes.add(e.now(), crash)
}

// probe finds out whether the target of a lost attempt has crashed, and tells the other hosts if so.
func (e *Engine) probe(p place, fingerprint uint64) {
	timer := time.NewTimer(probeDelay)
	defer timer.Stop()
	<-timer.C
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if e.cfg.Client.Probe(ctx, p.target.Address) == nil {
		return
	}
	crash := Crash{Fingerprint: fingerprint, Target: p.target.Target, Incarnation: p.target.Incarnation}
	e.mu.Lock()
	isNew := e.crashes.add(e.now(), crash)
	e.mu.Unlock()
	if isNew && e.cfg.Observer != nil {
		e.cfg.Observer.TargetCrashed(crash)
	}
}
