// Package scatter is the state machine of one query: which attempts to send, hedge, retry and cancel, when to restart at
// a newer snapshot, and when the answer is ready. It is pure: events go in, actions come out, and time is passed in.
package scatter

import (
	"errors"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// Mode tells when a query answers.
type Mode string

const (
	// Fast answers once the minimum coverage is reached and the soft deadline has passed.
	Fast Mode = "fast"
	// Full waits for every shard until the deadline.
	Full Mode = "full"
)

// Kind is the reason for an attempt.
type Kind string

const (
	// First is the first attempt at a part.
	First Kind = "first"
	// Replacement follows an attempt that put no work on a target: not sent, draining or version gone. It needs no
	// budget, because it adds no load.
	Replacement Kind = "replacement"
	// Retry follows an attempt that failed otherwise. It needs budget.
	Retry Kind = "retry"
	// Hedge runs beside an attempt that takes long. It needs budget.
	Hedge Kind = "hedge"
	// LateHedge is a hedge that the budget refused at its first time. It may use the reserve of the budget: hedges of
	// the usual tail would otherwise leave nothing for an attempt that is stuck.
	LateHedge Kind = "late_hedge"
)

// Extra tells whether the attempt adds load, so that it needs budget.
func (k Kind) Extra() bool { return k == Retry || k.Beside() }

// Beside tells whether the attempt runs beside another one.
func (k Kind) Beside() bool { return k == Hedge || k == LateHedge }

// Attempt is one attempt at one part.
type Attempt struct {
	// ID is the attempt's number within the query, from 0.
	ID int
	// Round is 0 before and 1 after a restart at a newer snapshot.
	Round int
	// Part is the position in the parts of the round's snapshot.
	Part   int
	Target model.TargetID
	Kind   Kind
	Sent   time.Duration
}

// ActionType is the type of an Action.
type ActionType uint8

// The types of actions.
const (
	Send ActionType = iota + 1
	Cancel
)

// Action is work for the driver: send an attempt, or ask its target to cancel it.
type Action struct {
	Type    ActionType
	Attempt Attempt
	// What describes the shard to ask for.
	What *snapshot.Part
}

// Verdict is the outcome of a Pick.
type Verdict uint8

const (
	// Picked means that a target was chosen and a place at it was taken.
	Picked Verdict = iota + 1
	// NoTarget means that no replica may get the attempt now.
	NoTarget
	// NoBudget means that the budget for extra attempts is used up.
	NoBudget
)

// Picker supplies the decisions that depend on more than this query.
type Picker interface {
	// Pick chooses a target for an attempt at the part, none of the excluded ones, and takes a place for the attempt. The
	// machine always returns a Send action for a target that was picked.
	Pick(now time.Duration, part *snapshot.Part, kind Kind, exclude []model.TargetID) (model.TargetID, Verdict)
	// HedgeDelay returns the time after which a second attempt at the part is worth its load.
	HedgeDelay(part *snapshot.Part) time.Duration
	// Backoff returns the jittered wait before the given retry of a part, counted from 1.
	Backoff(retry int) time.Duration
	// Newer returns a snapshot for a restart that is not older than the present one, if any is known.
	Newer(present snapshot.Snapshot) (snapshot.Snapshot, bool)
}

// Reply is a target's whole reply to one attempt.
type Reply interface {
	// Answers tells whether the reply answers exactly the part.
	Answers(part *snapshot.Part) bool
}

// Config describes one query.
type Config struct {
	Snapshot snapshot.Snapshot
	// Pinned forbids a restart at another snapshot, because the caller named this one.
	Pinned bool
	Mode   Mode
	// MinCoverage is the smallest coverage to answer with, from 0 to 1.
	MinCoverage float64
	// SoftDeadline and Deadline are times since process start.
	SoftDeadline time.Duration
	Deadline     time.Duration
	// Suspect makes the query run alone: one attempt first, the other shards after its success, no hedge, no retry.
	Suspect bool
	// Once keeps the query from running more than once at a part: no hedge, and a further attempt only after a failure that
	// proves the one before not run.
	Once bool
	// AttemptsPerPart bounds the attempts at one part that may have run; 0 means no bound of its own.
	AttemptsPerPart int
	// RetryLost allows extra attempts after a lost connection. The driver then finds requests that crash targets itself.
	RetryLost bool
}

// Failure is the way in which an attempt failed.
type Failure string

// The failures of attempts.
const (
	FailedNotSent     Failure = "not_sent"
	FailedShed        Failure = "shed"
	FailedDraining    Failure = "draining"
	FailedDeadline    Failure = "deadline"
	FailedVersionGone Failure = "version_gone"
	FailedCancelled   Failure = "cancelled"
	FailedMismatch    Failure = "mismatch"
	FailedLost        Failure = "lost"
	FailedSilent      Failure = "silent"
	FailedLate        Failure = "late"
	FailedOther       Failure = "other"
)

var failures = []struct {
	err     error
	failure Failure
}{
	{targetclient.ErrNotSent, FailedNotSent},
	{targetclient.ErrShed, FailedShed},
	{targetclient.ErrDraining, FailedDraining},
	{targetclient.ErrDeadline, FailedDeadline},
	{targetclient.ErrVersionGone, FailedVersionGone},
	{targetclient.ErrCancelled, FailedCancelled},
	{targetclient.ErrMismatch, FailedMismatch},
	{targetclient.ErrLate, FailedLate},
	{targetclient.ErrSilent, FailedSilent},
	{targetclient.ErrLost, FailedLost},
}

// Classify returns the failure that an error of a TargetClient stands for.
func Classify(err error) Failure {
	for _, known := range failures {
		if errors.Is(err, known.err) {
			return known.failure
		}
	}
	return FailedOther
}

// NotRun tells whether the failure proves that the attempt did not run.
func (f Failure) NotRun() bool {
	switch f {
	case FailedNotSent, FailedShed, FailedDraining, FailedDeadline, FailedVersionGone:
		return true
	}
	return false
}

// replaceable tells whether the failed attempt put no work on its target.
func (f Failure) replaceable() bool {
	return f == FailedNotSent || f == FailedDraining || f == FailedVersionGone
}

// final tells whether the target cannot answer the part at all any more.
func (f Failure) final() bool { return f == FailedDraining || f == FailedVersionGone }
