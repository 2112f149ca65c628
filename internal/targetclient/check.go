package targetclient

import (
	"context"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// ReplyGrace is the time past an attempt's deadline after which a connection without a reply is considered unresponsive.
// The reply of a target that meets the deadline arrives within this time.
const ReplyGrace = 50 * time.Millisecond

// CheckSearch returns ErrMismatch unless the reply belongs to the request.
func CheckSearch(target model.TargetID, request *SearchRequest, reply *SearchReply) error {
	matches := reply.Attempt == request.Attempt && reply.Target == target && reply.Index == request.Index &&
		reply.Shard == request.Shard && reply.Version == request.Version
	if !matches {
		return ErrMismatch
	}
	return nil
}

// CheckExecute returns ErrMismatch unless the reply belongs to the request.
func CheckExecute(target model.TargetID, request *ExecuteRequest, reply *ExecuteReply) error {
	if reply.Attempt != request.Attempt || reply.Target != target {
		return ErrMismatch
	}
	return nil
}

// AttemptDeadline returns the time by which an attempt must be answered: deadlineMS milliseconds from now or the context's
// deadline, whichever is earlier.
func AttemptDeadline(ctx context.Context, deadlineMS int64) time.Time {
	deadline := time.Now().Add(time.Duration(deadlineMS) * time.Millisecond)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		return limit
	}
	return deadline
}
