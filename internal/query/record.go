package query

import (
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

const (
	// recordedQueries is the number of recent queries that can be explained. The oldest is forgotten first.
	recordedQueries = 512
	// recordedRefusals bounds the refusals kept per query; the rest is only counted.
	recordedRefusals = 64
)

// The reasons why a target did not get an attempt.
const (
	refusedLimit  = "in_flight_limit"
	refusedGate   = "gate"
	refusedBudget = "budget"
)

// Record tells how a query went, for operators. Times are milliseconds since the query's start.
type Record struct {
	mu      sync.Mutex
	started time.Duration

	ID       string         `json:"query_id"`
	Caller   model.CallerID `json:"caller"`
	Search   model.SearchID `json:"search"`
	Mode     scatter.Mode   `json:"mode"`
	Started  time.Time      `json:"started"`
	Deadline float64        `json:"deadline_ms"`
	Suspect  bool           `json:"suspect"`

	Versions  map[model.IndexID]model.Version `json:"versions"`
	Restarted bool                            `json:"restarted"`
	// Finished is 0 while the query runs.
	Finished float64            `json:"finished_ms"`
	Coverage *coverage.Coverage `json:"coverage,omitempty"`
	Error    *fault.Error       `json:"error,omitempty"`

	Attempts     []AttemptRecord `json:"attempts"`
	Hedges       int             `json:"hedges"`
	Retries      int             `json:"retries"`
	Replacements int             `json:"replacements"`
	Refusals     []RefusalRecord `json:"refusals"`
	// MoreRefusals counts those that are not listed.
	MoreRefusals int `json:"more_refusals"`
}

// AttemptRecord tells how one attempt went.
type AttemptRecord struct {
	ID      model.AttemptID `json:"attempt"`
	Index   model.IndexID   `json:"index"`
	Shard   model.ShardID   `json:"shard"`
	Version model.Version   `json:"version"`
	Target  model.TargetID  `json:"target"`
	Kind    scatter.Kind    `json:"kind"`
	Sent    float64         `json:"sent_ms"`
	// Ended is 0 while the attempt runs. It may be after the end of the query.
	Ended     float64 `json:"ended_ms"`
	Cancelled bool    `json:"cancelled"`
	// Failure is empty for a whole reply.
	Failure scatter.Failure `json:"failure,omitempty"`
}

// RefusalRecord tells why an attempt was not sent.
type RefusalRecord struct {
	Index  model.IndexID  `json:"index"`
	Shard  model.ShardID  `json:"shard"`
	Target model.TargetID `json:"target,omitempty"`
	Reason string         `json:"reason"`
	At     float64        `json:"at_ms"`
}

func newRecord(id string, request Request, chosen snapshot.Snapshot, at time.Time, now time.Duration) *Record {
	return &Record{
		started:  now,
		ID:       id,
		Caller:   request.Caller,
		Search:   request.Search,
		Mode:     request.Mode,
		Started:  at,
		Deadline: milliseconds(request.Deadline),
		Suspect:  request.Suspect,
		Versions: chosen.Versions,
		Attempts: make([]AttemptRecord, 0, len(chosen.Parts)),
	}
}

func (r *Record) send(now time.Duration, action scatter.Action, id model.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch action.Attempt.Kind {
	case scatter.Hedge, scatter.LateHedge:
		r.Hedges++
	case scatter.Retry:
		r.Retries++
	case scatter.Replacement:
		r.Replacements++
	}
	r.Attempts = append(r.Attempts, AttemptRecord{
		ID:      id,
		Index:   action.What.Index,
		Shard:   action.What.ID,
		Version: action.What.Version,
		Target:  action.Attempt.Target,
		Kind:    action.Attempt.Kind,
		Sent:    milliseconds(now - r.started),
	})
}

func (r *Record) cancelled(attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Attempts[attempt].Cancelled = true
}

func (r *Record) end(now time.Duration, attempt int, failure scatter.Failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Attempts[attempt].Ended = milliseconds(now - r.started)
	r.Attempts[attempt].Failure = failure
}

func (r *Record) refuse(now time.Duration, part *snapshot.Part, target model.TargetID, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.Refusals) >= recordedRefusals {
		r.MoreRefusals++
		return
	}
	r.Refusals = append(r.Refusals, RefusalRecord{
		Index: part.Index, Shard: part.ID, Target: target, Reason: reason, At: milliseconds(now - r.started),
	})
}

func (r *Record) finish(now time.Duration, result scatter.Result, err *fault.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Finished = milliseconds(now - r.started)
	r.Versions = result.Snapshot.Versions
	r.Restarted = result.Restarted
	r.Coverage = &result.Coverage
	r.Error = err
}

// copy returns a record that does not change any more.
func (r *Record) copy() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Record{
		ID: r.ID, Caller: r.Caller, Search: r.Search, Mode: r.Mode, Started: r.Started, Deadline: r.Deadline, Suspect: r.Suspect,
		Versions: r.Versions, Restarted: r.Restarted, Finished: r.Finished, Coverage: r.Coverage, Error: r.Error,
		Attempts: append([]AttemptRecord{}, r.Attempts...), Hedges: r.Hedges, Retries: r.Retries, Replacements: r.Replacements,
		Refusals: append([]RefusalRecord{}, r.Refusals...), MoreRefusals: r.MoreRefusals,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// history holds the records of recent queries in a ring.
type history struct {
	mu   sync.Mutex
	ring [recordedQueries]*Record
	next int
	byID map[string]*Record
}

func newHistory() *history { return &history{byID: make(map[string]*Record, recordedQueries)} }

func (h *history) add(r *Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.ring[h.next]; old != nil {
		delete(h.byID, old.ID)
	}
	h.ring[h.next] = r
	h.byID[r.ID] = r
	h.next = (h.next + 1) % recordedQueries
}

// Explain returns the *Record of a recent query of this host.
func (e *Engine) Explain(queryID string) (any, bool) {
	e.history.mu.Lock()
	r, ok := e.history.byID[queryID]
	e.history.mu.Unlock()
	if !ok {
		return nil, false
	}
	return r.copy(), true
}
