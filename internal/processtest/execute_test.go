package processtest

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

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

// TestTicketsWorkAtEveryHostAndOverAPlannedStop guards P6, P7 and P9 with real processes: a ticket is executed once whichever
// host gets it, and a planned stop of its issuer neither loses it nor lets it run again.
func TestTicketsWorkAtEveryHostAndOverAPlannedStop(t *testing.T) {
	c := Start(t, Small(3))
	issuer := c.Hosts[0]
	used, refusal := issuer.Ticket()
	require.Nil(t, refusal)
	fresh, refusal := issuer.Ticket()
	require.Nil(t, refusal)
	for _, h := range c.Hosts {
		require.Nil(t, h.Execute(used, "used"))
	}
	require.Equal(t, 1, c.runs("used"))
	issuer.Terminate()
	require.Zero(t, issuer.AwaitExit())
	for _, h := range c.Hosts[1:] {
		c.await("the host finds the holder of the ledger", func() bool {
			refusal := h.Execute(used, "used")
			return refusal == nil || refusal.Execution != fault.OutcomeUnknown
		})
		require.Nil(t, h.Execute(used, "used"))
		require.Nil(t, h.Execute(fresh, "fresh"))
	}
	require.Equal(t, 1, c.runs("used"))
	require.Equal(t, 1, c.runs("fresh"))
}

// TestSearchOfDeathLosesFewTargets guards against a search that crashes each target that runs it and is sent again to every
// host: after the first run it runs alone, and then it is quarantined at all hosts.
func TestSearchOfDeathLosesFewTargets(t *testing.T) {
	c := Start(t, Small(3))
	var targets []model.TargetID
	for group := range 3 {
		for server := range 3 {
			id := model.TargetID(fmt.Sprintf("parts-g%02d-%d", group, server))
			c.SetPoison(id, "death")
			targets = append(targets, id)
		}
	}
	for _, h := range c.Hosts {
		c.await("the search is quarantined", func() bool {
			_, refusal := h.Search("death")
			return refusal != nil && refusal.Kind == fault.Quarantined && refusal.Execution == fault.NotRun
		})
	}
	lost := 0
	for _, id := range targets {
		for _, record := range c.Records(id) {
			if record.Ran && strings.Contains(record.Payload, "death") {
				lost++
			}
		}
	}
	// One target of each group in the first run, and at most three in runs alone; the other hosts send after the notice.
	require.LessOrEqual(t, lost, 6)
	for _, h := range c.Hosts {
		c.await("harmless searches are answered whole again", func() bool {
			reply, refusal := h.Search("harmless")
			return refusal == nil && reply.Coverage.Answered == reply.Coverage.Total
		})
	}
}

// TestFrozenHolderRunsItsTicketAtMostOnce guards P6 and P7 against a host that is frozen while it holds a ticket: copies that
// wait in its sockets and copies that come after it wakes must not run it twice, and nobody may say that it did not run.
func TestFrozenHolderRunsItsTicketAtMostOnce(t *testing.T) {
	c := Start(t, Small(3))
	holder := c.Hosts[0]
	text, refusal := holder.Ticket()
	require.Nil(t, refusal)
	holder.Freeze()
	refusals := make([]*fault.Error, 2*len(c.Hosts))
	var copies sync.WaitGroup
	for i := range refusals {
		copies.Go(func() { refusals[i] = c.Hosts[i%len(c.Hosts)].Execute(text, "frozen") })
	}
	time.Sleep(5 * time.Second)
	holder.Thaw()
	copies.Wait()
	holder.AwaitWhole()
	for _, h := range c.Hosts {
		refusals = append(refusals, h.Execute(text, "frozen"))
	}
	require.LessOrEqual(t, c.runs("frozen"), 1)
	for _, refusal := range refusals {
		if c.runs("frozen") > 0 && refusal != nil {
			require.NotEqual(t, fault.NotRun, refusal.Execution, refusal.Message)
		}
	}
}
