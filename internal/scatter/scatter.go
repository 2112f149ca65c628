// Package scatter implements the state machine of one scatter-gather query: which attempts to send, hedge, retry and
// cancel, when to restart at a newer snapshot, and when the result is ready. It performs no I/O and reads no clock:
// callers pass in events and the current time and carry out the returned actions.
package scatter

import (
	"errors"
	"syscall"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// Mode determines when a query returns its result.
type Mode string

const (
	// Fast returns once the minimum coverage is reached and the soft deadline has passed, or the missing parts have no
	// target that accepts connections.
	Fast Mode = "fast"
	// Full waits for every shard until the deadline.
	Full Mode = "full"
)

// Kind is the reason why an attempt is sent.
type Kind string

const (
	// First is the first attempt at a part.
	First Kind = "first"
	// Replacement follows an attempt that caused no work on its target: not sent, draining or version gone. It adds no
	// load and therefore needs no budget.
	Replacement Kind = "replacement"
	// Retry follows an attempt that failed for any other reason. It needs budget.
	Retry Kind = "retry"
	// Hedge runs concurrently with an attempt that takes longer than usual. It needs budget.
	Hedge Kind = "hedge"
	// LateHedge is a hedge that could not be sent at its first scheduled time. It may use the reserve of the budget.
	// Without a reserve, hedges of ordinary tail latency would use up the budget and leave none for stuck attempts.
	LateHedge Kind = "late_hedge"
)

// IsExtra reports whether the attempt adds load and therefore needs budget.
func (k Kind) IsExtra() bool { return k == Retry || k.IsHedge() }

// IsHedge reports whether the attempt runs concurrently with another attempt at the same part.
func (k Kind) IsHedge() bool { return k == Hedge || k == LateHedge }

// Attempt is one attempt at one part.
type Attempt struct {
	// ID numbers the attempts of a query, starting at 0.
	ID int
	// Round is 0 before and 1 after a restart at a newer snapshot.
	Round int
	// Part is the index into the parts of the round's snapshot.
	Part   int
	Target model.TargetID
	Kind   Kind
	Sent   time.Duration
}

// ActionType tells what an Action asks for.
type ActionType uint8

// Action types.
const (
	Send ActionType = iota + 1
	Cancel
)

// Action is an instruction to the code that drives the machine: send an attempt, or ask its target to cancel it.
type Action struct {
	Type    ActionType
	Attempt Attempt
	// SnapshotPart is the part of the snapshot that the attempt asks for.
	SnapshotPart *snapshot.Part
}

// PickResult is the result of Picker.Pick.
type PickResult uint8

const (
	// Picked means that a target was chosen and capacity on it was reserved for the attempt.
	Picked PickResult = iota + 1
	// NoTarget means that no replica can take the attempt now.
	NoTarget
	// NoBudget means that the budget for extra attempts is exhausted.
	NoBudget
	// NoTargetInTime means that no replica will take an attempt early enough for the answer.
	NoTargetInTime
)

// Picker makes the decisions that depend on state shared between queries.
type Picker interface {
	// Pick chooses a target for an attempt at the part, other than the excluded ones, and reserves capacity for the
	// attempt. The machine always returns a Send action for a target that was picked.
	Pick(now time.Duration, part *snapshot.Part, kind Kind, exclude []model.TargetID) (model.TargetID, PickResult)
	// HedgeDelay returns how long to wait for an attempt at the part before a hedge is worth its load.
	HedgeDelay(part *snapshot.Part) time.Duration
	// Backoff returns the jittered delay before the given retry of a part. Retries are counted from 1.
	Backoff(retry int) time.Duration
	// Newer returns a snapshot to restart at that is not older than the present one, if one is known.
	Newer(present snapshot.Snapshot) (snapshot.Snapshot, bool)
}

// Reply is a target's complete reply to one attempt.
type Reply interface {
	// Answers reports whether the reply answers exactly the given part.
	Answers(part *snapshot.Part) bool
}

// Config describes one query.
type Config struct {
	Snapshot snapshot.Snapshot
	// Pinned prevents a restart at another snapshot, for example because the caller requested this one.
	Pinned bool
	Mode   Mode
	// MinCoverage is the coverage, from 0 to 1, from which Fast mode returns at the soft deadline.
	MinCoverage float64
	// SoftDeadline and Deadline are on the same clock as the times passed to the Machine.
	SoftDeadline time.Duration
	Deadline     time.Duration
	// Suspect limits a query that may crash targets: it sends a single attempt first and the other shards only after
	// that attempt has succeeded, without hedges or retries.
	Suspect bool
	// FirstPart is the index of the part at which a suspect query begins, modulo the number of parts. If all runs of a query that
	// crashes targets began at the same part, that part would lose all its targets.
	FirstPart int
	// AtMostOnce prevents the query from running more than once at a part: it is not hedged, and a further attempt is
	// sent only after a failure that proves that the previous one did not run.
	AtMostOnce bool
	// AttemptsPerPart bounds the attempts at one part that may have run; 0 means that only the total is bounded.
	AttemptsPerPart int
	// RetryLost allows further attempts after a lost connection. The caller of the machine must then detect requests that
	// crash targets itself.
	RetryLost bool
	// RetryNotRun allows a suspect query further attempts after one that did not run, which cannot have crashed its target.
	RetryNotRun bool
}

// Failure classifies the failure of an attempt.
type Failure string

// Attempt failures.
const (
	FailedNotSent Failure = "not_sent"
	// FailedUnreachable means that nothing listens at the target's address: its process is gone, for seconds at least.
	FailedUnreachable Failure = "unreachable"
	FailedShed        Failure = "shed"
	FailedDraining    Failure = "draining"
	FailedDeadline    Failure = "deadline"
	FailedVersionGone Failure = "version_gone"
	FailedCancelled   Failure = "cancelled"
	FailedMismatch    Failure = "mismatch"
	FailedLost        Failure = "lost"
	FailedNoReply     Failure = "silent"
	FailedLate        Failure = "late"
	// FailedNoRoom means that this host had no memory for the reply.
	FailedNoRoom Failure = "no_room"
	FailedOther  Failure = "other"
)

var failuresByError = []struct {
	err     error
	failure Failure
}{
	{syscall.ECONNREFUSED, FailedUnreachable}, // precedes ErrNotSent, which wraps it
	{targetclient.ErrNotSent, FailedNotSent},
	{targetclient.ErrShed, FailedShed},
	{targetclient.ErrDraining, FailedDraining},
	{targetclient.ErrDeadline, FailedDeadline},
	{targetclient.ErrVersionGone, FailedVersionGone},
	{targetclient.ErrCancelled, FailedCancelled},
	{targetclient.ErrMismatch, FailedMismatch},
	{targetclient.ErrLate, FailedLate},
	{targetclient.ErrNoRoom, FailedNoRoom},
	{targetclient.ErrNoReply, FailedNoReply},
	{targetclient.ErrLost, FailedLost},
}

// Classify maps an error of package targetclient, or the cause that it wraps, to a Failure. Unknown errors are FailedOther.
func Classify(err error) Failure {
	for _, known := range failuresByError {
		if errors.Is(err, known.err) {
			return known.failure
		}
	}
	return FailedOther
}

// NotRun reports whether the failure proves that the attempt did not run.
func (f Failure) NotRun() bool {
	switch f {
	case FailedNotSent, FailedUnreachable, FailedShed, FailedDraining, FailedDeadline, FailedVersionGone:
		return true
	}
	return false
}

// replaceable reports whether the failed attempt caused no work on its target.
func (f Failure) replaceable() bool {
	switch f {
	case FailedNotSent, FailedUnreachable, FailedDraining, FailedVersionGone:
		return true
	}
	return false
}

// final reports whether the target can no longer answer the part.
func (f Failure) final() bool { return f == FailedDraining || f == FailedVersionGone }
