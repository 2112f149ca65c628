// Package store is the port to the platform's key-value service, which holds the configuration.
package store

import (
	"context"
	"errors"
)

// Revision numbers the changes of the store. It only grows.
type Revision uint64

// Entry is a key's value at a revision.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
}

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound is returned for a key without a value.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict is returned when the key's revision is not the expected one. Nothing was written.
	ErrConflict = errors.New("store: revision is not the expected one; read the key and try again")
	// ErrUnavailable is returned when the store can't be reached. Nothing was written.
	ErrUnavailable = errors.New("store: unavailable; try again later")
	// ErrOutcomeUnknown is returned when a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("store: no answer to a write; read the key to learn whether it took effect")
	// ErrTooLarge is returned for a value over MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("store: value is larger than 1 MiB; split it into segments")
)

// Store is the platform's key-value service. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the entry of a key. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's revision is expected; 0 means that the key must not exist.
	// Errors: ErrConflict, ErrUnavailable, ErrOutcomeUnknown, ErrTooLarge.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte) (Revision, error)
	// Watch blocks until the key has a revision above after and returns its entry.
	// Errors: ErrUnavailable, or the context's error.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
}
