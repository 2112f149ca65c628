// Package storetest provides the conformance test suite for implementations of store.Store.
package storetest

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// Subject is an empty store under test, with functions that inject failures.
type Subject struct {
	Store store.Store
	// SetDown makes every call fail before it takes effect.
	SetDown func(down bool)
	// SetDelay delays each call.
	SetDelay func(delay time.Duration)
	// LoseAnswers makes the next count writes take effect without a reply.
	LoseAnswers func(count int)
	// Timeout is the store client's timeout for calls other than Watch, or 0 if only the caller's context bounds them.
	Timeout time.Duration
}

const key = "head"

// longDelay exceeds every timeout, so that a call delayed by it fails.
const longDelay = time.Minute

// Run runs the suite. newSubject must return a new, empty store for each test.
func Run(t *testing.T, newSubject func(t *testing.T) Subject) {
	tests := map[string]func(*testing.T, Subject){
		"missing key":                 missingKey,
		"compare and swap":            compareAndSwap,
		"keys are independent":        keysAreIndependent,
		"one of many writers wins":    oneOfManyWritersWins,
		"value limit":                 valueLimit,
		"down":                        storeDown,
		"slow":                        slowStore,
		"lost reply":                  lostReply,
		"watch returns current value": watchReturnsCurrentValue,
		"watch waits for change":      watchWaitsForChange,
		"watch ends with context":     watchEndsWithContext,
		"watch ends with outage":      watchEndsWithOutage,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(t, newSubject(t)) })
	}
}

func put(t *testing.T, s Subject, expected store.Revision, value string) store.Revision {
	t.Helper()
	revision, err := s.Store.CompareAndSwap(t.Context(), key, expected, []byte(value))
	require.NoError(t, err)
	return revision
}

func requireValue(t *testing.T, s Subject, value string) {
	t.Helper()
	entry, err := s.Store.Get(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, value, string(entry.Value))
}

func missingKey(t *testing.T, s Subject) {
	_, err := s.Store.Get(t.Context(), key)
	require.ErrorIs(t, err, store.ErrNotFound)
	_, err = s.Store.CompareAndSwap(t.Context(), key, 1, []byte("x"))
	require.ErrorIs(t, err, store.ErrConflict)
}

func compareAndSwap(t *testing.T, s Subject) {
	first := put(t, s, 0, "one")
	second := put(t, s, first, "two")
	require.Greater(t, second, first)
	entry, err := s.Store.Get(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, store.Entry{Key: key, Value: []byte("two"), Revision: second}, entry)
	for _, stale := range []store.Revision{0, first, second + 1} {
		_, err = s.Store.CompareAndSwap(t.Context(), key, stale, []byte("three"))
		require.ErrorIs(t, err, store.ErrConflict)
	}
	requireValue(t, s, "two")
}

func keysAreIndependent(t *testing.T, s Subject) {
	put(t, s, 0, "one")
	_, err := s.Store.CompareAndSwap(t.Context(), "fleet", 0, []byte("other"))
	require.NoError(t, err)
	requireValue(t, s, "one")
}

func oneOfManyWritersWins(t *testing.T, s Subject) {
	first := put(t, s, 0, "start")
	var group sync.WaitGroup
	outcomes := make([]error, 8)
	for i := range outcomes {
		group.Go(func() {
			_, outcomes[i] = s.Store.CompareAndSwap(t.Context(), key, first, []byte{byte('a' + i)})
		})
	}
	group.Wait()
	winners := ""
	for i, err := range outcomes {
		if err == nil {
			winners += string(rune('a' + i))
			continue
		}
		require.ErrorIs(t, err, store.ErrConflict)
	}
	require.Len(t, winners, 1)
	requireValue(t, s, winners)
}

