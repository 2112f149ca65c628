package store

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost is returned when the changes after a revision are no longer known. List the keys again.
var ErrHistoryLost = errors.New("store: the changes after this revision are no longer kept; list the keys again")

// ErrLeaseEnded is returned for a lease that does not exist any more. Grant another one.
var ErrLeaseEnded = errors.New("store: the lease has ended; grant another one")

// Change is a write or a removal of a key.
type Change struct {
	Entry
	// Removed tells that the key has no value any more.
	Removed bool
}

// LeaseID names a lease.
type LeaseID uint64

// Feed is a store that lists and watches ranges of keys and holds keys under leases. Implementations are safe for
// concurrent use.
type Feed interface {
	// List returns the entries of the keys with the prefix, and the revision after which Changes continues. The entries
	// are not a snapshot. Errors: ErrUnavailable.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Peek is a List whose answer may be seconds old. It costs less. Errors: ErrUnavailable.
	Peek(ctx context.Context, prefix string) ([]Entry, error)
	// Changes waits for changes after the revision and returns them with the revision to continue from. It returns none
	// when the wait has passed. Errors: ErrHistoryLost, ErrUnavailable.
	Changes(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
	// Grant returns a lease that ends ttl after its last renewal. Errors: ErrUnavailable.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease. Errors: ErrLeaseEnded, ErrUnavailable.
	Renew(ctx context.Context, lease LeaseID) error
	// Put writes a key under a lease without a condition. Errors: ErrLeaseEnded, ErrUnavailable, ErrOutcomeUnknown.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
	// Create writes a key under a lease if it has no value. Errors: ErrConflict and those of Put.
	Create(ctx context.Context, key string, value []byte, lease LeaseID) error
}
