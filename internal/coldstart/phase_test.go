package coldstart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// warmState returns the state of a single host that knows one warm target.
func warmState() *State {
	state := New()
	state.SetTargets(0, []Target{coldTarget})
	state.Apply(0, Statement{Target: "t1", Incarnation: 1, Epoch: 2, Warm: true})
	return state
}

func observe(s *State, now time.Duration, kind ObservationKind, latency time.Duration) bool {
	_, ok := s.Observe(now, Observation{"t1", 1, kind, latency})
	return ok
}

// TestIsolatedSignsDoNotChangePhase guards against a target that alternates between cold and warm: signs more than a
// second apart, with successes in between, must not change its phase.
func TestIsolatedSignsDoNotChangePhase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, now := warmState(), time.Second
		for range rapid.IntRange(5, 40).Draw(t, "signs") {
			kind := []ObservationKind{Reset, Shed}[rapid.IntRange(0, 1).Draw(t, "kind")]
			repeats := map[ObservationKind]int{Reset: 1, Shed: shedsPerSign}[kind]
			for range repeats {
				require.False(t, observe(state, now, kind, 0))
			}
			now += signWindow + time.Duration(rapid.IntRange(1, 500).Draw(t, "gap"))*time.Millisecond
			require.False(t, observe(state, now, Succeeded, 10*time.Millisecond))
		}
		require.True(t, state.IsWarm("t1"))
	})
}

// TestPhaseChangesAreRateLimited guards against statements in quick succession: whatever is observed, a target that
// became cold must stay so for at least SettleTime.
func TestPhaseChangesAreRateLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, now, coldStarts := warmState(), time.Duration(0), 0
		for range 400 {
			now += time.Duration(rapid.IntRange(1, 40).Draw(t, "advance")) * time.Millisecond
			kind := []ObservationKind{Succeeded, Succeeded, Reset, Shed}[rapid.IntRange(0, 3).Draw(t, "kind")]
			if observe(state, now, kind, 5*time.Millisecond) {
				coldStarts++
			}
			if progress, ok := state.Report(now, "t1"); ok {
				state.ApplyProgress(now, "h0", progress)
			}
		}
		require.LessOrEqual(t, coldStarts, 1+int(now/SettleTime))
	})
}

// TestSignsOfColdStart guards against treating a restarted target as warm.
func TestSignsOfColdStart(t *testing.T) {
	slow := func(s *State, now time.Duration) bool {
		for range latencyWindow {
			observe(s, now, Succeeded, 10*time.Millisecond)
		}
		becameCold := false
		for range 2 * slowRepliesPerSign {
			becameCold = observe(s, now, Succeeded, 41*time.Millisecond) || becameCold
		}
		return becameCold
	}
	signs := map[string]func(s *State, now time.Duration) bool{
		"two resets": func(s *State, now time.Duration) bool {
			observe(s, now, Reset, 0)
			return observe(s, now+signWindow, Reset, 0)
		},
		"run of sheds": func(s *State, now time.Duration) bool {
			for range 2*shedsPerSign - 1 {
				observe(s, now, Shed, 0)
			}
			return observe(s, now, Shed, 0)
		},
		"latency step":  slow,
		"reported cold": func(s *State, now time.Duration) bool { return observe(s, now, ReportedCold, 0) },
		"new incarnation": func(s *State, now time.Duration) bool {
			_, ok := s.Observe(now, Observation{"t1", 2, Succeeded, time.Millisecond})
			return ok
		},
		"return": func(s *State, now time.Duration) bool {
			_, ok := s.MarkReturned(now, "t1")
			return ok
		},
	}
	for name, sign := range signs {
		state := warmState()
		require.True(t, sign(state, time.Second), name)
		require.Equal(t, Cold, state.Phase("t1"), name)
		require.Zero(t, state.Allowance(time.Second, "t1"), name)
	}
}

// TestOlderStatementKeepsTargetCold guards against a late "warm" statement that overrides a newer "cold" one.
func TestOlderStatementKeepsTargetCold(t *testing.T) {
	state := warmState()
	state.MarkReturned(0, "t1")
	require.False(t, state.Apply(0, Statement{Target: "t1", Incarnation: 1, Epoch: 2, Warm: true}))
	require.False(t, state.Apply(0, Statement{Target: "t1", Incarnation: 1, Epoch: 3, Warm: true}))
	require.False(t, state.IsWarm("t1"))
	require.True(t, state.Apply(0, Statement{Target: "t1", Incarnation: 1, Epoch: 4, Warm: true}))
}

// TestRepeatedProgressCountsOnce guards against a target that warms up through repeated or reordered reports.
func TestRepeatedProgressCountsOnce(t *testing.T) {
	state := warmState()
	state.MarkReturned(0, "t1")
	for _, successes := range []uint64{5, 5, 7, 5, 7} {
		state.ApplyProgress(SettleTime, "h1", Progress{"t1", 1, 3, successes, 0})
	}
	require.Equal(t, 1, state.Allowance(SettleTime, "t1"))
	state.ApplyProgress(SettleTime, "h2", Progress{"t1", 1, 3, 1, 0})
	require.Equal(t, 2, state.Allowance(SettleTime, "t1"))
	require.Equal(t, Warming, state.Phase("t1"))
}

// TestInitialTargetsFollowReportsWithoutOtherEvidence guards against treating every target as cold when all hosts start
// at once, against a report that overrides the evidence of another host, and against full load on a target that
// operators add.
func TestInitialTargetsFollowReportsWithoutOtherEvidence(t *testing.T) {
	state := New()
	added := Target{ID: "added", Slots: 4, ColdSlots: 1}
	state.SetTargets(0, []Target{coldTarget})
	ready := func(t Target) Observation { return Observation{Target: t.ID, Incarnation: 1, Kind: ReportedReady} }
	state.Observe(0, ready(coldTarget))
	require.True(t, state.IsWarm(coldTarget.ID))
	require.True(t, state.Apply(0, Statement{Target: coldTarget.ID, Incarnation: 1, Epoch: 1}))
	state.Observe(0, ready(coldTarget))
	require.False(t, state.IsWarm(coldTarget.ID))

	state.SetTargets(0, []Target{coldTarget, added})
	state.Observe(0, ready(added))
	require.False(t, state.IsWarm(added.ID))
}

// TestColdReportStopsRampUp guards against raising the allowance of a target that still reports that it is cold, and
// against a target that stays cold after its last such report.
func TestColdReportStopsRampUp(t *testing.T) {
	state := New()
	state.SetTargets(0, []Target{coldTarget})
	now := time.Second
	state.Observe(now, Observation{Target: coldTarget.ID, Incarnation: 1, Kind: ReportedCold})
	now += SettleTime // the allowance is 0 until then
	successes := uint64(0)
	step := func() {
		now += 100 * time.Millisecond
		successes += successesPerDoubling
		state.ApplyProgress(now, "owner", Progress{Target: coldTarget.ID, Incarnation: 1, Epoch: 1, Successes: successes})
	}
	for now < 20*time.Second {
		state.Observe(now, Observation{Target: coldTarget.ID, Incarnation: 1, Kind: ReportedCold})
		step()
		require.LessOrEqual(t, state.Allowance(now, coldTarget.ID), coldTarget.ColdSlots)
	}
	for now < 25*time.Second {
		step()
	}
	require.True(t, state.IsWarm(coldTarget.ID))
}
