package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestExtraAttemptsStayWithinShare guards against extra load above the share of first attempts plus the burst, for the
// group as well as for the caller, and against any extra attempt while queues form.
func TestExtraAttemptsStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group, caller := New(Config{Share: 0.05, Burst: 2}), New(Config{Share: 0.05, Burst: 10})
		firsts, extras := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			group.Earn()
			caller.Earn()
			firsts++
			require.False(t, Spend(group, caller, true))
			if Spend(group, caller, false) {
				extras++
			}
		}
		require.LessOrEqual(t, float64(extras), 0.05*float64(firsts)+2)
	})
}

// TestSpendTakesFromBothOrNeither guards against a caller that loses its budget to a group that has none.
func TestSpendTakesFromBothOrNeither(t *testing.T) {
	empty, full := New(Config{Share: 0.05}), New(Config{Share: 0.05, Burst: 1})
	require.False(t, Spend(empty, full, false))
	require.False(t, Spend(full, empty, false))
	require.True(t, full.CanSpend())
}

// TestBackoffGrowsWithJitter guards against retries in step, without a pause, or with a pause that overflows.
func TestBackoffGrowsWithJitter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	backoff := Backoff{Base: time.Millisecond, Max: 20 * time.Millisecond}
	seen := map[time.Duration]bool{}
	for retry := 1; retry < 100; retry++ {
		wait := backoff.Wait(rng, retry)
		ceiling := min(backoff.Max, backoff.Base<<min(retry-1, 10))
		require.True(t, wait >= ceiling/2 && wait <= ceiling, "retry %d waits %v", retry, wait)
		seen[wait] = true
	}
	require.Greater(t, len(seen), 90)
}
