package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// TestSuccessorsAreInService guards against ledgers that go to a host which is about to stop as well.
func TestSuccessorsAreInService(t *testing.T) {
	members := []membership.Member{
		{ID: "self", Address: "self", State: membership.Alive},
		{ID: "alive", Address: "alive", State: membership.Alive},
		{ID: "leaving", Address: "leaving", State: membership.Leaving},
		{ID: "suspect", Address: "suspect", State: membership.Suspect},
		{ID: "out", Address: "out", State: membership.Alive},
		{ID: "away", Address: "away", State: membership.Alive, DataCentre: "gone"},
	}
	catalogue := &model.Catalogue{
		HostsOut:       []model.HostOut{{ID: "out"}},
		DataCentresOut: []model.DataCentreOut{{ID: "gone"}},
	}
	require.Equal(t, []string{"alive"}, successors("self", members, catalogue))
}
