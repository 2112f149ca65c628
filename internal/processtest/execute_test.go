package processtest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// runs counts the executions of an operation that the targets have recorded.
func (c *Cluster) runs(id string) int {
	count := 0
	for _, target := range []model.TargetID{"payouts-00", "payouts-01", "payouts-02"} {
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
