package query

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// Reasons for which an attempt was not sent.
const (
	refusedLimit  = "in_flight_limit"
	refusedGate   = "gate"
	refusedBudget = "budget"
	refusedQueue  = "queue"
)

// queryRecord adds the course of a search to the record of its query, if it has one. It is safe for concurrent use.
type queryRecord struct{ query *explain.Query }

func (r queryRecord) start(cfg scatter.Config) {
	r.query.Update(func(e *explain.Record) {
		e.Mode = string(cfg.Mode)
		e.Suspect = cfg.Suspect
		e.Versions = cfg.Snapshot.Versions
		e.Attempts = make([]explain.Attempt, 0, len(cfg.Snapshot.Parts))
	})
}

// addAttempt adds an attempt that is about to be sent and returns its index, or -1 if the record is full.
func (r queryRecord) addAttempt(action scatter.Action, id model.AttemptID) int {
	index := -1
	r.query.Update(func(e *explain.Record) {
		if len(e.Attempts) >= explain.MaxAttempts {
			e.DroppedAttempts++
			return
		}
		index = len(e.Attempts)
		e.Attempts = append(e.Attempts, explain.Attempt{
			Target:  action.Attempt.Target,
			Index:   action.SnapshotPart.Index,
			Shard:   action.SnapshotPart.ID,
			Version: action.SnapshotPart.Version,
			Role:    string(action.Attempt.Kind),
			ID:      id,
			StartMS: elapsedMS(e),
		})
	})
	return index
}

func (r queryRecord) markCancelled(index int) {
	if index < 0 {
		return
	}
	r.query.Update(func(e *explain.Record) { e.Attempts[index].Cancelled = true })
}

func (r queryRecord) endAttempt(index int, failure scatter.Failure) {
	if index < 0 {
		return
	}
	r.query.Update(func(e *explain.Record) {
		e.Attempts[index].EndMS = elapsedMS(e)
		e.Attempts[index].Result = "ok"
		if failure != "" {
			e.Attempts[index].Result = string(failure)
		}
	})
}

func (r queryRecord) addRefusal(part *snapshot.Part, target model.TargetID, kind scatter.Kind, reason string) {
	r.query.Update(func(e *explain.Record) {
		if len(e.Refusals) >= explain.MaxRefusals {
			e.DroppedRefusals++
			return
		}
		e.Refusals = append(e.Refusals, explain.Refusal{
			Target: target, Index: part.Index, Shard: part.ID, Role: string(kind), Reason: reason, AtMS: elapsedMS(e),
		})
	})
}

func (r queryRecord) finish(result scatter.Result) {
	r.query.Update(func(e *explain.Record) {
		e.Versions = result.Snapshot.Versions
		e.Restarted = result.Restarted
	})
}

// elapsedMS returns the time since the start of the query in milliseconds.
func elapsedMS(e *explain.Record) float64 { return milliseconds(time.Since(e.Started)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
