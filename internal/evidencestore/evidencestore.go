// Package evidencestore keeps the crashes of requests that crash targets in the platform's store, so that they outlive the hosts.
//
// The load that it answers: all hosts are killed at the same moment, and with them the evidence that they hold for each other.
// A caller then sends the request that crashes targets again. Only requests that have crashed two targets are written, by hosts that
// have seen one of the crashes themselves: a few calls for each such request, however many hosts there are.
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
	// minKeptCrashes is the number of crashes from which a request that is not quarantined yet is kept. An ordinary end of a target
	// is one crash of each request that was there, and not worth two calls for each.
	minKeptCrashes = 2
	// completeRecord is the number of crashes from which a record is complete: hosts that read it refuse the request.
	completeRecord = 3
	// settleTime is how long a record waits before it is written. A proper request that two targets ended under is answered by
	// another one meanwhile.
	settleTime = 300 * time.Millisecond
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

	pending chan pendingRecord
	mu      sync.Mutex
	queued  map[uint64]bool
	// recorded holds the numbers of crashes in the store, by request.
	recorded map[uint64]int
	// answered holds requests that were answered here and had no record. One may be on its way.
	answered map[uint64]bool
}

// pendingRecord is a request whose record is to be written, at the monotime reading due at the earliest.
type pendingRecord struct {
	fingerprint uint64
	due         time.Duration
}

// New returns a Store for the evidence in log. learned is called with the facts of another host that were new.
func New(logger *zap.Logger, host model.HostID, feed store.Feed, log *evidence.Log, learned func(model.HostID, []evidence.Fact)) *Store {
	return &Store{
		logger: logger, host: host, feed: feed, log: log, learned: learned,
		pending: make(chan pendingRecord, maxPending), queued: map[uint64]bool{}, recorded: map[uint64]int{},
		answered: map[uint64]bool{},
	}
}

// IsWorthKeeping reports whether the crashes of a request must outlive the hosts: those of a quarantined request, and those of one
// that has crashed minKeptCrashes targets.
func IsWorthKeeping(j evidence.Judgement) bool {
	return j.Verdict == evidence.Quarantined || j.Crashes >= minKeptCrashes
}

// Save has the crashes of a request written that is worth keeping. It does not block.
func (s *Store) Save(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueue(fingerprint)
}

// SaveLearned has the crashes of a request written that others have found to make it worth keeping, if this host has seen one of them
// and knows no record of as many crashes, or a complete one. It does not block.
func (s *Store) SaveLearned(fingerprint uint64, crashes int) {
	if !s.log.HasOwnCrash(fingerprint) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorded[fingerprint] < min(crashes, completeRecord) {
		s.enqueue(fingerprint)
	}
}

// Withdraw has the record of a request that was answered emptied, if there is one or one is seen later. It does not block.
func (s *Store) Withdraw(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorded[fingerprint] > 0 {
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
	case s.pending <- pendingRecord{fingerprint, monotime.Now() + settleTime}:
		s.queued[fingerprint] = true
	default:
		s.logger.Warn("evidence not stored: too many requests are waiting", fingerprintField(fingerprint))
	}
}

// Run writes records until the context ends.
func (s *Store) Run(ctx context.Context) {
	for {
		select {
		case next := <-s.pending:
			_ = ctxtime.Sleep(ctx, next.due-monotime.Now()) // the loop ends with the context
			s.mu.Lock()
			delete(s.queued, next.fingerprint)
			s.mu.Unlock()
			s.write(ctx, next.fingerprint)
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
	switch {
	case judgement.Verdict == evidence.Quarantined:
		crashes = s.log.Crashes(now, fingerprint)
		lifetime = min(max(judgement.Left, minLifetime), maxLifetime)
	case IsWorthKeeping(judgement):
		crashes = s.log.Crashes(now, fingerprint)
		if s.recordedCrashes(fingerprint) >= len(crashes) {
			return nil // another host was first
		}
	case s.recordedCrashes(fingerprint) == 0:
		return nil // answered in the meantime
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
	s.setRecorded(fingerprint, len(crashes))
	return nil
}

func (s *Store) recordedCrashes(fingerprint uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorded[fingerprint]
}

func (s *Store) setRecorded(fingerprint uint64, crashes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if crashes > 0 {
		s.recorded[fingerprint] = crashes
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
			s.setRecorded(fingerprint, 0)
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
	s.setRecorded(fingerprint, len(facts))
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
	if s.recorded[fingerprint] > 0 && s.answered[fingerprint] {
		delete(s.answered, fingerprint)
		s.enqueue(fingerprint)
	}
}
