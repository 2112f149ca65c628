// Package platform is a stand-in of the platform's key-value service and host list, for tests and development.
package platform

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// Faults are the failures that a test asks of the store stand-in.
type Faults struct {
	// Down makes each call fail before it has an effect.
	Down bool `json:"down"`
	// LoseAnswers is the number of following writes that take effect but whose answers are lost.
	LoseAnswers int `json:"lose_answers"`
	// DelayMS holds each call back.
	DelayMS int64 `json:"delay_ms"`
}

// Store is an in-memory store with failures on request. It counts every call, a waiting watch as one.
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

// SetFaults replaces the failures in force.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wake()
}

// Calls returns the numbers of calls so far.
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
	s.wake()
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

// begin counts a call and applies delay and outage.
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

// wake lets waiting watches look again. The caller holds the mutex.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
