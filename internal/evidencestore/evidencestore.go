// Package evidencestore keeps the crashes of quarantined requests in the platform's store, so that they outlive the hosts.
//
// The load that it answers: all hosts are killed at the same moment, and with them the evidence that they hold for each other.
// A caller then sends the request that crashes targets again. Only quarantines are written, by hosts that have seen one
// of the crashes themselves: a few calls for each quarantine, however many hosts there are.
package evidencestore

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// minLifetime and maxLifetime bound the lease of a record, which otherwise ends with the quarantine. The upper bound is the
	// longest lease that the platform grants.
	minLifetime = time.Second
	maxLifetime = 10 * time.Minute
	// maxAnswered bounds the answered requests that are remembered.
	maxAnswered = 256
	// maxPending bounds the requests whose records are to be written. Further ones are left to the hosts' own memory.
	maxPending = 64
	// callTimeout bounds the calls for one record, and retryInterval is the pause after a failed one.
	callTimeout   = time.Second
	retryInterval = 500 * time.Millisecond
	// maxTries bounds the tries for one record. They cover an outage of the store of half a minute.
	maxTries = 60
)

// Store writes the records of this host and takes over those of all hosts. It implements follow.Sink and is safe for concurrent
// use.
type Store struct {
	logger *zap.Logger
	host   model.HostID
	feed   store.Feed
	log    *evidence.Log
	// learned is told of the facts that were taken over.
	learned func(from model.HostID, facts []evidence.Fact)

	pending chan uint64
	mu      sync.Mutex
	queued  map[uint64]bool
	// recorded holds the requests with crashes in the store.
	recorded map[uint64]bool
	// answered holds requests that were answered here and had no record. One may be on its way.
	answered map[uint64]bool
}

// New returns a Store for the evidence in log. learned is called with the facts of another host that were new.
func New(logger *zap.Logger, host model.HostID, feed store.Feed, log *evidence.Log, learned func(model.HostID, []evidence.Fact)) *Store {
	return &Store{
		logger: logger, host: host, feed: feed, log: log, learned: learned,
		pending: make(chan uint64, maxPending), queued: map[uint64]bool{}, recorded: map[uint64]bool{},
		answered: map[uint64]bool{},
	}
}

// Save has the crashes of a quarantined request written. It does not block.
func (s *Store) Save(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueue(fingerprint)
}

// SaveLearned has the crashes of a request written that others have found to complete its quarantine, if this host has seen one of
// them and knows no record. It does not block.
func (s *Store) SaveLearned(fingerprint uint64) {
	if !s.log.HasOwnCrash(fingerprint) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.recorded[fingerprint] {
		s.enqueue(fingerprint)
	}
}

// Withdraw has the record of a request that was answered emptied, if there is one or one is seen later. It does not block.
func (s *Store) Withdraw(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorded[fingerprint] {
		s.enqueue(fingerprint)
		return
	}
	if len(s.answered) >= maxAnswered {
		clear(s.answered) // their records then last until their leases end
	}
	s.answered[fingerprint] = true
}

// enqueue has the evidence about a request written. The caller holds s.mu.
func (s *Store) enqueue(fingerprint uint64) {
	if s.queued[fingerprint] {
		return
	}
	select {
	case s.pending <- fingerprint:
		s.queued[fingerprint] = true
	default:
		s.logger.Warn("evidence not stored: too many requests are waiting", fingerprintField(fingerprint))
	}
}

// Run writes records until the context ends.
func (s *Store) Run(ctx context.Context) {
	for {
		select {
		case fingerprint := <-s.pending:
			s.mu.Lock()
			delete(s.queued, fingerprint)
			s.mu.Unlock()
			s.write(ctx, fingerprint)
		case <-ctx.Done():
			return
		}
	}
}

// write writes the evidence about a request, and tries again while the store does not answer.
func (s *Store) write(ctx context.Context, fingerprint uint64) {
	var err error
	for range maxTries {
		if err = s.tryWrite(ctx, fingerprint); err == nil || ctx.Err() != nil {
			return
		}
		s.logger.Info("failed to store evidence", fingerprintField(fingerprint), zap.Error(err))
		_ = ctxtime.Sleep(ctx, retryInterval) // the loop ends with the context
	}
	s.logger.Warn("evidence not stored", fingerprintField(fingerprint), zap.Error(err))
}

// tryWrite replaces the record of a request by what is known now. A request that has been answered gets a record without
// crashes, which takes the place of an earlier one.
func (s *Store) tryWrite(ctx context.Context, fingerprint uint64) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := monotime.Now()
	judgement := s.log.Judge(now, fingerprint)
	var crashes []evidence.Fact
	lifetime := maxLifetime
	if judgement.Verdict == evidence.Quarantined {
		crashes = s.log.Crashes(now, fingerprint)
		lifetime = min(max(judgement.Left, minLifetime), maxLifetime)
	}
	value, err := encode(s.host, crashes)
	if err != nil {
		return err
	}
	lease, err := s.feed.Grant(bounded, lifetime)
	if err != nil {
		return err
	}
	if err := s.feed.Put(bounded, keyOf(fingerprint), value, lease); err != nil {
		return err
	}
	s.logger.Info("evidence stored", fingerprintField(fingerprint), zap.Int("crashes", len(crashes)), zap.Duration("for", lifetime))
	s.setRecorded(fingerprint, len(crashes) > 0)
	return nil
}

func (s *Store) setRecorded(fingerprint uint64, recorded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if recorded {
		s.recorded[fingerprint] = true
	} else {
		delete(s.recorded, fingerprint)
	}
}

// Reset implements follow.Sink.
func (s *Store) Reset(entries []store.Entry, _ store.Revision) {
	s.mu.Lock()
	clear(s.recorded)
	s.mu.Unlock()
	for _, entry := range entries {
		s.take(entry)
	}
}

// Apply implements follow.Sink.
func (s *Store) Apply(changes []store.Change) {
	for _, change := range changes {
		if !change.Removed {
			s.take(change.Entry)
		} else if fingerprint, ok := fingerprintOf(change.Key); ok {
			s.setRecorded(fingerprint, false)
		}
	}
}

// Lost implements follow.Sink.
func (s *Store) Lost(error) {}

// Regained implements follow.Sink.
func (s *Store) Regained() {}

// take adds the facts of a record to the evidence.
func (s *Store) take(entry store.Entry) {
	fingerprint, ok := fingerprintOf(entry.Key)
	if !ok {
		return
	}
	from, facts, err := decode(fingerprint, entry.Value)
	if err != nil {
		s.logger.Warn("stored evidence ignored", zap.String("key", entry.Key), zap.Uint64("revision", uint64(entry.Revision)), zap.Error(err))
		return
	}
	s.setRecorded(fingerprint, len(facts) > 0)
	if s.log.IsAnswered(fingerprint) {
		s.withdrawAnswered(fingerprint)
		return // its crashes may be earlier than the answer
	}
	if added := s.log.Merge(monotime.Now(), evidence.Batch{Facts: facts}); len(added) > 0 {
		s.learned(from, added)
	}
}

// withdrawAnswered has a record emptied if this host has seen the answer.
func (s *Store) withdrawAnswered(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorded[fingerprint] && s.answered[fingerprint] {
		delete(s.answered, fingerprint)
		s.enqueue(fingerprint)
	}
}
