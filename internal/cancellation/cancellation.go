// Package cancellation tells work that other hosts have handed over when the callers of that work have disconnected. The frames of the
// work and of its cancellation are handled concurrently, so a cancellation may come first.
package cancellation

import (
	"context"
	"sync"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// maxEarly bounds the cancellations that are remembered for work which has not begun. Each is needed for some milliseconds; when
// there are more, all are forgotten.
const maxEarly = 1024

// Key identifies work that another host has handed over. Numbers are unique among all processes of a host, so they begin at random.
type Key struct {
	Host   model.HostID
	Number uint64
}

// Registry holds the work in progress. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	running map[Key]context.CancelFunc
	early   map[Key]bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{running: map[Key]context.CancelFunc{}, early: map[Key]bool{}}
}

// Begin registers work until the returned function is called. It calls cancel at once if the work was cancelled before.
func (r *Registry) Begin(key Key, cancel context.CancelFunc) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.early[key] {
		delete(r.early, key)
		cancel()
	}
	r.running[key] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.running, key)
	}
}

// Cancel cancels work, or remembers the cancellation if the work is not in progress. It may have ended already.
func (r *Registry) Cancel(key Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel, ok := r.running[key]; ok {
		cancel()
		return
	}
	if len(r.early) >= maxEarly {
		clear(r.early)
	}
	r.early[key] = true
}
