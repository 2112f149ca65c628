package eligibility

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

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

// TestOlderStatementNeverReversesNewer guards against late, repeated or reordered statements making a draining target
// eligible (P8): in every order of arrival the newest statement is the one in force.
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
			require.Equal(t, !newest.Draining, state.Target("t1"))
		}
	})
}

// poll is a status question of one host: the target reads its state between the question and the arrival.
type poll struct{ asked, read, arrives time.Duration }

// accept runs polls in order of arrival and returns the times at which the states taken over were read.
func accept(t *rapid.T, state *State, flips []time.Duration) (reads []time.Duration) {
	var polls []poll
	for range rapid.IntRange(2, 20).Draw(t, "polls") {
		asked := time.Duration(rapid.IntRange(0, 100).Draw(t, "asked"))
		read := asked + time.Duration(rapid.IntRange(0, 50).Draw(t, "to"))
		polls = append(polls, poll{asked, read, read + time.Duration(rapid.IntRange(0, 50).Draw(t, "back"))})
	}
	for now := time.Duration(0); now <= 200; now++ {
		for _, p := range polls {
			if p.arrives != now {
				continue
			}
			draining := false
			for _, flip := range flips {
				draining = draining != (flip <= p.read)
			}
			if s, ok := state.Observe(Report{"t1", 1, draining, p.asked}); ok {
				state.Apply(now, s)
				reads = append(reads, p.read)
			}
		}
	}
	return reads
}

// TestLateReportDoesNotReverse guards against a status that was read before a target began to drain and arrives after
// the news of it (P8).
func TestLateReportDoesNotReverse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := New()
		var flips []time.Duration
		for range rapid.IntRange(1, 4).Draw(t, "flips") {
			flips = append(flips, time.Duration(rapid.IntRange(0, 150).Draw(t, "flip")))
		}
		reads := accept(t, state, flips)
		for i := 1; i < len(reads); i++ {
			require.LessOrEqual(t, reads[i-1], reads[i])
		}
	})
}

// TestCatalogueOut guards against work to a data centre that is out (P4), against an older catalogue reversing it, and
// against a return that is not a cold start.
func TestCatalogueOut(t *testing.T) {
	state := New()
	require.False(t, state.Target("t1"))
	require.Empty(t, state.SetCatalogue(catalogue(1)))
	require.True(t, state.Target("t1"))
	state.SetCatalogue(catalogue(3, "a"))
	require.False(t, state.Target("t1"))
	require.True(t, state.Target("t2"))
	require.Empty(t, state.SetCatalogue(catalogue(2)))
	require.False(t, state.Target("t1"))
	require.Equal(t, []model.TargetID{"t1"}, state.SetCatalogue(catalogue(4)))
	require.True(t, state.Target("t1"))
}

// TestLaterRunOfHostIsInService guards against a leave mark that outlives the run it belongs to, and against a late
// mark of an earlier run.
func TestLaterRunOfHostIsInService(t *testing.T) {
	state := New()
	state.SetCatalogue(catalogue(1, "b"))
	state.SetLeaving("h1", 7)
	require.False(t, state.Host("h1", 7, "a"))
	require.True(t, state.Host("h1", 8, "a"))
	require.False(t, state.Host("h2", 8, "b"))
	state.SetLeaving("h1", 6)
	require.False(t, state.Host("h1", 7, "a"))
}
