// Package store defines the interface to the platform's key-value service, which stores the configuration.
package store

import (
	"context"
	"errors"
)

// Revision is the number of a change in the store, together with the number of the history that the change belongs to. It increases
// monotonically: a store that comes back from an older copy of its data gives out numbers again, but in a new history.
type Revision uint64

// historyShift is the number of bits of a revision for the number of a change. JSON numbers are exact up to one bit more.
const historyShift = 52

// MaxHistory is the highest number of a history.
const MaxHistory = 1<<(64-historyShift) - 1

// NewRevision returns the revision of a change in a history.
func NewRevision(history, number uint64) Revision {
	return Revision(history<<historyShift | number&(1<<historyShift-1))
}

// History returns the number of the revision's history.
func (r Revision) History() uint64 { return uint64(r) >> historyShift }

// Number returns the number of the change within its history.
func (r Revision) Number() uint64 { return uint64(r) & (1<<historyShift - 1) }

// Entry is the value of a key at a revision.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// MaxValueBytes is the maximum size of a value in the store.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound is returned for a key that does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict is returned when the key's revision differs from the expected one. Nothing was written.
	ErrConflict = errors.New("store: revision is not the expected one; read the key and try again")
	// ErrUnavailable is returned when the store is unreachable. Nothing was written.
	ErrUnavailable = errors.New("store: unavailable; try again later")
	// ErrOutcomeUnknown is returned when a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("store: no reply to a write; read the key to find out whether it took effect")
	// ErrTooLarge is returned for a value larger than MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("store: value is larger than 1 MiB; split it into segments")
)

// Store is the platform's key-value service. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the entry of a key. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's revision equals expected, and returns the new revision. An expected
	// revision of 0 means that the key must not exist.
	// Errors: ErrConflict, ErrUnavailable, ErrOutcomeUnknown, ErrTooLarge.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte) (Revision, error)
	// Watch blocks until the key's revision is greater than after and returns the entry.
	// Errors: ErrUnavailable, or the error of the context.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
}
