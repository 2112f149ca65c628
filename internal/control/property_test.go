package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

var testCentres = []model.DataCentreInfo{
	{ID: "a", Region: "north"}, {ID: "b", Region: "north"}, {ID: "c", Region: "south"}, {ID: "d", Region: "east"},
}

func putEdit(kind change.Kind, id string, entry any) change.Edit {
	return change.Edit{Op: change.Put, Kind: kind, ID: id, Value: must(json.Marshal(entry))}
}

func centreEdits(centres []model.DataCentreInfo) []change.Edit {
	var edits []change.Edit
	for _, centre := range centres {
		edits = append(edits, putEdit(change.DataCentre, string(centre.ID), centre))
	}
	return edits
}

func outEdit(id string) []change.Edit {
	return []change.Edit{putEdit(change.HostOut, id, model.HostOut{ID: model.HostID(id), Reason: "test"})}
}

// step is one event of a drawn plan.
type step struct {
	kind string
	host int
	// length is how long the event lasts, wait the time until the next step.
	length, wait time.Duration
}

func drawPlan(t *rapid.T) []step {
	kinds := []string{"accept", "accept", "accept lost", "pause", "restart", "cut", "cut with store", "isolate",
		"store down", "store down for one", "loss"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			host:   rapid.IntRange(0, 11).Draw(t, "host"),
			length: time.Duration(rapid.IntRange(1, 100).Draw(t, "length")) * 100 * time.Millisecond,
			wait:   time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * 100 * time.Millisecond,
		}
	}), 1, 12).Draw(t, "plan")
}

// trial runs a plan and records the first violation of the nodes, and of naive hosts beside them.
type trial struct {
	*sim
	storeDown, oneDown time.Duration // end of the outage
	oneCentre          model.DataCentreID
	cutUntil           time.Duration
	isolatedUntil      time.Duration
	isolated           int
	cutCentre          model.DataCentreID
	changes            int
	naive              []naiveHost
	violation          string
	naiveViolation     string
}

// naiveHost applies whatever the store's watch brings and never fences itself.
type naiveHost struct {
	generation, best model.Generation
}

func newTrial(seed uint64) *trial {
	t := &trial{sim: newSim(seed), naive: make([]naiveHost, 12)}
	t.delay = func(_, _ *simHost) time.Duration {
		if t.duplicate > 0 && t.rng.IntN(50) == 0 {
			return time.Duration(t.rng.IntN(3000)) * time.Millisecond // overtaken by many later frames
		}
		return time.Duration(1+t.rng.IntN(20)) * time.Millisecond
	}
	t.duplicate = 0.02
	t.cut = func(from, to *simHost) bool {
		if t.now < t.isolatedUntil && (from.index == t.isolated || to.index == t.isolated) {
			return true
		}
		return t.now < t.cutUntil && (from.self.DataCentre == t.cutCentre) != (to.self.DataCentre == t.cutCentre)
	}
	t.storeFails = func(h *simHost) bool {
		return t.now < t.storeDown || t.now < t.isolatedUntil && h.index == t.isolated || t.now < t.oneDown && h.self.DataCentre == t.oneCentre
	}
	t.onPut = t.tellNaive
	t.accept(centreEdits(testCentres), true)
	t.addHosts(12, testCentres, false)
	for i := range t.naive {
		t.naive[i].generation = 1
	}
	return t
}

func (t *trial) tellNaive() {
	generation := model.Generation(len(t.accepted) + 1)
	for i, h := range t.hosts {
		if t.storeFails(h) {
			continue
		}
		t.at(h, time.Duration(t.rng.IntN(300))*time.Millisecond, func() { t.naive[i].generation = generation })
	}
}

func (t *trial) apply(s step) {
	h := t.hosts[s.host]
	switch s.kind {
	case "accept", "accept lost":
		if !h.up || t.now < h.resume || t.storeFails(h) {
			return // the operator has to ask another host
		}
		t.changes++
		c := t.accept(outEdit(fmt.Sprint("x", t.changes)), s.kind == "accept")
		if s.kind == "accept" {
			h.node.accepted(t.now-h.started, c.BasedOn+1, c)
		}
	case "pause":
		h.resume = t.now + s.length
	case "restart":
		t.stop(h)
		t.after(min(s.length, 5*time.Second), func() { t.start(h) })
	case "cut":
		t.cutUntil, t.cutCentre = t.now+s.length, h.self.DataCentre
	case "cut with store":
		t.cutUntil, t.cutCentre = t.now+s.length, h.self.DataCentre
		t.oneDown, t.oneCentre = t.now+s.length, h.self.DataCentre
	case "isolate":
		t.isolatedUntil, t.isolated = t.now+s.length, s.host
	case "store down":
		t.storeDown = t.now + s.length
	case "store down for one":
		t.oneDown, t.oneCentre = t.now+s.length, h.self.DataCentre
	case "loss":
		t.loss = float64(s.host) / 40
	}
}

