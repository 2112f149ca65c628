// Package explain keeps a record of each recent query of a host, so that operators can ask how it went.
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
	// MaxAttempts bounds the attempts that one record keeps. A query of 61 shards with hedges and a restart stays below
	// it.
	MaxAttempts = 256
	// MaxRefusals bounds the refused attempts that one record keeps.
	MaxRefusals = 64
)

// Attempt is one attempt at a target.
type Attempt struct {
	Target  model.TargetID `json:"target"`
	Index   model.IndexID  `json:"index,omitempty"`
	Shard   model.ShardID  `json:"shard,omitempty"`
	Version model.Version  `json:"version,omitempty"`
	// Role tells why the attempt was sent: first, replacement, retry, hedge or late_hedge.
	Role string `json:"role"`
	// ID is the id under which the target knows the attempt.
	ID model.AttemptID `json:"attempt,omitzero"`
	// StartMS and EndMS count from the start of the query, in milliseconds. EndMS is 0 while the attempt runs; it may be
	// after the end of the query.
	StartMS float64 `json:"start_ms"`
	EndMS   float64 `json:"end_ms"`
	// Cancelled tells that the target was asked to stop the attempt.
	Cancelled bool `json:"cancelled,omitempty"`
	// Result is "ok" or the reason of the failure; empty while the attempt runs.
	Result string `json:"result"`
}

// Refusal is an attempt that was not sent.
type Refusal struct {
	// Target is empty if no target was chosen yet.
	Target model.TargetID `json:"target,omitempty"`
	Index  model.IndexID  `json:"index"`
	Shard  model.ShardID  `json:"shard"`
	// Role tells what the attempt was for.
	Role string `json:"role"`
	// Reason is in_flight_limit, queue, gate or budget.
	Reason string `json:"reason"`
	// AtMS counts from the start of the query, in milliseconds.
	AtMS float64 `json:"at_ms"`
}

// Record tells how one query went.
type Record struct {
	QueryID   string         `json:"query_id"`
	Operation string         `json:"operation"`
	Caller    model.CallerID `json:"caller"`
	// Subject is the search or the service.
	Subject string `json:"subject"`
	// Started is the time of day at the start.
	Started    time.Time `json:"started"`
	DurationMS float64   `json:"duration_ms"`
	DeadlineMS int64     `json:"deadline_ms"`
	// Coverage is the fraction that answered; absent if there was no answer.
	Coverage *float64 `json:"coverage,omitempty"`
	// Refusal is the error that the caller got; absent if there was an answer.
	Refusal  *fault.Error                    `json:"refusal,omitempty"`
	Versions map[model.IndexID]model.Version `json:"versions,omitempty"`
	Attempts []Attempt                       `json:"attempts"`
	// DroppedAttempts counts attempts over the bound of the record.
	DroppedAttempts int `json:"dropped_attempts"`
	// Mode is fast or full, Suspect tells that the query ran alone, Restarted that it restarted at a newer snapshot.
	Mode      string `json:"mode,omitempty"`
	Suspect   bool   `json:"suspect,omitempty"`
	Restarted bool   `json:"restarted,omitempty"`
	// Refusals are attempts that were not sent. DroppedRefusals counts those over the bound of the record.
	Refusals        []Refusal `json:"refusals,omitempty"`
	DroppedRefusals int       `json:"dropped_refusals,omitempty"`
}

// Query is a record in the making. Its methods are safe for concurrent use and do nothing on a nil Query.
type Query struct {
	mu     sync.Mutex
	record Record
}

// Update changes the record. The function must not keep it.
func (q *Query) Update(change func(*Record)) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	change(&q.record)
}

// Attempt adds an attempt with its start and end.
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

// ID returns the query's id.
func (q *Query) ID() string {
	if q == nil {
		return ""
	}
	return q.record.QueryID // it never changes
}

// Snapshot returns a copy of the record. The lists of the copy are not changed any more.
func (q *Query) Snapshot() Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.record
	record.Attempts = append([]Attempt{}, record.Attempts...)
	record.Refusals = append([]Refusal{}, record.Refusals...)
	return record
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Recorder keeps the newest records. It is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	ring []*Query // overwritten from the oldest
	next int
	byID map[string]*Query
}

// New returns a recorder that keeps the given number of records.
func New(capacity int) *Recorder {
	return &Recorder{ring: make([]*Query, capacity), byID: make(map[string]*Query, capacity)}
}

// Begin starts a record under a new id.
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

// End completes the record.
func (r *Recorder) End(q *Query) {
	q.Update(func(record *Record) { record.DurationMS = milliseconds(time.Since(record.Started)) })
}

// Explain returns the record of a query, if it is still kept.
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

// With returns a context that carries the query.
func With(ctx context.Context, q *Query) context.Context {
	return context.WithValue(ctx, contextKey{}, q)
}

// From returns the context's query, or nil.
func From(ctx context.Context) *Query {
	q, _ := ctx.Value(contextKey{}).(*Query)
	return q
}
