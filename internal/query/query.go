// Package query carries out queries: it drives the state machine of package scatter with a TargetClient and supplies the
// decisions that concern more than one query (replica choice, budgets, limits, snapshots).
package query

import (
	"context"
	"encoding/json"
	"fmt"
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
	// Host and Incarnation make attempt ids unique over all hosts.
	Host        model.HostID
	Incarnation model.Incarnation
	// Keys sign and check snapshot tokens. Without any, answers bear no token.
	Keys snapshot.Keys
	// Gate decides which targets may get work; nil means those that are neither draining nor in a data centre that is
	// out.
	Gate gate.TargetGate
	// Limits is charged for hedges and retries; nil means no limit.
	Limits gate.CallerLimits
	// Observer learns of each attempt; nil means none.
	Observer Observer
	// Limiter is the kind of limit on attempts in flight per target; empty means AIMD.
	Limiter concurrency.Variant
	// GroupBudget and CallerBudget bound hedges and retries; zero values mean 5 % with a burst of 4 and 64.
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
	// Deadline is the time that the caller waits.
	Deadline time.Duration
	// SoftDeadline is the time after which a fast answer may be partial; 0 means half of the deadline.
	SoftDeadline time.Duration
	MinCoverage  float64
	// Mode is fast or full; empty means full.
	Mode scatter.Mode
	// Snapshot is a token that names exactly the snapshot to read; MinSnapshot one that the answer may not be older than.
	Snapshot, MinSnapshot string
	// Suspect makes the query run alone, because a target was lost while it was in flight.
	Suspect bool
}

// Fingerprint identifies the content of a request, whichever caller sends it.
func (r Request) Fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(r.Search)) // a digest's Write never fails
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(r.Query)
	return digest.Sum64()
}

// Result is the answer to a search request.
type Result struct {
	// Snapshot is a token that names the snapshot read.
	Snapshot string
	Versions map[model.IndexID]model.Version
	Coverage coverage.Coverage
	Hits     []model.Hit
}

// Engine answers searches. It is safe for concurrent use.
type Engine struct {
	logger   *zap.Logger
	cfg      Config
	start    time.Time
	identity model.Incarnation
	sequence atomic.Uint64
	queries  atomic.Uint64
	// tasks are attempts and cancel requests, which may outlast their query.
	tasks conc.WaitGroup

	mu        sync.Mutex // guards the change of view, targets, groups and callers
	view      atomic.Pointer[view]
	targets   map[model.TargetID]*targetState
	groups    map[string]*group
	callers   map[model.CallerID]*callerState
	refreshed atomic.Int64 // time since start, in ns, at which reports and eligibility were last looked at
}

// New returns an engine.
func New(logger *zap.Logger, cfg Config) *Engine {
	if cfg.Limiter == "" {
		cfg.Limiter = concurrency.VariantAIMD
	}
	if cfg.GroupBudget == (budget.Config{}) {
		cfg.GroupBudget = budget.Config{Share: extraShare, Burst: groupBurst}
	}
	if cfg.CallerBudget == (budget.Config{}) {
		cfg.CallerBudget = budget.Config{Share: extraShare, Burst: callerBurst}
	}
	// Two hosts with the same incarnation, or a host after a restart, never use the same attempt id.
	identity := xxhash.Sum64String(fmt.Sprintf("%s/%d", cfg.Host, cfg.Incarnation))
	return &Engine{
		logger:   logger,
		cfg:      cfg,
		start:    time.Now(),
		identity: model.Incarnation(identity),
		targets:  map[model.TargetID]*targetState{},
		groups:   map[string]*group{},
		callers:  map[model.CallerID]*callerState{},
	}
}

func (e *Engine) now() time.Duration { return time.Since(e.start) }

// Wait returns when no attempt is under way any more. No search may start meanwhile.
func (e *Engine) Wait() { e.tasks.Wait() }

// Search scatters the request to every shard of the search's snapshot and gathers one answer. The errors are
// *fault.Error; CoverageBelowMinimum states the coverage reached.
func (e *Engine) Search(ctx context.Context, catalogue *model.Catalogue, request Request) (Result, error) {
	if request.Mode == "" {
		request.Mode = scatter.Full
	}
	now := e.now()
	v := e.currentView(catalogue, now)
	directory, ok := v.directory(request.Search)
	if !ok {
		return Result{}, fault.New(fault.NotFound, fault.NotRun,
			"name a search of the catalogue", "there is no search %q", request.Search)
	}
	chosen, err := e.choose(directory, request)
	if err != nil {
		return Result{}, err
	}
	q := e.newQuery(ctx, v, chosen, request, now)
	q.drive(ctx)
	return q.answer(ctx)
}

func (e *Engine) choose(directory *snapshot.Directory, request Request) (snapshot.Snapshot, error) {
	text := request.Snapshot
	if text == "" {
		text = request.MinSnapshot
	}
	if text == "" {
		return directory.Choose(), nil
	}
	token, err := e.cfg.Keys.Open(text)
	if err != nil {
		return snapshot.Snapshot{}, err
	}
	if request.Snapshot != "" {
		return directory.Exact(token)
	}
	return directory.NotOlder(token)
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
	}
}