// check looks at every host that runs now.
func (t *trial) check() {
	if t.now >= t.storeDown {
		t.learn() // the operator asks again through any host that reaches the store
	}
	for i, h := range t.hosts {
		if !h.up || t.now < h.resume {
			continue
		}
		if h.serves > t.now {
			t.inspect(&t.violation, fmt.Sprint("node ", i), h.node.state.Catalogue.Generation(), &h.best)
		}
		t.inspect(&t.naiveViolation, fmt.Sprint("naive ", i), t.naive[i].generation, &t.naive[i].best)
	}
}

// inspect records a violation by a host that takes new work.
func (t *trial) inspect(violation *string, who string, generation model.Generation, best *model.Generation) {
	if *violation != "" {
		return
	}
	if generation < *best {
		*violation = fmt.Sprintf("%s went from generation %d back to %d at %s", who, *best, generation, t.now)
	}
	if required := t.required(); generation < required {
		*violation = fmt.Sprintf("%s takes work at %s with generation %d, but %d was accepted over 3 s ago", who, t.now, generation, required)
	}
	*best = max(*best, generation)
}

// converged describes what is not as it has to be some time after the last fault.
func (t *trial) converged() string {
	newest := model.Generation(len(t.accepted))
	for i, h := range t.hosts {
		switch {
		case h.serves <= t.now:
			return fmt.Sprintf("host %d takes no work", i)
		case h.node.state.Catalogue.Generation() != newest:
			return fmt.Sprintf("host %d has generation %d, not %d", i, h.node.state.Catalogue.Generation(), newest)
		}
		for j, other := range t.hosts {
			member, _, _ := h.node.members.Lookup(other.self.ID)
			if member.State != membership.Alive || member.Incarnation != model.Incarnation(other.run) {
				return fmt.Sprintf("host %d takes host %d, run %d, for %+v", i, j, other.run, member)
			}
		}
	}
	return ""
}

// spreadTime passes between two events of a plan. A change that is accepted through a host which ends together with the
// store, before it has told anybody, is known to nobody; docs/design.md lists that risk.
const spreadTime = 500 * time.Millisecond

func (t *trial) run(plan []step) {
	t.advance(10*time.Second, t.check)
	for _, s := range plan {
		t.apply(s)
		t.advance(max(s.wait, spreadTime), t.check)
	}
	t.advance(11*time.Second, t.check) // the longest event lasts 10 s
	t.loss = 0
	t.duplicate = 0
	t.advance(25*time.Second, t.check)
}

// Guards against a host that takes work without what was accepted 3 s ago (P4), whose generation goes back even over a
// restart (P10), that stays out of service after the faults, or that is taken for its earlier run. The naive hosts have
// to fail in some plan, or the test could not fail.
func TestHostsAreNeverBehindWhileTheyServe(t *testing.T) {
	naiveFailed := ""
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		trial := newTrial(rapid.Uint64().Draw(rt, "seed"))
		trial.run(plan)
		require.Empty(rt, trial.violation)
		require.Empty(rt, trial.converged())
		if naiveFailed == "" {
			naiveFailed = trial.naiveViolation
		}
	})
	require.NotEmpty(t, naiveFailed)
	t.Log("a naive host fails:", naiveFailed)
}

// Guards against hosts that refuse all work when the store fails, although nobody can accept a change then. The calls of
// the relays get no answer, which takes longest to notice.
func TestStoreOutageFencesNobody(t *testing.T) {
	for _, hosts := range []int{4, 12, 60} {
		s := newSim(uint64(hosts))
		down := false
		s.storeFails = func(*simHost) bool { return down }
		s.accept(centreEdits(testCentres), true)
		s.addHosts(hosts, testCentres, false)
		s.advance(15*time.Second, nil)
		for range 2 {
			down = true
			s.advance(10*time.Second, func() {
				for i, h := range s.hosts {
					require.Greater(t, h.serves, s.now, "host %d of %d", i, hosts)
				}
			})
			down = false
			s.advance(2*time.Second+77*time.Millisecond, nil)
		}
	}
}
