// Package targetclient is the port to targets.
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

// SearchReply is a target's answer. The receiver checks that it matches the request.
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

// Answers tells whether the reply answers exactly the part of a snapshot.
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
}

// ExecuteReply is the result of an operation.
type ExecuteReply struct {
	Attempt     model.AttemptID   `json:"attempt"`
	Target      model.TargetID    `json:"target"`
	Incarnation model.Incarnation `json:"incarnation"`
	Result      json.RawMessage   `json:"result"`
}

// The errors of a TargetClient. Those whose comment says "not run" prove that the attempt did not run.
var (
	// ErrNotSent means that no byte of the request left this host. Not run.
	ErrNotSent = errors.New("target: request was not sent")
	// ErrShed means that the target refused for load. Not run.
	ErrShed = errors.New("target: shed the request")
	// ErrDraining means that the target refused because it is leaving. Not run.
	ErrDraining = errors.New("target: draining")
	// ErrDeadline means that the target refused because the deadline had passed. Not run.
	ErrDeadline = errors.New("target: deadline passed before the start")
	// ErrVersionGone means that the target does not hold the version any more. Not run.
	ErrVersionGone = errors.New("target: version gone")
	// ErrCancelled means that the target stopped the attempt on request.
	ErrCancelled = errors.New("target: attempt cancelled")
	// ErrMismatch means that the reply belongs to another attempt or is not whole. The attempt may have run.
	ErrMismatch = errors.New("target: reply does not match the request")
	// ErrLost means that the connection ended before the reply. The attempt may have run.
	ErrLost = errors.New("target: connection lost before the reply")
	// ErrLate means that the whole reply arrived after the deadline. The attempt ran.
	ErrLate = errors.New("target: reply arrived after the deadline")
	// ErrSilent means that the connection carried no byte for the activity timeout. The attempt may have run.
	ErrSilent = errors.New("target: connection silent")
)

// IsNotRun tells whether the error proves that the attempt did not run.
func IsNotRun(err error) bool {
	for _, known := range []error{ErrNotSent, ErrShed, ErrDraining, ErrDeadline, ErrVersionGone} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// TargetClient sends work to targets. Implementations are safe for concurrent use and never send an attempt twice.
//
// Search and Execute return when the attempt's own reply has arrived, so the slot at the target is free when they return,
// or at the latest SilenceGrace after the deadline, which is the request's or the context's, whichever is first. When
// the context is cancelled, an attempt that was not sent returns ErrNotSent at once; one that was sent is cancelled at
// the target, and the call goes on waiting for its reply.
type TargetClient interface {
	// Search runs a search attempt.
	Search(ctx context.Context, target model.Target, request SearchRequest) (SearchReply, error)
	// Execute runs an operation. A reply that arrives late is returned, because it tells the outcome.
	Execute(ctx context.Context, target model.Target, request ExecuteRequest) (ExecuteReply, error)
	// Cancel asks the target to stop an attempt. The slot is free when the attempt's own reply arrives.
	Cancel(ctx context.Context, target model.Target, attempt model.AttemptID) error
	// Status returns the target's report about itself. The context's deadline bounds the wait.
	Status(ctx context.Context, target model.Target) (model.TargetStatus, error)
}
