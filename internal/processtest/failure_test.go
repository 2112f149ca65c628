package processtest

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/platform"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
)

const (
	// drainTimeout is the time after which a data centre that is out or a draining target must not receive new work.
	drainTimeout    = 3 * time.Second
	outDataCentre   = "dc-1"
	otherDataCentre = "dc-2"
)

// recordsInDataCentre returns the attempts at a data centre's targets that started after the given time.
func recordsInDataCentre(c *Cluster, centre model.DataCentreID, after time.Time) []target.Record {
	var found []target.Record
	for _, t := range c.Catalogue.Targets {
		if t.DataCentre != centre {
			continue
		}
		for _, r := range c.Records(t.ID) {
			if r.Start.After(after) {
				found = append(found, r)
			}
		}
	}
	return found
}

// searchUntil sends searches to a host until the given time and returns the number of refusals.
func searchUntil(h *Host, end time.Time) (refused int) {
	for i := 0; time.Now().Before(end); i++ {
		if _, refusal := h.Search(fmt.Sprint("load-", i)); refusal != nil {
			refused++
		}
	}
	return refused
}

// TestSuspendedHostSendsNothingToDataCentreOut tests invariants P4 and P10 of docs/design.md. It guards against a host
// that was suspended while a data centre was taken out and that uses its old configuration after it resumes.
func TestSuspendedHostSendsNothingToDataCentreOut(t *testing.T) {
	c := Start(t, Small(3))
	suspended := c.Hosts[2]
	suspended.Suspend()
	output, code := c.Hosts[0].RunOperatorCommand("datacentre", "out", outDataCentre, "--force")
	require.Zero(t, code, output)
	// These requests wait in the suspended host's sockets and are the first that it reads after it resumes.
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { suspended.Search(fmt.Sprint("early-", i)) })
	}
	time.Sleep(drainTimeout + time.Second)
	resumed := time.Now()
	suspended.Resume()
	wg.Wait()
	searchUntil(suspended, resumed.Add(3*time.Second))
	require.Empty(t, recordsInDataCentre(c, outDataCentre, resumed))
}

// TestDataCentreOutGetsNoWork tests invariant P4 of docs/design.md: after drainTimeout no host sends new work to a data
// centre that is out, while the other data centres still receive work.
func TestDataCentreOutGetsNoWork(t *testing.T) {
	c := Start(t, Small(3))
	output, code := c.Hosts[1].RunOperatorCommand("datacentre", "out", outDataCentre, "--force")
	require.Zero(t, code, output)
	accepted := time.Now()
	var wg sync.WaitGroup
	for _, h := range c.Hosts {
		if h.Settings.DataCentre != outDataCentre {
			wg.Go(func() { searchUntil(h, accepted.Add(drainTimeout+2*time.Second)) })
		}
	}
	wg.Wait()
	require.Empty(t, recordsInDataCentre(c, outDataCentre, accepted.Add(drainTimeout)))
	require.NotEmpty(t, recordsInDataCentre(c, otherDataCentre, accepted.Add(drainTimeout)))
}

// TestRestartDuringStoreOutage guards against a host that cannot start, or hosts that refuse requests, while the store
// is down.
func TestRestartDuringStoreOutage(t *testing.T) {
	c := Start(t, Small(3))
	c.SetStoreFaults(platform.Faults{Down: true})
	c.Hosts[1].Kill()
	c.Hosts[1].Start()
	c.Hosts[1].AwaitFullCoverage()
	refused := searchUntil(c.Hosts[0], time.Now().Add(2*drainTimeout))
	require.Zero(t, refused, "searches were refused during the store outage")
}

// TestLostStoreAnswerIsNotAppliedTwice tests invariant P10 of docs/design.md: a change is not applied twice when the
// store has accepted the write but its reply was lost and the change is sent again.
func TestLostStoreAnswerIsNotAppliedTwice(t *testing.T) {
	c := Start(t, Small(2))
	before, code := c.Hosts[0].RunOperatorCommand("datacentre", "list")
	require.Zero(t, code, before)
	c.SetStoreFaults(platform.Faults{LoseAnswers: 1})
	output, code := c.Hosts[0].RunOperatorCommand("datacentre", "out", outDataCentre, "--force", "--reason", "lost-answer")
	require.Zero(t, code, output)
	history, code := c.Hosts[1].RunOperatorCommand("catalogue", "history")
	require.Zero(t, code, history)
	require.Equal(t, 1, strings.Count(history, "lost-answer"), history)
}

// TestConcurrentChangesGetOneConflict tests invariant P10 of docs/design.md: of two concurrent changes, neither
// silently overwrites the other.
func TestConcurrentChangesGetOneConflict(t *testing.T) {
	c := Start(t, Small(2))
	codes := make([]int, 2)
	outputs := make([]string, 2)
	var wg sync.WaitGroup
	for i, h := range c.Hosts {
		wg.Go(func() {
			centre := []string{outDataCentre, otherDataCentre}[i]
			outputs[i], codes[i] = h.RunOperatorCommand("datacentre", "out", centre, "--force", "--based-on", "1")
		})
	}
	wg.Wait()
	succeeded := 0
	for _, code := range codes {
		if code == 0 {
			succeeded++
		}
	}
	require.Equal(t, 1, succeeded, strings.Join(outputs, "\n"))
	require.Contains(t, strings.Join(outputs, "\n"), "conflict")
}

// TestDrainingTargetGetsNoWork tests invariant P8 of docs/design.md: a target that reports that it is draining gets no
// new work after drainTimeout, although its replicas are busier.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	c := Start(t, Small(2))
	leaving := c.Catalogue.Targets[0]
	c.SetTargetState(leaving.ID, model.TargetDraining)
	since := time.Now()
	var wg sync.WaitGroup
	for _, h := range c.Hosts {
		wg.Go(func() { searchUntil(h, since.Add(drainTimeout+2*time.Second)) })
	}
	wg.Wait()
	for _, r := range c.Records(leaving.ID) {
		require.False(t, r.Start.After(since.Add(drainTimeout)), "work arrived %s after the target started draining", r.Start.Sub(since))
	}
}
