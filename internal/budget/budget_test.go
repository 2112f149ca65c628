package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestExtraAttemptsStayWithinShare checks that the extra attempts never exceed the share of the first attempts plus the
// smaller burst of the two buckets.
func TestExtraAttemptsStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group, caller := New(Config{Share: 0.05, Burst: 2}), New(Config{Share: 0.05, Burst: 10})
		firsts, extras := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			group.Earn()
			caller.Earn()
			firsts++
			if Spend(group, caller, 0) {
				extras++
			}
		}
		require.LessOrEqual(t, float64(extras), 0.05*float64(firsts)+2)
	})
}

// TestSpendTakesFromBothOrNeither guards against taking a token from one bucket when the other one is empty.
func TestSpendTakesFromBothOrNeither(t *testing.T) {
	empty, full := New(Config{Share: 0.05}), New(Config{Share: 0.05, Burst: 1})
	require.False(t, Spend(empty, full, 0))
	require.False(t, Spend(full, empty, 0))
	require.True(t, full.CanSpend(0))
}

// TestReserveForStuckAttemptsIsKept guards against hedges of ordinary tail latency that use up the budget for hedges of
// stuck attempts.
func TestReserveForStuckAttemptsIsKept(t *testing.T) {
	group, caller := New(Config{Burst: 2}), New(Config{Burst: 10})
	require.True(t, Spend(group, caller, 0.5))
	require.False(t, Spend(group, caller, 0.5))
	require.True(t, Spend(group, caller, 0))
}

// TestBackoffGrowsWithJitter guards against synchronized retries, retries without delay, and overflow of the delay.
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
