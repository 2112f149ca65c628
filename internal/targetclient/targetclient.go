// Package targetclient defines the interface through which the router sends requests to targets, and implements it over
// HTTP/1.1.
package targetclient

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// SearchRequest asks a target for the hits of one shard at one version.
type SearchRequest struct {
	Attempt    model.AttemptID `json:"attempt"`
	Index      model.IndexID   `json:"index"`
	Shard      model.ShardID   `json:"shard"`
	Version    model.Version   `json:"version"`
	Query      json.RawMessage `json:"query"`
	Limit      int             `json:"limit"`
	DeadlineMS int64           `json:"deadline_ms"`
}

// SearchReply is a target's reply to a SearchRequest. The receiver must check that it matches the request.
type SearchReply struct {
	Attempt     model.AttemptID   `json:"attempt"`
	Target      model.TargetID    `json:"target"`
	Incarnation model.Incarnation `json:"incarnation"`
	Index       model.IndexID     `json:"index"`
	Shard       model.ShardID     `json:"shard"`
	Version     model.Version     `json:"version"`
	model.KeyRange
	Hits []model.Hit `json:"hits"`
}

// Answers reports whether the reply covers exactly the given part of a snapshot.
func (r *SearchReply) Answers(part *snapshot.Part) bool {
	if r.Index != part.Index || r.Shard != part.ID || r.Version != part.Version || r.KeyRange != part.KeyRange {
		return false
	}
	for i := range r.Hits {
		if r.Hits[i].Index != part.Index {
			return false
		}
	}
	return true
}

// ExecuteRequest asks a target to execute an operation.
type ExecuteRequest struct {
	Attempt    model.AttemptID `json:"attempt"`
	Service    model.ServiceID `json:"service"`
	Operation  string          `json:"operation"`
	Payload    json.RawMessage `json:"payload"`
	DeadlineMS int64           `json:"deadline_ms"`
	// Unwanted is closed when nobody waits for the operation any more. It is not sent then, if it was not sent before. It may be nil.
	Unwanted <-chan struct{} `json:"-"`
}

// ExecuteReply is the result of an operation.
type ExecuteReply struct {
	Attempt     model.AttemptID   `json:"attempt"`
	Target      model.TargetID    `json:"target"`
	Incarnation model.Incarnation `json:"incarnation"`
	Result      json.RawMessage   `json:"result"`
}

// Errors of a TargetClient. An error whose comment says "Not run." proves that the attempt did not run.
var (
	// ErrNotSent means that no byte of the request left this host. Not run.
	ErrNotSent = errors.New("target: request was not sent")
	// ErrShed means that the target refused the attempt because of overload. Not run.
	ErrShed = errors.New("target: shed the request")
	// ErrDraining means that the target refused the attempt because it is draining. Not run.
	ErrDraining = errors.New("target: draining")
	// ErrDeadline means that the target refused the attempt because its deadline had passed. Not run.
	ErrDeadline = errors.New("target: deadline passed before the start")
	// ErrVersionGone means that the target no longer holds the requested version. Not run.
	ErrVersionGone = errors.New("target: version gone")
	// ErrCancelled means that the target stopped the attempt on request.
	ErrCancelled = errors.New("target: attempt cancelled")
	// ErrMismatch means that the reply belongs to another attempt or is incomplete. The attempt may have run.
	ErrMismatch = errors.New("target: reply does not match the request")
	// ErrLost means that the connection ended before the reply was complete. The attempt may have run.
	ErrLost = errors.New("target: connection lost before the reply")
	// ErrLate means that the complete reply arrived after the deadline. The attempt ran.
	ErrLate = errors.New("target: reply arrived after the deadline")
	// ErrNoRoom means that the reply was given up because this host has no memory for it. The attempt may have run.
	ErrNoRoom = errors.New("target: no memory for the reply")
	// ErrNoReply means that no byte of the reply arrived before the timeout. The attempt may have run.
	ErrNoReply = errors.New("target: connection silent")
)

// IsNotRun reports whether the error proves that the attempt did not run.
func IsNotRun(err error) bool {
	for _, known := range []error{ErrNotSent, ErrShed, ErrDraining, ErrDeadline, ErrVersionGone} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// TargetClient sends requests to targets. Implementations are safe for concurrent use and never send an attempt twice.
//
// Search and Execute return when the reply to the attempt has arrived, so that the slot at the target is free again, or at
// the latest ReplyGrace after the deadline of the request or the context, whichever is earlier. When the context is
// cancelled, an attempt that has not been sent returns ErrNotSent immediately. One that has been sent is cancelled at the
// target, and the call continues to wait for its reply.
type TargetClient interface {
	// Search runs a search attempt.
	Search(ctx context.Context, target model.Target, request SearchRequest) (SearchReply, error)
	// Execute runs an operation. It also returns a reply that arrives after the deadline, because it contains the outcome.
	Execute(ctx context.Context, target model.Target, request ExecuteRequest) (ExecuteReply, error)
	// Cancel asks the target to stop an attempt. The slot is free once the reply to the attempt itself has arrived.
	Cancel(ctx context.Context, target model.Target, attempt model.AttemptID) error
	// Status returns the target's status report. The context's deadline limits the wait.
	Status(ctx context.Context, target model.Target) (model.TargetStatus, error)
}
