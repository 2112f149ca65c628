// Package target is a stand-in for the back-end servers, for tests, development and benchmarks. It records all attempts,
// so that tests can verify the router's guarantees against the records.
package target

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/corpus"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// IndexVersion describes the shards of one index version that the target holds.
type IndexVersion struct {
	Index    model.IndexID
	Version  model.Version
	ShardMap []model.Shard
	Held     []model.ShardID
}

// Config describes a target stand-in.
type Config struct {
	Target      model.Target
	Incarnation model.Incarnation
	Indexes     []IndexVersion
	// ServiceTime is the median duration of an attempt on a warm target.
	ServiceTime time.Duration
	// Seed makes the service times reproducible.
	Seed uint64
}

// Record describes one attempt that the target has received.
type Record struct {
	Attempt model.AttemptID
	Index   model.IndexID
	Shard   model.ShardID
	Version model.Version
	Start   time.Time
	End     time.Time
	// Ran is set if the attempt was executed at least in part.
	Ran bool
	// State is the state of the target at Start.
	State model.TargetState
	// Refused is set if the attempt was cancelled or expired before it got a slot.
	Refused bool
	// InFlight is the number of attempts at the target at Start, including this one.
	InFlight  int
	Operation string
	Payload   string
}

// Target is a stand-in for one server. Its methods are safe for concurrent use.
type Target struct {
	cfg Config

	mu              sync.Mutex
	rng             *rand.Rand
	state           model.TargetState
	incarnation     model.Incarnation
	indexes         []IndexVersion
	inFlight        int
	running         int
	queue           []*queuedAttempt
	records         []Record
	cancels         map[model.AttemptID]context.CancelCauseFunc
	slowdown        float64
	down            bool
	crashes         int
	servedWhileCold int
	poison          string
	hideState       bool
	faults          []Fault
	connections     int
	// silentBefore is the highest number of a silenced connection.
	silentBefore int
}

// New returns a ready target.
func New(cfg Config) *Target {
	return &Target{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))),
		state:       model.TargetReady,
		incarnation: cfg.Incarnation,
		indexes:     cfg.Indexes,
		cancels:     map[model.AttemptID]context.CancelCauseFunc{},
		slowdown:    1,
	}
}

// ID returns the target's ID.
func (t *Target) ID() model.TargetID { return t.cfg.Target.ID }

// SetState sets the state of the target.
func (t *Target) SetState(state model.TargetState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
}

// SetIndexes replaces the index versions that the target holds.
func (t *Target) SetIndexes(indexes []IndexVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.indexes = slices.Clone(indexes)
}

// SetSlowdown sets the factor by which service times are multiplied.
func (t *Target) SetSlowdown(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowdown = factor
}

// Records returns the records of the attempts that were refused or have ended so far.
func (t *Target) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.records)
}

// Search runs one search attempt.
func (t *Target) Search(ctx context.Context, request targetclient.SearchRequest) (targetclient.SearchReply, error) {
	held, keys, err := t.findShard(request)
	if err != nil {
		return targetclient.SearchReply{}, err
	}
	err = t.run(ctx, Record{
		Attempt:   request.Attempt,
		Index:     request.Index,
		Shard:     request.Shard,
		Version:   request.Version,
		Operation: "search",
		Payload:   string(request.Query),
	}, request.DeadlineMS)
	if err != nil {
		return targetclient.SearchReply{}, err
	}
	var query struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(request.Query, &query) // a query in another format matches every document
	return targetclient.SearchReply{
		Attempt:     request.Attempt,
		Target:      t.cfg.Target.ID,
		Incarnation: t.currentIncarnation(),
		Index:       request.Index,
		Shard:       request.Shard,
		Version:     request.Version,
		KeyRange:    keys,
		Hits:        corpus.Search(held, keys, query.Text, request.Limit),
	}, nil
}

// Execute runs one attempt at an operation.
func (t *Target) Execute(ctx context.Context, request targetclient.ExecuteRequest) (targetclient.ExecuteReply, error) {
	record := Record{Attempt: request.Attempt, Operation: request.Operation, Payload: string(request.Payload)}
	if err := t.run(ctx, record, request.DeadlineMS); err != nil {
		return targetclient.ExecuteReply{}, err
	}
	return targetclient.ExecuteReply{
		Attempt:     request.Attempt,
		Target:      t.cfg.Target.ID,
		Incarnation: t.currentIncarnation(),
		Result:      json.RawMessage(`{"done":true}`),
	}, nil
}

// Cancel cancels an attempt that is queued or running.
func (t *Target) Cancel(attempt model.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel, ok := t.cancels[attempt]; ok {
		cancel(targetclient.ErrCancelled)
	}
}

// Status returns the status report of the target.
func (t *Target) Status() model.TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	status := model.TargetStatus{
		Target:      t.cfg.Target.ID,
		Incarnation: t.incarnation,
		State:       t.reportedState(),
		Slots:       t.cfg.Target.Slots,
		InFlight:    t.inFlight,
		Load:        float64(t.inFlight) / float64(max(1, t.cfg.Target.Slots)),
	}
	for _, index := range t.indexes {
		status.Indexes = append(status.Indexes, model.IndexStatus{
			Index: index.Index, Version: index.Version, ShardMap: index.ShardMap, Held: index.Held,
		})
	}
	return status
}

// reportedState returns the state that reports show. The caller holds the mutex.
func (t *Target) reportedState() model.TargetState {
	if t.hideState {
		return model.TargetReady
	}
	return t.state
}

// Available reports whether the target accepts connections.
func (t *Target) Available() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.down
}

func (t *Target) currentIncarnation() model.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation
}

// findShard returns the documents of the requested index version and the key range of the shard.
func (t *Target) findShard(request targetclient.SearchRequest) ([]corpus.Document, model.KeyRange, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, index := range t.indexes {
		if index.Index != request.Index || index.Version != request.Version {
			continue
		}
		if !slices.Contains(index.Held, request.Shard) {
			continue
		}
		at := slices.IndexFunc(index.ShardMap, func(s model.Shard) bool { return s.ID == request.Shard })
		if at >= 0 {
			return corpus.Documents(request.Index, request.Version), index.ShardMap[at].KeyRange, nil
		}
	}
	return nil, model.KeyRange{}, targetclient.ErrVersionGone
}
