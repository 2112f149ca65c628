package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// simulate sends sequential attempts to three targets with the given latencies and counts the attempts per target.
func simulate(stats []TargetStats, from time.Duration, attempts int, latency [3]time.Duration) (counts [3]int) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range attempts {
		now := from + time.Duration(i)*ms
		candidates := make([]Candidate, 3)
		for j := range candidates {
			candidates[j] = stats[j].Candidate(now, 4*ms)
		}
		chosen := Choose(rng, candidates)
		counts[chosen]++
		stats[chosen].Start(now - latency[chosen])
		stats[chosen].RecordEnd(now, now-latency[chosen], true)
	}
	return counts
}

// TestStragglerIsAvoidedAndRetried guards against preferring a slow target, and against never trying it again after it
// has recovered.
func TestStragglerIsAvoidedAndRetried(t *testing.T) {
	stats := make([]TargetStats, 3)
	for i := range stats {
		stats[i].RecordReport(6, 0)
	}
	slow := simulate(stats, 0, 3000, [3]time.Duration{4 * ms, 40 * ms, 4 * ms})
	require.Less(t, slow[1], 30, "%v", slow)
	recovered := simulate(stats, 30*time.Second, 3000, [3]time.Duration{4 * ms, 4 * ms, 4 * ms})
	require.Greater(t, recovered[1], 700, "%v", recovered)
}

// TestAttemptInFlightShowsStraggler guards against sending more attempts to a slow target whose first attempt has not
// ended yet.
func TestAttemptInFlightShowsStraggler(t *testing.T) {
	stats := make([]TargetStats, 3)
	stats[1].Start(0)
	stats[0].Start(0)
	stats[0].RecordEnd(4*ms, 0, true)
	now := 50 * ms
	require.Greater(t, stats[1].Candidate(now, 4*ms).Cost, 10*stats[0].Candidate(now, 4*ms).Cost)
	stats[1].RecordEnd(now, 0, false)
	require.Zero(t, stats[1].InFlight())
}

// TestCancelledAttemptsDoNotHideStraggler guards against a slow target that appears fast because its attempts are
// cancelled early.
func TestCancelledAttemptsDoNotHideStraggler(t *testing.T) {
	var straggler, usual TargetStats
	for i := range 40 {
		now := time.Duration(i) * 10 * ms
		straggler.Start(now - 5*ms)
		straggler.RecordEnd(now, now-5*ms, i%20 == 0)
		usual.Start(now - 8*ms)
		usual.RecordEnd(now, now-8*ms, true)
	}
	now := 400 * ms
	require.Greater(t, straggler.Candidate(now, 8*ms).Cost, 5*usual.Candidate(now, 8*ms).Cost)
}

// TestMisleadingReportsDoNotAttractAllAttempts guards against a slow target that attracts all attempts by reporting
// many free slots.
func TestMisleadingReportsDoNotAttractAllAttempts(t *testing.T) {
	stats := make([]TargetStats, 3)
	stats[0].RecordReport(6, 6)
	stats[1].RecordReport(600, 0)
	stats[2].RecordReport(6, 6)
	counts := simulate(stats, 0, 3000, [3]time.Duration{4 * ms, 40 * ms, 4 * ms})
	require.Less(t, counts[1], 60, "%v", counts)
}

// TestChooseSkipsRefusingTargets guards against choosing a target that has just refused while another replica is
// available.
func TestChooseSkipsRefusingTargets(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 100 {
		require.Equal(t, 1, Choose(rng, []Candidate{{Weight: 9, Avoid: true}, {Weight: 1, Cost: 9}}))
	}
	require.Equal(t, 0, Choose(rng, []Candidate{{Weight: 1, Avoid: true}}))
	require.Equal(t, -1, Choose(rng, nil))
}

// TestHedgeDelayIgnoresOneStraggler guards against a hedge delay that equals the latency of a single slow target.
func TestHedgeDelayIgnoresOneStraggler(t *testing.T) {
	require.Equal(t, 6*ms, HedgeDelay(90*ms, []time.Duration{5 * ms, 90 * ms, 6 * ms}, ms))
	require.Equal(t, 4*ms, HedgeDelay(4*ms, []time.Duration{5 * ms, 0, 6 * ms}, ms))
	require.Equal(t, ms, HedgeDelay(0, []time.Duration{0}, ms))
}
