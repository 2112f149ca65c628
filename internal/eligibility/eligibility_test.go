package eligibility

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// A fixed seed makes the property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

func catalogue(generation model.Generation, out ...model.DataCentreID) *model.Catalogue {
	c := &model.Catalogue{Generation: generation, Targets: []model.Target{
		{ID: "t1", DataCentre: "a"}, {ID: "t2", DataCentre: "b"},
	}}
	for _, id := range out {
		c.DataCentresOut = append(c.DataCentresOut, model.DataCentreOut{ID: id})
	}
	return c
}

// TestOlderStatementNeverReversesNewer guards against late, repeated or reordered statements that make a draining
// target eligible (P8). Whatever the order of arrival, the newest statement must be in effect.
func TestOlderStatementNeverReversesNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := New()
		state.SetCatalogue(catalogue(1))
		newest := Statement{Target: "t1"}
		for range rapid.IntRange(1, 30).Draw(t, "count") {
			statement := Statement{
				Target:      "t1",
				Incarnation: model.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				Sequence:    uint64(rapid.IntRange(1, 4).Draw(t, "sequence")),
				Draining:    rapid.Bool().Draw(t, "draining"),
			}
			later := statement.Incarnation > newest.Incarnation ||
				statement.Incarnation == newest.Incarnation && statement.Sequence > newest.Sequence
			same := statement.Incarnation == newest.Incarnation && statement.Sequence == newest.Sequence
			if later || same && statement.Draining {
				newest = statement
			}
			state.Apply(0, statement)
			require.Equal(t, !newest.Draining, state.TargetEligible("t1"))
		}
	})
}

// statusPoll is a status request of one host. The target reads its state between the request and the arrival of the
// reply.
type statusPoll struct{ asked, read, arrives time.Duration }

// runPolls delivers random polls in order of arrival, and returns the times at which the accepted states were read.
func runPolls(t *rapid.T, state *State, stateChanges []time.Duration) (reads []time.Duration) {
	var polls []statusPoll
	for range rapid.IntRange(2, 20).Draw(t, "polls") {
		asked := time.Duration(rapid.IntRange(0, 100).Draw(t, "asked"))
		read := asked + time.Duration(rapid.IntRange(0, 50).Draw(t, "request delay"))
		polls = append(polls, statusPoll{asked, read, read + time.Duration(rapid.IntRange(0, 50).Draw(t, "reply delay"))})
	}
	for now := time.Duration(0); now <= 200; now++ {
		for _, p := range polls {
			if p.arrives != now {
				continue
			}
			draining := false
			for _, change := range stateChanges {
				draining = draining != (change <= p.read)
			}
			if s, ok := state.Observe(Report{"t1", 1, draining, p.asked}); ok {
				state.Apply(now, s)
				reads = append(reads, p.read)
			}
		}
	}
	return reads
}

// TestLateReportDoesNotReverse guards against a status that was read before a target began to drain, arrives after the
// host learned of the draining, and makes the target eligible again (P8).
func TestLateReportDoesNotReverse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := New()
		var stateChanges []time.Duration
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			stateChanges = append(stateChanges, time.Duration(rapid.IntRange(0, 150).Draw(t, "change")))
		}
		reads := runPolls(t, state, stateChanges)
		for i := 1; i < len(reads); i++ {
			require.LessOrEqual(t, reads[i-1], reads[i])
		}
	})
}

// TestDataCentreOutInCatalogueGetsNoWork guards against work for a data centre that is out (P4), against an older
// catalogue that overrides a newer one, and against targets that return without a cold start.
func TestDataCentreOutInCatalogueGetsNoWork(t *testing.T) {
	state := New()
	require.False(t, state.TargetEligible("t1"))
	require.Empty(t, state.SetCatalogue(catalogue(1)))
	require.True(t, state.TargetEligible("t1"))
	state.SetCatalogue(catalogue(3, "a"))
	require.False(t, state.TargetEligible("t1"))
	require.True(t, state.TargetEligible("t2"))
	require.Empty(t, state.SetCatalogue(catalogue(2)))
	require.False(t, state.TargetEligible("t1"))
	require.Equal(t, []model.TargetID{"t1"}, state.SetCatalogue(catalogue(4)))
	require.True(t, state.TargetEligible("t1"))
}

// TestLaterRunOfHostIsInService guards against a leave notice that affects later incarnations of the host, and against
// a late notice about an earlier incarnation that overrides a newer one.
func TestLaterRunOfHostIsInService(t *testing.T) {
	state := New()
	state.SetCatalogue(catalogue(1, "b"))
	state.SetLeaving("h1", 7)
	require.False(t, state.HostEligible("h1", 7, "a"))
	require.True(t, state.HostEligible("h1", 8, "a"))
	require.False(t, state.HostEligible("h2", 8, "b"))
	state.SetLeaving("h1", 6)
	require.False(t, state.HostEligible("h1", 7, "a"))
}
