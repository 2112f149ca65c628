// Package platform provides stand-ins for the platform's key-value service and host list, for tests and development.
package platform

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// Faults are the failures that the store stand-in simulates.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down"`
	// LoseAnswers is the number of subsequent writes that take effect but whose replies are lost.
	LoseAnswers int `json:"lose_answers"`
	// DelayMS delays every call.
	DelayMS int64 `json:"delay_ms"`
}

// Store is an in-memory store that can simulate failures. It counts all calls; a watch counts once however long it waits.
type Store struct {
	mu       sync.Mutex
	revision store.Revision
	entries  map[string]store.Entry
	changed  chan struct{}
	faults   Faults
	calls    Calls
	history  []store.Entry
}

// Calls counts the calls that the store has received.
type Calls struct {
	Get     uint64 `json:"get"`
	Write   uint64 `json:"write"`
	Watch   uint64 `json:"watch"`
	Refused uint64 `json:"refused"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: map[string]store.Entry{}, changed: make(chan struct{})}
}

// SetFaults replaces the simulated failures.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notify()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// History returns every accepted write in order.
func (s *Store) History() []store.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]store.Entry(nil), s.history...)
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Get++ }); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	if err := s.begin(ctx, func(c *Calls) { c.Write++ }); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != expected {
		return 0, store.ErrConflict
	}
	s.revision++
	entry := store.Entry{Key: key, Value: append([]byte(nil), value...), Revision: s.revision}
	s.entries[key] = entry
	s.history = append(s.history, entry)
	s.notify()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, store.ErrOutcomeUnknown
	}
	return s.revision, nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Watch++ }); err != nil {
		return store.Entry{}, err
	}
	for {
		s.mu.Lock()
		entry, ok := s.entries[key]
		changed := s.changed
		down := s.faults.Down
		s.mu.Unlock()
		if down {
			return store.Entry{}, store.ErrUnavailable
		}
		if ok && entry.Revision > after {
			return entry, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.Entry{}, ctx.Err()
		}
	}
}

// begin counts a call and simulates the delay and the outage.
func (s *Store) begin(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	faults := s.faults
	if faults.Down {
		s.calls.Refused++
	}
	s.mu.Unlock()
	if err := ctxtime.Sleep(ctx, time.Duration(faults.DelayMS)*time.Millisecond); err != nil {
		return store.ErrUnavailable
	}
	if faults.Down {
		return store.ErrUnavailable
	}
	return nil
}

// notify wakes the waiting watches. The caller holds the mutex.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