func valueLimit(t *testing.T, s Subject) {
	_, err := s.Store.CompareAndSwap(t.Context(), key, 0, make([]byte, store.MaxValueBytes+1))
	require.ErrorIs(t, err, store.ErrTooLarge)
	_, err = s.Store.Get(t.Context(), key)
	require.ErrorIs(t, err, store.ErrNotFound)
	_, err = s.Store.CompareAndSwap(t.Context(), key, 0, make([]byte, store.MaxValueBytes))
	require.NoError(t, err)
	entry, err := s.Store.Get(t.Context(), key)
	require.NoError(t, err)
	require.Len(t, entry.Value, store.MaxValueBytes)
}

func storeDown(t *testing.T, s Subject) {
	first := put(t, s, 0, "one")
	s.SetDown(true)
	_, err := s.Store.Get(t.Context(), key)
	require.ErrorIs(t, err, store.ErrUnavailable)
	_, err = s.Store.CompareAndSwap(t.Context(), key, first, []byte("two"))
	require.Error(t, err)
	require.NotErrorIs(t, err, store.ErrConflict, "an outage must not be reported as a conflict")
	_, err = s.Store.Watch(t.Context(), key, first)
	require.ErrorIs(t, err, store.ErrUnavailable)
	s.SetDown(false)
	requireValue(t, s, "one")
	put(t, s, first, "two")
}

func slowStore(t *testing.T, s Subject) {
	first := put(t, s, 0, "one")
	s.SetDelay(longDelay)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := s.Store.Get(ctx, key)
	require.ErrorIs(t, err, store.ErrUnavailable)
	_, err = s.Store.CompareAndSwap(ctx, key, first, []byte("two"))
	require.Error(t, err)
	require.NotErrorIs(t, err, store.ErrConflict, "a timeout must not be reported as a conflict")
	if s.Timeout > 0 {
		_, err = s.Store.Get(t.Context(), key)
		require.ErrorIs(t, err, store.ErrUnavailable, "the client's own timeout must end the call")
	}
	s.SetDelay(0)
	_, err = s.Store.Get(t.Context(), key)
	require.NoError(t, err)
}

func lostReply(t *testing.T, s Subject) {
	first := put(t, s, 0, "one")
	s.LoseAnswers(1)
	_, err := s.Store.CompareAndSwap(t.Context(), key, first, []byte("two"))
	require.ErrorIs(t, err, store.ErrOutcomeUnknown)
	requireValue(t, s, "two")
	_, err = s.Store.CompareAndSwap(t.Context(), key, first, []byte("two"))
	require.ErrorIs(t, err, store.ErrConflict, "the lost write took effect")
}

func watchReturnsCurrentValue(t *testing.T, s Subject) {
	first := put(t, s, 0, "one")
	entry, err := s.Store.Watch(t.Context(), key, 0)
	require.NoError(t, err)
	require.Equal(t, store.Entry{Key: key, Value: []byte("one"), Revision: first}, entry)
}

func watchWaitsForChange(t *testing.T, s Subject) {
	first := put(t, s, 0, "one")
	seen := make(chan store.Entry, 1)
	go func() {
		entry, err := s.Store.Watch(t.Context(), key, first)
		if err == nil {
			seen <- entry
		}
		close(seen)
	}()
	_, err := s.Store.CompareAndSwap(t.Context(), "fleet", 0, []byte("other"))
	require.NoError(t, err)
	second := put(t, s, first, "two")
	require.Equal(t, store.Entry{Key: key, Value: []byte("two"), Revision: second}, <-seen)
}

func watchEndsWithContext(t *testing.T, s Subject) {
	first := put(t, s, 0, "one")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := s.Store.Watch(ctx, key, first)
	require.Error(t, err)
}

func watchEndsWithOutage(t *testing.T, s Subject) {
	first := put(t, s, 0, "one")
	ended := make(chan error, 1)
	go func() {
		_, err := s.Store.Watch(t.Context(), key, first)
		ended <- err
	}()
	s.SetDown(true)
	require.ErrorIs(t, <-ended, store.ErrUnavailable)
}
