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
	// leaveBound is the time after which a data centre or target that leaves gets no new work.
	leaveBound  = 3 * time.Second
	outCentre   = "dc-1"
	otherCentre = "dc-2"
)

// recordsIn returns the records of a data centre's targets that start after a moment.
func recordsIn(c *Cluster, centre model.DataCentreID, after time.Time) []target.Record {
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

// searchUntil sends searches to a host until a moment and returns the number of refusals.
func searchUntil(h *Host, end time.Time) (refused int) {
	for i := 0; time.Now().Before(end); i++ {
		if _, refusal := h.Search(fmt.Sprint("load-", i)); refusal != nil {
			refused++
		}
	}
	return refused
}

// TestFrozenHostSendsNothingToDataCentreOut guards P4 and P10 against a host that was frozen while a data centre was taken
// out, and that goes on with its old configuration when it wakes.
func TestFrozenHostSendsNothingToDataCentreOut(t *testing.T) {
	c := Start(t, Small(3))
	frozen := c.Hosts[2]
	frozen.Freeze()
	output, code := c.Hosts[0].Operate("datacentre", "out", outCentre, "--force")
	require.Zero(t, code, output)
	// These requests wait in the frozen host's sockets and are the first that it sees when it wakes.
	var early sync.WaitGroup
	for i := range 20 {
		early.Go(func() { frozen.Search(fmt.Sprint("early-", i)) })
	}
	time.Sleep(leaveBound + time.Second)
	thawed := time.Now()
	frozen.Thaw()
	early.Wait()
	searchUntil(frozen, thawed.Add(3*time.Second))
	require.Empty(t, recordsIn(c, outCentre, thawed))
}

// TestDataCentreOutGetsNoWork guards P4: after the bound no host sends new work to a data centre that is out, and
// searches keep their full coverage.
func TestDataCentreOutGetsNoWork(t *testing.T) {
	c := Start(t, Small(3))
	output, code := c.Hosts[1].Operate("datacentre", "out", outCentre, "--force")
	require.Zero(t, code, output)
	accepted := time.Now()
	var load sync.WaitGroup
	for _, h := range c.Hosts {
		if h.Settings.DataCentre != outCentre {
			load.Go(func() { searchUntil(h, accepted.Add(leaveBound+2*time.Second)) })
		}
	}
	load.Wait()
	require.Empty(t, recordsIn(c, outCentre, accepted.Add(leaveBound)))
	require.NotEmpty(t, recordsIn(c, otherCentre, accepted.Add(leaveBound)))
}

// TestRestartDuringStoreOutage guards against a host that can't start, or a service that stops, while the store is down.
func TestRestartDuringStoreOutage(t *testing.T) {
	c := Start(t, Small(3))
	c.SetStoreFaults(platform.Faults{Down: true})
	c.Hosts[1].Kill()
	c.Hosts[1].Start()
	c.Hosts[1].AwaitWhole()
	refused := searchUntil(c.Hosts[0], time.Now().Add(2*leaveBound))
	require.Zero(t, refused, "the store outage stopped service")
}

// TestLostStoreAnswerIsNotAppliedTwice guards P10 against a change whose accepted write had no answer and is sent again.
func TestLostStoreAnswerIsNotAppliedTwice(t *testing.T) {
	c := Start(t, Small(2))
	before, code := c.Hosts[0].Operate("datacentre", "list")
	require.Zero(t, code, before)
	c.SetStoreFaults(platform.Faults{LoseAnswers: 1})
	output, code := c.Hosts[0].Operate("datacentre", "out", outCentre, "--force", "--reason", "lost-answer")
	require.Zero(t, code, output)
	history, code := c.Hosts[1].Operate("catalogue", "history")
	require.Zero(t, code, history)
	require.Equal(t, 1, strings.Count(history, "lost-answer"), history)
}

// TestRacingOperatorsGetOneConflict guards P10 against a change that silently overwrites another.
func TestRacingOperatorsGetOneConflict(t *testing.T) {
	c := Start(t, Small(2))
	codes := make([]int, 2)
	outputs := make([]string, 2)
	var race sync.WaitGroup
	for i, h := range c.Hosts {
		race.Go(func() {
			centre := []string{outCentre, otherCentre}[i]
			outputs[i], codes[i] = h.Operate("datacentre", "out", centre, "--force", "--based-on", "1")
		})
	}
	race.Wait()
	succeeded := 0
	for _, code := range codes {
		if code == 0 {
			succeeded++
		}
	}
	require.Equal(t, 1, succeeded, strings.Join(outputs, "\n"))
	require.Contains(t, strings.Join(outputs, "\n"), "conflict")
}

// TestDrainingTargetGetsNoWork guards P8: a target that says it is leaving gets no new work after the bound, although its
// replicas are busier.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	c := Start(t, Small(2))
	leaving := c.Catalogue.Targets[0]
	c.SetTargetState(leaving.ID, model.TargetDraining)
	since := time.Now()
	var load sync.WaitGroup
	for _, h := range c.Hosts {
		load.Go(func() { searchUntil(h, since.Add(leaveBound+2*time.Second)) })
	}
	load.Wait()
	for _, r := range c.Records(leaving.ID) {
		require.False(t, r.Start.After(since.Add(leaveBound)), "work arrived %s after the sign", r.Start.Sub(since))
	}
}
