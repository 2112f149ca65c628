package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

func (s *sim) tableHas(h *simHost, id model.HostID) bool {
	for _, host := range h.node.state.Fleet.Document().Hosts {
		if host.ID == id {
			return true
		}
	}
	return false
}

// TestFleetTableRemovesOnlyLongDeadHosts guards against reassigning shares when a host restarts or is briefly
// unavailable, against changing the table while the store is down, and against leaving shares with a dead host
// indefinitely.
func TestFleetTableRemovesOnlyLongDeadHosts(t *testing.T) {
	s := newSim(3)
	down := false
	s.storeFails = func(*simHost) bool { return down }
	s.accept(dataCentreEdits(testCentres), true)
	s.addHosts(12, testCentres, false)
	s.advance(15*time.Second, nil)
	first := s.hosts[0].node.state.Fleet.Generation()
	for _, h := range s.hosts {
		require.Len(t, h.node.state.Fleet.Document().Hosts, 12)
		require.Equal(t, first, h.node.state.Fleet.Generation())
	}

	restarted, dead := s.hosts[7], s.hosts[11]
	s.stop(restarted)
	s.advance(10*time.Second, nil)
	s.start(restarted)
	s.stop(dead)
	s.advance(25*time.Second, nil)
	require.Equal(t, first, s.hosts[0].node.state.Fleet.Generation(), "a restart or a short absence writes nothing")

	down = true
	s.advance(20*time.Second, nil)
	require.True(t, s.tableHas(s.hosts[0], dead.self.ID), "the table does not change while the store is down")
	down = false
	s.advance(20*time.Second, nil)
	for _, h := range s.hosts {
		if h != dead {
			require.Equal(t, first+1, h.node.state.Fleet.Generation())
			require.False(t, s.tableHas(h, dead.self.ID))
		}
	}
	s.start(dead)
	s.advance(10*time.Second, nil)
	require.True(t, s.tableHas(s.hosts[0], dead.self.ID))
}

// TestFleetTableKeepsPartitionedHosts guards against a partitioned minority that still reaches the store and removes
// all the hosts that it can't reach.
func TestFleetTableKeepsPartitionedHosts(t *testing.T) {
	s := newSim(4)
	partitioned := false
	s.linkDown = func(from, to *simHost) bool {
		return partitioned && (from.self.DataCentre == "a") != (to.self.DataCentre == "a")
	}
	s.accept(dataCentreEdits(testCentres), true)
	s.addHosts(12, testCentres, false)
	s.advance(15*time.Second, nil)
	partitioned = true
	s.advance(90*time.Second, nil)
	head, err := configstate.DecodeHead[configstate.FleetChange](s.kv[configstate.FleetKey].Value)
	require.NoError(t, err)
	for _, record := range head.Records {
		if record.Change != nil {
			for _, removed := range record.Change.Remove {
				require.Equal(t, model.DataCentreID("a"), s.lookup(removed).self.DataCentre)
			}
		}
	}
}
