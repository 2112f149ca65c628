// Package explain records the execution of a host's recent queries for operators.
package explain

import (
	"context"
	"crypto/rand"
	"strings"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// MaxAttempts is the maximum number of attempts in a record. A query over 61 shards with hedges and a restart stays
	// below it.
	MaxAttempts = 256
	// MaxRefusals is the maximum number of refused attempts in a record.
	MaxRefusals = 64
)

// Attempt describes an attempt at a target.
type Attempt struct {
	Target  model.TargetID `json:"target"`
	Index   model.IndexID  `json:"index,omitempty"`
	Shard   model.ShardID  `json:"shard,omitempty"`
	Version model.Version  `json:"version,omitempty"`
	// Role is the reason for sending the attempt: first, replacement, retry, hedge or late_hedge.
	Role string `json:"role"`
	// ID is the attempt ID that was sent to the target.
	ID model.AttemptID `json:"attempt,omitzero"`
	// StartMS and EndMS are milliseconds since the start of the query. EndMS is 0 while the attempt runs. The attempt may
	// end after the query.
	StartMS float64 `json:"start_ms"`
	EndMS   float64 `json:"end_ms"`
	// Cancelled reports whether a cancellation was sent to the target.
	Cancelled bool `json:"cancelled,omitempty"`
	// Result is "ok" or the reason for the failure. It is empty while the attempt runs.
	Result string `json:"result"`
}

// Refusal describes an attempt that was not sent.
type Refusal struct {
	// Target is empty if no target had been selected.
	Target model.TargetID `json:"target,omitempty"`
	Index  model.IndexID  `json:"index"`
	Shard  model.ShardID  `json:"shard"`
	// Role is the role that the attempt would have had; see Attempt.
	Role string `json:"role"`
	// Reason is in_flight_limit, queue, gate or budget.
	Reason string `json:"reason"`
	// AtMS is the time in milliseconds since the start of the query.
	AtMS float64 `json:"at_ms"`
}

// Record describes the execution of a query.
type Record struct {
	QueryID   string         `json:"query_id"`
	Operation string         `json:"operation"`
	Caller    model.CallerID `json:"caller"`
	// Subject is the ID of the search or service.
	Subject string `json:"subject"`
	// Started is the wall-clock time at the start.
	Started    time.Time `json:"started"`
	DurationMS float64   `json:"duration_ms"`
	DeadlineMS int64     `json:"deadline_ms"`
	// Coverage is the coverage of the answer, or nil if there was no answer.
	Coverage *float64 `json:"coverage,omitempty"`
	// Refusal is the error returned to the caller, or nil if there was an answer.
	Refusal  *fault.Error                    `json:"refusal,omitempty"`
	Versions map[model.IndexID]model.Version `json:"versions,omitempty"`
	Attempts []Attempt                       `json:"attempts"`
	// DroppedAttempts is the number of attempts omitted because of MaxAttempts.
	DroppedAttempts int `json:"dropped_attempts"`
	// Mode is fast or full.
	Mode string `json:"mode,omitempty"`
	// Suspect reports whether the query ran alone because it was suspected of crashing targets.
	Suspect bool `json:"suspect,omitempty"`
	// Restarted reports whether the query was restarted with a newer snapshot.
	Restarted bool `json:"restarted,omitempty"`
	// Refusals lists attempts that were not sent. DroppedRefusals is the number omitted because of MaxRefusals.
	Refusals        []Refusal `json:"refusals,omitempty"`
	DroppedRefusals int       `json:"dropped_refusals,omitempty"`
}

// Query is a query whose record is being written. Its methods are safe for concurrent use. All except Snapshot do nothing
// on a nil Query.
type Query struct {
	mu     sync.Mutex
	record Record
}

// Update calls change with the record. The function must not retain the record.
func (q *Query) Update(change func(*Record)) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	change(&q.record)
}

// Attempt adds an attempt with the given start and end times to the record.
func (q *Query) Attempt(attempt Attempt, start, end time.Time) {
	q.Update(func(r *Record) {
		if len(r.Attempts) >= MaxAttempts {
			r.DroppedAttempts++
			return
		}
		attempt.StartMS = milliseconds(start.Sub(r.Started))
		attempt.EndMS = milliseconds(end.Sub(r.Started))
		r.Attempts = append(r.Attempts, attempt)
	})
}

// ID returns the query ID.
func (q *Query) ID() string {
	if q == nil {
		return ""
	}
	return q.record.QueryID // immutable, so no lock is needed
}

// Snapshot returns a copy of the record. Later updates do not affect the attempts and refusals of the copy.
func (q *Query) Snapshot() Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.record
	record.Attempts = append([]Attempt{}, record.Attempts...)
	record.Refusals = append([]Refusal{}, record.Refusals...)
	return record
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Recorder stores the most recent records in a ring buffer. It is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	ring []*Query // the oldest entry is overwritten first
	next int
	byID map[string]*Query
}

// NewRecorder returns a recorder that stores up to capacity records.
func NewRecorder(capacity int) *Recorder {
	return &Recorder{ring: make([]*Query, capacity), byID: make(map[string]*Query, capacity)}
}

// Begin starts the record of a query with a new ID.
func (r *Recorder) Begin(operation string) *Query {
	q := &Query{record: Record{QueryID: strings.ToLower(rand.Text()), Operation: operation, Started: time.Now()}}
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.ring[r.next]; old != nil {
		delete(r.byID, old.ID())
	}
	r.ring[r.next] = q
	r.byID[q.ID()] = q
	r.next = (r.next + 1) % len(r.ring)
	return q
}

// End sets the duration of the query in its record.
func (r *Recorder) End(q *Query) {
	q.Update(func(record *Record) { record.DurationMS = milliseconds(time.Since(record.Started)) })
}

// Explain returns the record of a query if it is still stored.
func (r *Recorder) Explain(queryID string) (any, bool) {
	r.mu.Lock()
	q, ok := r.byID[queryID]
	r.mu.Unlock()
	if !ok {
		return nil, false
	}
	return q.Snapshot(), true
}

type contextKey struct{}

// NewContext returns a context that carries the query.
func NewContext(ctx context.Context, q *Query) context.Context {
	return context.WithValue(ctx, contextKey{}, q)
}

// FromContext returns the query of the context, or nil if there is none.
func FromContext(ctx context.Context) *Query {
	q, _ := ctx.Value(contextKey{}).(*Query)
	return q
}
