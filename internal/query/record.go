package query

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// The reasons why an attempt was not sent.
const (
	refusedLimit  = "in_flight_limit"
	refusedGate   = "gate"
	refusedBudget = "budget"
	refusedQueue  = "queue"
)

// record writes how a search goes to the record of its query, if it has one. It is safe for concurrent use.
type record struct{ query *explain.Query }

func (r record) start(cfg scatter.Config) {
	r.query.Update(func(e *explain.Record) {
		e.Mode = string(cfg.Mode)
		e.Suspect = cfg.Suspect
		e.Versions = cfg.Snapshot.Versions
		e.Attempts = make([]explain.Attempt, 0, len(cfg.Snapshot.Parts))
	})
}

// send adds an attempt that is about to be sent and returns its position, or -1 if the record is full.
func (r record) send(action scatter.Action, id model.AttemptID) int {
	position := -1
	r.query.Update(func(e *explain.Record) {
		if len(e.Attempts) >= explain.MaxAttempts {
			e.DroppedAttempts++
			return
		}
		position = len(e.Attempts)
		e.Attempts = append(e.Attempts, explain.Attempt{
			Target:  action.Attempt.Target,
			Index:   action.What.Index,
			Shard:   action.What.ID,
			Version: action.What.Version,
			Role:    string(action.Attempt.Kind),
			ID:      id,
			StartMS: since(e),
		})
	})
	return position
}

func (r record) cancelled(position int) {
	if position < 0 {
		return
	}
	r.query.Update(func(e *explain.Record) { e.Attempts[position].Cancelled = true })
}

func (r record) end(position int, failure scatter.Failure) {
	if position < 0 {
		return
	}
	r.query.Update(func(e *explain.Record) {
		e.Attempts[position].EndMS = since(e)
		e.Attempts[position].Result = "ok"
		if failure != "" {
			e.Attempts[position].Result = string(failure)
		}
	})
}

func (r record) refuse(part *snapshot.Part, target model.TargetID, kind scatter.Kind, reason string) {
	r.query.Update(func(e *explain.Record) {
		if len(e.Refusals) >= explain.MaxRefusals {
			e.DroppedRefusals++
			return
		}
		e.Refusals = append(e.Refusals, explain.Refusal{
			Target: target, Index: part.Index, Shard: part.ID, Role: string(kind), Reason: reason, AtMS: since(e),
		})
	})
}

func (r record) finish(result scatter.Result) {
	r.query.Update(func(e *explain.Record) {
		e.Versions = result.Snapshot.Versions
		e.Restarted = result.Restarted
	})
}

// since returns the milliseconds since the start of the query.
func since(e *explain.Record) float64 { return milliseconds(time.Since(e.Started)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
