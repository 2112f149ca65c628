// Package transit estimates how long messages of other hosts waited on their way: in the connection of a host that was frozen, or behind
// a partition. It performs no I/O and reads no clock: callers pass in readings of the boot clocks of both hosts, which also count
// the time in which a machine is suspended.
//
// The boot clocks of two hosts differ by an unknown constant. The smallest difference between sending and receipt that was seen
// lately stands for it; what a message exceeds it by is the time that it waited.
package transit

import (
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// generationLength is how long a smallest difference is used, once or twice: clocks that differ by 50 ppm drift apart by 60 ms
	// in two generations.
	generationLength = 10 * time.Minute
	// maxSenders bounds the hosts that are remembered.
	maxSenders = 16384
)

// Estimator keeps the smallest difference for each sending host. The zero value is ready to use. It is safe for concurrent use.
type Estimator struct {
	mu      sync.Mutex
	senders map[model.HostID]*baseline
}

// baseline holds the smallest differences of one incarnation of a host in the current and the previous generation.
type baseline struct {
	incarnation       model.Incarnation
	began             time.Duration
	current, previous time.Duration
}

// Waited returns the time that a message waited. sent is the sender's reading of its boot clock, received this host's. The first message
// of an incarnation is taken not to have waited.
func (e *Estimator) Waited(sender model.HostID, incarnation model.Incarnation, sent, received time.Duration) time.Duration {
	difference := received - sent
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.senders[sender]
	switch {
	case b == nil || b.incarnation < incarnation:
		e.remember(sender, &baseline{incarnation: incarnation, began: received, current: difference, previous: difference})
		return 0
	case b.incarnation > incarnation:
		return 0 // its clock may have been another one
	}
	if received-b.began >= generationLength {
		b.previous, b.current, b.began = b.current, difference, received
	}
	b.current = min(b.current, difference)
	return difference - min(b.current, b.previous)
}

// remember replaces the baseline of a host. The caller holds e.mu.
func (e *Estimator) remember(sender model.HostID, b *baseline) {
	if e.senders == nil || len(e.senders) >= maxSenders {
		e.senders = map[model.HostID]*baseline{}
	}
	e.senders[sender] = b
}
