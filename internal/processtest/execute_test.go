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

// countRuns returns how often the targets have recorded an execution of an operation.
func (c *Cluster) countRuns(id string) int {
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

// TestOperationRunsOnceWhenHostIsKilled tests invariants P6 and P7 of docs/design.md with real processes: a repeated
// request gets the first outcome, and after the host was killed no host executes its tickets or reports that they did
// not run.
func TestOperationRunsOnceWhenHostIsKilled(t *testing.T) {
	c := Start(t, Small(2))
	host := c.Hosts[0]
	first, refusal := host.Ticket()
	require.Nil(t, refusal)
	for range 3 {
		require.Nil(t, host.Execute(first, "first"))
	}
	require.Equal(t, 1, c.countRuns("first"))
	host.Kill()
	host.Start()
	host.AwaitFullCoverage()
	for _, h := range c.Hosts {
		refusal = h.Execute(first, "first")
		require.NotNil(t, refusal)
		require.Equal(t, fault.OutcomeUnknown, refusal.Execution)
	}
	require.Equal(t, 1, c.countRuns("first"))
}

// TestCrashingOperationIsQuarantined guards against unlimited crashes by an operation that crashes its target and that
// its caller sends again and again.
func TestCrashingOperationIsQuarantined(t *testing.T) {
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
	c.await("the quarantine of the operation", func() bool {
		refusal := send("death")
		require.NotNil(t, refusal)
		return refusal.Kind == fault.Quarantined
	})
	refusal := send("death")
	require.Equal(t, fault.Quarantined, refusal.Kind)
	require.Equal(t, fault.NotRun, refusal.Execution)
	require.Positive(t, refusal.RetryAfterMS)
	ran := c.countRuns("death")
	require.GreaterOrEqual(t, ran, 2, "the quarantine starts only after two targets have crashed")
	require.LessOrEqual(t, ran, 4)
	c.await("the restart of the targets", func() bool { return send("harmless") == nil })
	require.Equal(t, ran, c.countRuns("death"))
}

// TestTicketsAreValidAtEveryHostAndAfterPlannedStop tests invariants P6, P7 and P9 of docs/design.md with real
// processes: a ticket is executed once whichever host receives it, and a planned stop of its issuer neither loses it
// nor lets it run again.
func TestTicketsAreValidAtEveryHostAndAfterPlannedStop(t *testing.T) {
	c := Start(t, Small(3))
	issuer := c.Hosts[0]
	used, refusal := issuer.Ticket()
	require.Nil(t, refusal)
	fresh, refusal := issuer.Ticket()
	require.Nil(t, refusal)
	for _, h := range c.Hosts {
		require.Nil(t, h.Execute(used, "used"))
	}
	require.Equal(t, 1, c.countRuns("used"))
	issuer.Terminate()
	require.Zero(t, issuer.AwaitExit())
	for _, h := range c.Hosts[1:] {
		c.await("the host to find the holder of the ledger", func() bool {
			refusal := h.Execute(used, "used")
			return refusal == nil || refusal.Execution != fault.OutcomeUnknown
		})
		require.Nil(t, h.Execute(used, "used"))
		require.Nil(t, h.Execute(fresh, "fresh"))
	}
	require.Equal(t, 1, c.countRuns("used"))
	require.Equal(t, 1, c.countRuns("fresh"))
}

// TestCrashingSearchCrashesFewTargets guards against a search that crashes every target that runs it and is sent to
// every host repeatedly. After its first execution it may only run alone, and then all hosts quarantine it.
func TestCrashingSearchCrashesFewTargets(t *testing.T) {
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
		c.await("the quarantine of the search", func() bool {
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
	// The first execution crashes one target of each of the three groups, and executions alone crash at most three more.
	// The other hosts have been notified by the time they receive the search.
	require.LessOrEqual(t, lost, 6)
	for _, h := range c.Hosts {
		c.await("full coverage of harmless searches", func() bool {
			reply, refusal := h.Search("harmless")
			return refusal == nil && reply.Coverage.Answered == reply.Coverage.Total
		})
	}
}

// TestSuspendedHostRunsItsTicketAtMostOnce tests invariants P6 and P7 of docs/design.md with a host that is suspended
// while it holds a ticket. Requests that wait in its sockets and requests that arrive after it resumes must not execute
// the ticket twice, and if it was executed, no host may report that it did not run.
func TestSuspendedHostRunsItsTicketAtMostOnce(t *testing.T) {
	c := Start(t, Small(3))
	holder := c.Hosts[0]
	text, refusal := holder.Ticket()
	require.Nil(t, refusal)
	holder.Suspend()
	refusals := make([]*fault.Error, 2*len(c.Hosts))
	var wg sync.WaitGroup
	for i := range refusals {
		wg.Go(func() { refusals[i] = c.Hosts[i%len(c.Hosts)].Execute(text, "frozen") })
	}
	time.Sleep(5 * time.Second)
	holder.Resume()
	wg.Wait()
	holder.AwaitFullCoverage()
	for _, h := range c.Hosts {
		refusals = append(refusals, h.Execute(text, "frozen"))
	}
	require.LessOrEqual(t, c.countRuns("frozen"), 1)
	for _, refusal := range refusals {
		if c.countRuns("frozen") > 0 && refusal != nil {
			require.NotEqual(t, fault.NotRun, refusal.Execution, refusal.Message)
		}
	}
}
