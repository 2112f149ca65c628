package transit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestDelayedMessageIsNoticed guards against taking a message for new that waited while its receiver was frozen.
func TestDelayedMessageIsNoticed(t *testing.T) {
	var e Estimator
	const skew = -3 * time.Hour
	require.Zero(t, e.Waited("a", 1, 0, skew+2*ms))
	require.Equal(t, ms, e.Waited("a", 1, 100*ms, skew+103*ms))
	require.Equal(t, 1600*ms, e.Waited("a", 1, 200*ms, skew+1802*ms))
	require.Zero(t, e.Waited("a", 1, 2000*ms, skew+2001*ms), "a faster one lowers the baseline")
	require.Zero(t, e.Waited("a", 2, 5*ms, 0), "a restarted host may have another clock")
	require.Zero(t, e.Waited("a", 1, 0, time.Hour), "a message of an earlier incarnation proves nothing")
}

// TestDriftIsNoDelay guards against refusing all messages of a host whose clock runs slower than this one's.
func TestDriftIsNoDelay(t *testing.T) {
	var e Estimator
	for at := time.Duration(0); at < 24*time.Hour; at += time.Second {
		drift := at / 20_000
		require.Less(t, e.Waited("a", 1, at, at+drift+2*ms), 100*ms)
	}
}

// TestEstimateNeverExceedsTheDelay guards against declining messages that did not wait: the estimate is at most the true delay.
func TestEstimateNeverExceedsTheDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		skew := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "skew"))
		now := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Minute)).Draw(t, "pause"))
			delay := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "delay"))
			waited := e.Waited("a", 1, now, now+delay+skew)
			require.LessOrEqual(t, waited, delay)
			require.GreaterOrEqual(t, waited, time.Duration(0))
		}
	})
}
