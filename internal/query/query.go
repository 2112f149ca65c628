// Package query executes searches. It drives the state machine of package scatter with a TargetClient and makes the
// decisions that span queries: replica choice, budgets, limits and snapshots.
package query

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/budget"
	"github.com/knapweedrouter/knapweedrouter/internal/concurrency"
	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/inventory"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// Config describes an engine.
type Config struct {
	Client    targetclient.TargetClient
	Inventory *inventory.Inventory
	// Host and Incarnation make attempt IDs unique across all hosts.
	Host        model.HostID
	Incarnation model.Incarnation
	// Keys sign and verify snapshot tokens. Without keys, answers carry no token.
	Keys snapshot.Keys
	// Gate decides which targets may receive work. If nil, those are the targets that are neither draining nor in a
	// data centre that is out.
	Gate gate.TargetGate
	// Limits is charged for hedges and retries; nil means unlimited.
	Limits gate.CallerLimits
	// Observer is notified of each attempt; nil means no observer.
	Observer Observer
	// Limiter selects the algorithm that limits attempts in flight per target; empty means AIMD.
	Limiter concurrency.Variant
	// GroupBudget and CallerBudget limit hedges and retries; zero values mean 5 % with a burst of 4 and 64.
	GroupBudget, CallerBudget budget.Config
	// Seed makes the random choices reproducible.
	Seed uint64
}

// Request is a search request of a caller.
type Request struct {
	Caller model.CallerID
	Search model.SearchID
	Query  json.RawMessage
	Limit  int
	// Deadline is the time that the caller waits for the answer.
	Deadline time.Duration
	// SoftDeadline is the time after which an answer in fast mode may be partial; 0 means half of Deadline.
	SoftDeadline time.Duration
	MinCoverage  float64
	// Mode is fast or full; empty means full.
	Mode scatter.Mode
	// Snapshot is a token of the exact snapshot to read. MinSnapshot is a token of the oldest snapshot that may be
	// read.
	Snapshot, MinSnapshot string
	// Suspect marks a request that was in flight when a target was lost. One attempt is sent first, the other shards
	// follow only after it succeeds, and there are no hedges or retries.
	Suspect bool
}

// Fingerprint returns a hash of the request's content. It is the same for all callers.
func (r Request) Fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(r.Search)) // never fails
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(r.Query)
	return digest.Sum64()
}

// Result is the answer to a search request.
type Result struct {
	// Snapshot is a token of the snapshot that was read.
	Snapshot string
	Versions map[model.IndexID]model.Version
	Coverage coverage.Coverage
	Hits     []model.Hit
}

// Engine executes searches. It is safe for concurrent use.
type Engine struct {
	logger             *zap.Logger
	cfg                Config
	startedAt          time.Time
	attemptIncarnation model.Incarnation
	sequence           atomic.Uint64 // number of attempts created
	queries            atomic.Uint64 // number of queries created
	// tasks runs attempts and cancel requests, which may outlast their query.
	tasks conc.WaitGroup

	mu          sync.Mutex // guards targets, groups, callers and the replacement of view
	view        atomic.Pointer[view]
	targets     map[model.TargetID]*targetState
	groups      map[string]*group
	callers     map[model.CallerID]*callerState
	lastRefresh atomic.Int64 // nanoseconds since startedAt at which load reports and eligibility were last read
}

// New returns an engine.
func New(logger *zap.Logger, cfg Config) *Engine {
	if cfg.Limiter == "" {
		cfg.Limiter = concurrency.VariantAIMD
	}
	if cfg.GroupBudget == (budget.Config{}) {
		cfg.GroupBudget = budget.Config{Share: extraAttemptRatio, Burst: groupBurst}
	}
	if cfg.CallerBudget == (budget.Config{}) {
		cfg.CallerBudget = budget.Config{Share: extraAttemptRatio, Burst: callerBurst}
	}
	// Hashing the host and its incarnation keeps attempt IDs distinct when two hosts have the same incarnation, and
	// after a host restarts.
	attemptIncarnation := xxhash.Sum64String(fmt.Sprintf("%s/%d", cfg.Host, cfg.Incarnation))
	return &Engine{
		logger:             logger,
		cfg:                cfg,
		startedAt:          time.Now(),
		attemptIncarnation: model.Incarnation(attemptIncarnation),
		targets:            map[model.TargetID]*targetState{},
		groups:             map[string]*group{},
		callers:            map[model.CallerID]*callerState{},
	}
}

func (e *Engine) now() time.Duration { return time.Since(e.startedAt) }

// Wait blocks until no attempt is in progress. Search must not be called meanwhile.
func (e *Engine) Wait() { e.tasks.Wait() }

// Search sends the request to every shard of the search's snapshot and merges the replies. Errors are of type
// *fault.Error; a CoverageBelowMinimum error states the coverage reached.
func (e *Engine) Search(ctx context.Context, catalogue *model.Catalogue, request Request) (Result, error) {
	if request.Mode == "" {
		request.Mode = scatter.Full
	}
	now := e.now()
	v := e.currentView(catalogue, now)
	directory, ok := v.directory(request.Search)
	if !ok {
		return Result{}, fault.New(fault.NotFound, fault.NotRun,
			"use the name of a search in the catalogue", "search %q does not exist", request.Search)
	}
	chosen, err := e.chooseSnapshot(directory, request)
	if err != nil {
		return Result{}, err
	}
	q := e.newQuery(ctx, v, chosen, request, now)
	q.run(ctx)
	return q.result(ctx)
}

// chooseSnapshot returns the snapshot to read, as restricted by the tokens of the request.
func (e *Engine) chooseSnapshot(directory *snapshot.Directory, request Request) (snapshot.Snapshot, error) {
	encoded := request.Snapshot
	if encoded == "" {
		encoded = request.MinSnapshot
	}
	if encoded == "" {
		return directory.Choose(), nil
	}
	token, err := e.cfg.Keys.Verify(encoded)
	if err != nil {
		return snapshot.Snapshot{}, err
	}
	if request.Snapshot != "" {
		return directory.ChooseExact(token)
	}
	return directory.ChooseNotOlder(token)
}

func (e *Engine) scatterConfig(chosen snapshot.Snapshot, request Request, now time.Duration) scatter.Config {
	soft := request.SoftDeadline
	if soft <= 0 {
		soft = request.Deadline / 2
	}
	return scatter.Config{
		Snapshot:     chosen,
		Pinned:       request.Snapshot != "",
		Mode:         request.Mode,
		MinCoverage:  request.MinCoverage,
		SoftDeadline: now + min(soft, request.Deadline),
		Deadline:     now + request.Deadline,
		Suspect:      request.Suspect,
		FirstPart:    rand.IntN(max(1, len(chosen.Parts))),
	}
}
