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

// refreshInterval is the time after which load hints and eligibility are looked at again. Acquire at the gate refuses a
// target that has become ineligible meanwhile.
const refreshInterval = 50 * time.Millisecond

// targetState is what the engine knows about one target, over all queries.
type targetState struct {
	model.Target
	group *group

	mu          sync.Mutex
	evidence    replica.Evidence
	limiter     concurrency.Limiter
	incarnation model.Incarnation
	refreshing  bool
}

// group is the state of one group of replicas.
type group struct {
	mu     sync.Mutex
	sketch replica.Sketch
	budget *budget.Bucket
}

// callerState is the budget of one caller for extra attempts.
type callerState struct {
	mu     sync.Mutex
	budget *budget.Bucket
}

// view is one catalogue and one state of the reports, compiled for queries. It does not change, but for directories that
// are compiled at their first use.
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

// currentView returns the view of the catalogue and the latest reports.
func (e *Engine) currentView(catalogue *model.Catalogue, now time.Duration) *view {
	v := e.view.Load()
	last := e.refreshed.Load()
	stale := last == 0 || now-time.Duration(last) >= refreshInterval
	if v != nil && v.catalogue == catalogue && v.revision == e.cfg.Inventory.Revision() && !stale {
		return v
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refreshed.Store(int64(max(now, 1)))
	v = e.view.Load()
	revision := e.cfg.Inventory.Revision()
	if v != nil && v.catalogue == catalogue && v.revision == revision {
		e.hint(v)
		if slices.Equal(e.eligibility(catalogue), v.eligible) {
			return v
		}
	}
	v = e.compile(catalogue, revision)
	e.view.Store(v)
	return v
}

// hint passes the load that reports state to the evidence. The caller holds the mutex.
func (e *Engine) hint(v *view) {
	for id, t := range v.targets {
		if report, ok := e.cfg.Inventory.Get(id); ok {
			t.mu.Lock()
			t.evidence.Hint(report.Slots, report.InFlight)
			t.incarnation = max(t.incarnation, report.Incarnation)
			t.mu.Unlock()
		}
	}
}

func (e *Engine) eligibility(catalogue *model.Catalogue) []bool {
	result := make([]bool, len(catalogue.Targets))
	for i := range catalogue.Targets {
		result[i] = e.eligible(catalogue, &catalogue.Targets[i])
	}
	return result
}

func (e *Engine) eligible(catalogue *model.Catalogue, t *model.Target) bool {
	if e.cfg.Gate != nil {
		return e.cfg.Gate.Eligible(t.ID)
	}
	out := func(o model.DataCentreOut) bool { return o.ID == t.DataCentre }
	report, known := e.cfg.Inventory.Get(t.ID)
	return known && report.State != model.TargetDraining && !slices.ContainsFunc(catalogue.DataCentresOut, out)
}

// compile makes a view. The caller holds the mutex.
func (e *Engine) compile(catalogue *model.Catalogue, revision uint64) *view {
	v := &view{
		catalogue: catalogue,
		revision:  revision,
		eligible:  e.eligibility(catalogue),
		targets:   make(map[model.TargetID]*targetState, len(catalogue.Targets)),
		searches:  make(map[model.SearchID]*search, len(catalogue.Searches)),
	}
	groups := e.groupsOf(catalogue)
	for i, t := range catalogue.Targets {
		v.targets[t.ID] = e.stateOf(t, groups[t.ID])
		if report, ok := e.cfg.Inventory.Get(t.ID); ok && v.eligible[i] {
			v.reports = append(v.reports, report)
		}
	}
	for _, s := range catalogue.Searches {
		v.searches[s.ID] = &search{indexes: s.Indexes}
	}
	e.forgetGone(catalogue, v)
	e.hint(v)
	return v
}

// groupsOf returns the group of each target that serves an index, and drops groups that the catalogue no longer has.
func (e *Engine) groupsOf(catalogue *model.Catalogue) map[model.TargetID]*group {
	known := make(map[string]*group, len(e.groups))
	result := map[model.TargetID]*group{}
	for _, index := range catalogue.Indexes {
		for _, g := range index.Groups {
			name := string(index.ID) + "/" + g.ID
			state := e.groups[name]
			if state == nil {
				state = e.newGroup()
			}
			known[name] = state
			for _, id := range g.Targets {
				result[id] = state
			}
		}
	}
	e.groups = known
	return result
}

func (e *Engine) newGroup() *group { return &group{budget: budget.New(e.cfg.GroupBudget)} }

// stateOf returns the state of a target, which outlives the view, with the catalogue's present description.
func (e *Engine) stateOf(t model.Target, g *group) *targetState {
	if g == nil {
		g = e.newGroup()
	}
	old := e.targets[t.ID]
	if old != nil && old.Target == t && old.group == g {
		return old
	}
	slots := max(1, t.Slots)
	state := &targetState{Target: t, group: g, limiter: concurrency.New(concurrency.Config{
		Variant: e.cfg.Limiter, Initial: slots, Max: maxPerSlot * slots,
	})}
	e.targets[t.ID] = state
	return state
}

// forgetGone drops the state of targets and callers that the catalogue no longer has.
func (e *Engine) forgetGone(catalogue *model.Catalogue, v *view) {
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

// caller returns the state of a caller.
func (e *Engine) caller(id model.CallerID) *callerState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.callers[id]
	if state == nil {
		state = &callerState{budget: budget.New(e.cfg.CallerBudget)}
		e.callers[id] = state
	}
	return state
}
