package store

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost is returned when the changes after a revision have been compacted. The caller must list the keys again.
var ErrHistoryLost = errors.New("store: the changes after this revision are no longer available; list the keys again")

// ErrLeaseEnded is returned for a lease that has expired. The caller must obtain a new one.
var ErrLeaseEnded = errors.New("store: the lease has ended; grant another one")

// Change is a write or deletion of a key.
type Change struct {
	Entry
	// Removed reports whether the key was deleted.
	Removed bool
}

// LatestChanges returns the last change of each key, in the given order. It reuses the slice.
func LatestChanges(changes []Change) []Change {
	last := make(map[string]int, len(changes))
	for i := range changes {
		last[changes[i].Key] = i
	}
	kept := changes[:0]
	for i := range changes {
		if last[changes[i].Key] == i {
			kept = append(kept, changes[i])
		}
	}
	clear(changes[len(kept):])
	return kept
}

// LeaseID identifies a lease.
type LeaseID uint64

// Feed is a store that supports listing and watching keys by prefix, and keys that are bound to leases. Implementations
// are safe for concurrent use.
type Feed interface {
	// List returns the entries whose keys have the prefix, and the revision to pass to Changes. The entries are not a
	// consistent snapshot. Errors: ErrUnavailable.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// ListStale is a cheaper List whose result may be several seconds stale. Errors: ErrUnavailable.
	ListStale(ctx context.Context, prefix string) ([]Entry, error)
	// Changes waits up to wait for changes after the given revision. It returns them with the revision to pass to the next
	// call, or no changes if the wait times out. Errors: ErrHistoryLost, ErrUnavailable.
	Changes(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
	// Grant creates a lease that expires ttl after its last renewal. Errors: ErrUnavailable.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease. Errors: ErrLeaseEnded, ErrUnavailable.
	Renew(ctx context.Context, lease LeaseID) error
	// Put writes a key unconditionally and binds it to a lease. Errors: ErrLeaseEnded, ErrUnavailable, ErrOutcomeUnknown.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
	// Create writes a key that does not exist and binds it to a lease. Errors: ErrConflict and those of Put.
	Create(ctx context.Context, key string, value []byte, lease LeaseID) error
}
