package concurrency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulate keeps the number of attempts at a target at the limit. The target sheds load above three times its slots, and its
// latency grows with its queue. simulate returns the mean limit and the fraction of shed attempts in the second half.
func simulate(l Limiter, slots int) (mean, shed float64) {
	const steps = 4000
	for i := range steps {
		now := time.Duration(i) * time.Millisecond
		inFlight := l.Limit()
		latency := 4 * time.Millisecond * time.Duration(max(inFlight, slots)) / time.Duration(slots)
		outcome := Success
		if inFlight > 3*slots {
			outcome, latency = Overload, time.Millisecond
		}
		l.Observe(now, latency, inFlight, outcome)
		if i >= steps/2 {
			mean += float64(inFlight) / (steps / 2)
			if outcome == Overload {
				shed += 1.0 / (steps / 2)
			}
		}
	}
	return mean, shed
}

// TestLimitsFollowCapacity guards against a limit that leaves slots of a target unused, and against one that stays so high
// that the target sheds load.
func TestLimitsFollowCapacity(t *testing.T) {
	for _, variant := range []Variant{VariantGradient, VariantAIMD} {
		for _, slots := range []int{2, 6} {
			cfg := Config{Variant: variant, Initial: 1, Max: 50}
			require.NoError(t, cfg.Validate())
			mean, shed := simulate(New(cfg), slots)
			require.True(t, mean >= float64(slots) && mean <= 3*float64(slots), "%s with %d slots: %g", variant, slots, mean)
			require.Less(t, shed, 0.2, "%s with %d slots", variant, slots)
		}
	}
	fixed := New(Config{Variant: VariantFixed, Initial: 7, Max: 7})
	fixed.Observe(0, time.Second, 7, Overload)
	require.Equal(t, 7, fixed.Limit())
}

// TestIdleLimitDoesNotGrow guards against a limit that grows while it is not in use and then admits a burst.
func TestIdleLimitDoesNotGrow(t *testing.T) {
	for _, variant := range []Variant{VariantGradient, VariantAIMD} {
		l := New(Config{Variant: variant, Initial: 10, Max: 50})
		for i := range 1000 {
			l.Observe(time.Duration(i)*time.Millisecond, time.Millisecond, 1, Success)
		}
		require.LessOrEqual(t, l.Limit(), 10, variant)
	}
}
