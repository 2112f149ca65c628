package query

import (
	"slices"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/budget"
	"github.com/knapweedrouter/knapweedrouter/internal/concurrency"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/replica"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// refreshInterval is the maximum age of load reports and eligibility. A target that becomes ineligible in between is
// refused by the gate's Acquire.
const refreshInterval = 50 * time.Millisecond

// targetState is the engine's state for one target, shared by all queries.
type targetState struct {
	model.Target
	group *group

	mu              sync.Mutex
	stats           replica.TargetStats
	limiter         concurrency.Limiter
	incarnation     model.Incarnation
	statusRequested bool
}

// group is the state of one replica group.
type group struct {
	mu        sync.Mutex
	latencies replica.LatencyHistogram
	budget    *budget.Bucket
}

// callerState holds a caller's budget for extra attempts.
type callerState struct {
	mu     sync.Mutex
	budget *budget.Bucket
}

// view is a catalogue with a set of status reports, compiled for queries. It is immutable, except that directories are
// compiled on first use.
type view struct {
	catalogue *model.Catalogue
	revision  uint64
	eligible  []bool
	targets   map[model.TargetID]*targetState
	reports   []model.TargetStatus
	searches  map[model.SearchID]*search
}

type search struct {
	indexes   []model.IndexID
	once      sync.Once
	directory *snapshot.Directory
}

func (v *view) directory(id model.SearchID) (*snapshot.Directory, bool) {
	s, ok := v.searches[id]
	if !ok {
		return nil, false
	}
	s.once.Do(func() { s.directory = snapshot.New(s.indexes, v.reports) })
	return s.directory, true
}

// currentView returns the view of the given catalogue and the latest reports, and rebuilds it if necessary.
func (e *Engine) currentView(catalogue *model.Catalogue, now time.Duration) *view {
	v := e.view.Load()
	last := e.lastRefresh.Load()
	stale := last == 0 || now-time.Duration(last) >= refreshInterval
	if v != nil && v.catalogue == catalogue && v.revision == e.cfg.Inventory.Revision() && !stale {
		return v
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastRefresh.Store(int64(max(now, 1)))
	v = e.view.Load()
	revision := e.cfg.Inventory.Revision()
	if v != nil && v.catalogue == catalogue && v.revision == revision {
		e.applyLoadReports(v)
		if slices.Equal(e.eligibleTargets(catalogue), v.eligible) {
			return v
		}
	}
	v = e.buildView(catalogue, revision)
	e.view.Store(v)
	return v
}

// applyLoadReports updates the statistics about targets with the load that their reports state. The caller holds e.mu.
func (e *Engine) applyLoadReports(v *view) {
	for id, t := range v.targets {
		if report, ok := e.cfg.Inventory.Get(id); ok {
			t.mu.Lock()
			t.stats.RecordReport(report.Slots, report.InFlight)
			t.incarnation = max(t.incarnation, report.Incarnation)
			t.mu.Unlock()
		}
	}
}

// eligibleTargets reports for each target of the catalogue whether it may receive work.
func (e *Engine) eligibleTargets(catalogue *model.Catalogue) []bool {
	result := make([]bool, len(catalogue.Targets))
	for i := range catalogue.Targets {
		result[i] = e.eligible(catalogue, &catalogue.Targets[i])
	}
	return result
}

func (e *Engine) eligible(catalogue *model.Catalogue, t *model.Target) bool {
	if e.cfg.Gate != nil {
		return e.cfg.Gate.IsEligible(t.ID)
	}
	out := func(o model.DataCentreOut) bool { return o.ID == t.DataCentre }
	report, known := e.cfg.Inventory.Get(t.ID)
	return known && report.State != model.TargetDraining && !slices.ContainsFunc(catalogue.DataCentresOut, out)
}

// buildView compiles a view. The caller holds e.mu.
func (e *Engine) buildView(catalogue *model.Catalogue, revision uint64) *view {
	v := &view{
		catalogue: catalogue,
		revision:  revision,
		eligible:  e.eligibleTargets(catalogue),
		targets:   make(map[model.TargetID]*targetState, len(catalogue.Targets)),
		searches:  make(map[model.SearchID]*search, len(catalogue.Searches)),
	}
	groups := e.updateGroups(catalogue)
	for i, t := range catalogue.Targets {
		v.targets[t.ID] = e.ensureTarget(t, groups[t.ID])
		if report, ok := e.cfg.Inventory.Get(t.ID); ok && v.eligible[i] {
			v.reports = append(v.reports, report)
		}
	}
	for _, s := range catalogue.Searches {
		v.searches[s.ID] = &search{indexes: s.Indexes}
	}
	e.pruneRemoved(catalogue, v)
	e.applyLoadReports(v)
	return v
}

// updateGroups returns the group state of each target that serves an index, and drops the state of groups that are no
// longer in the catalogue.
func (e *Engine) updateGroups(catalogue *model.Catalogue) map[model.TargetID]*group {
	current := make(map[string]*group, len(e.groups))
	result := map[model.TargetID]*group{}
	for _, index := range catalogue.Indexes {
		for _, g := range index.Groups {
			name := string(index.ID) + "/" + g.ID
			state := e.groups[name]
			if state == nil {
				state = e.newGroup()
			}
			current[name] = state
			for _, id := range g.Targets {
				result[id] = state
			}
		}
	}
	e.groups = current
	return result
}

func (e *Engine) newGroup() *group { return &group{budget: budget.New(e.cfg.GroupBudget)} }

// ensureTarget returns the state of a target, which persists across views, and creates it if the target's description
// or group has changed.
func (e *Engine) ensureTarget(t model.Target, g *group) *targetState {
	if g == nil {
		g = e.newGroup()
	}
	old := e.targets[t.ID]
	if old != nil && old.Target == t && old.group == g {
		return old
	}
	slots := max(1, t.Slots)
	state := &targetState{Target: t, group: g, limiter: concurrency.New(concurrency.Config{
		Variant: e.cfg.Limiter, Initial: slots, Max: maxInFlightPerSlot * slots,
	})}
	e.targets[t.ID] = state
	return state
}

// pruneRemoved drops the state of targets and callers that are no longer in the catalogue.
func (e *Engine) pruneRemoved(catalogue *model.Catalogue, v *view) {
	for id := range e.targets {
		if v.targets[id] == nil {
			delete(e.targets, id)
		}
	}
	kept := make(map[model.CallerID]*callerState, len(catalogue.Callers))
	for _, c := range catalogue.Callers {
		if state := e.callers[c.ID]; state != nil {
			kept[c.ID] = state
		}
	}
	e.callers = kept
}

// ensureCaller returns the state of a caller, and creates it if necessary.
func (e *Engine) ensureCaller(id model.CallerID) *callerState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.callers[id]
	if state == nil {
		state = &callerState{budget: budget.New(e.cfg.CallerBudget)}
		e.callers[id] = state
	}
	return state
}
