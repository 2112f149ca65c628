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

// Guards against shares that move when a host only restarts or is briefly away, against a table that changes while the
// store is down, and against shares that stay with a dead host for ever.
func TestFleetTableFollowsLongDeathsOnly(t *testing.T) {
	s := newSim(3)
	down := false
	s.storeFails = func(*simHost) bool { return down }
	s.accept(centreEdits(testCentres), true)
	s.addHosts(12, testCentres, false)
	s.advance(15*time.Second, nil)
	first := s.hosts[0].node.state.Fleet.Generation()
	for _, h := range s.hosts {
		require.Len(t, h.node.state.Fleet.Document().Hosts, 12)
		require.Equal(t, first, h.node.state.Fleet.Generation())
	}

	restarted, gone := s.hosts[7], s.hosts[11]
	s.stop(restarted)
	s.advance(10*time.Second, nil)
	s.start(restarted)
	s.stop(gone)
	s.advance(25*time.Second, nil)
	require.Equal(t, first, s.hosts[0].node.state.Fleet.Generation(), "a restart or a short absence writes nothing")

	down = true
	s.advance(20*time.Second, nil)
	require.True(t, s.tableHas(s.hosts[0], gone.self.ID), "the table does not change while the store is down")
	down = false
	s.advance(20*time.Second, nil)
	for _, h := range s.hosts {
		if h != gone {
			require.Equal(t, first+1, h.node.state.Fleet.Generation())
			require.False(t, s.tableHas(h, gone.self.ID))
		}
	}
	s.start(gone)
	s.advance(10*time.Second, nil)
	require.True(t, s.tableHas(s.hosts[0], gone.self.ID))
}

// Guards against a cut-off part that reaches the store and takes the shares of all hosts that it can't reach.
func TestFleetTableKeepsHostsBeyondACut(t *testing.T) {
	s := newSim(4)
	isCut := false
	s.cut = func(from, to *simHost) bool {
		return isCut && (from.self.DataCentre == "a") != (to.self.DataCentre == "a")
	}
	s.accept(centreEdits(testCentres), true)
	s.addHosts(12, testCentres, false)
	s.advance(15*time.Second, nil)
	isCut = true
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
