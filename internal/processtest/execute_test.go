package processtest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

var payoutTargets = []model.TargetID{"payouts-00", "payouts-01", "payouts-02"}

// runs counts the executions of an operation that the targets have recorded.
func (c *Cluster) runs(id string) int {
	count := 0
	for _, target := range payoutTargets {
		for _, record := range c.Records(target) {
			if record.Ran && strings.Contains(record.Payload, id) {
				count++
			}
		}
	}
	return count
}

// TestOperationRunsOnceAcrossAKill guards P6 and P7 with real processes: a repeat gets the first outcome, and after the
// host was killed nobody executes its tickets or says that they did not run.
func TestOperationRunsOnceAcrossAKill(t *testing.T) {
	c := Start(t, Small(2))
	host := c.Hosts[0]
	first, refusal := host.Ticket()
	require.Nil(t, refusal)
	for range 3 {
		require.Nil(t, host.Execute(first, "first"))
	}
	require.Equal(t, 1, c.runs("first"))
	host.Kill()
	host.Start()
	host.AwaitWhole()
	for _, h := range c.Hosts {
		refusal = h.Execute(first, "first")
		require.NotNil(t, refusal)
		require.Equal(t, fault.OutcomeUnknown, refusal.Execution)
	}
	require.Equal(t, 1, c.runs("first"))
}

// TestOperationOfDeathIsQuarantined guards against an operation that crashes its target and is sent again by its caller.
func TestOperationOfDeathIsQuarantined(t *testing.T) {
	c := Start(t, Small(1))
	host := c.Hosts[0]
	for _, target := range payoutTargets {
		c.SetPoison(target, "death")
	}
	send := func(id string) *fault.Error {
		text, refusal := host.Ticket()
		require.Nil(t, refusal)
		return host.Execute(text, id)
	}
	c.await("the operation is quarantined", func() bool {
		refusal := send("death")
		require.NotNil(t, refusal)
		return refusal.Kind == fault.Quarantined
	})
	refusal := send("death")
	require.Equal(t, fault.Quarantined, refusal.Kind)
	require.Equal(t, fault.NotRun, refusal.Execution)
	require.Positive(t, refusal.RetryAfterMS)
	ran := c.runs("death")
	require.GreaterOrEqual(t, ran, 2, "two targets are lost before the quarantine")
	require.LessOrEqual(t, ran, 4)
	c.await("the targets are back", func() bool { return send("harmless") == nil })
	require.Equal(t, ran, c.runs("death"))
}
