package model_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/deployment"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// TestDeploymentsAreValid guards against validation rules that reject the catalogues of the deployments.
func TestDeploymentsAreValid(t *testing.T) {
	for _, name := range []string{"cargavoz", "vembanad"} {
		d, err := deployment.Load(name)
		require.NoError(t, err)
		catalogue := d.Catalogue("127.0.0.1", 20000)
		require.Empty(t, catalogue.Validate())
	}
}

// TestValidateReportsEveryViolation guards against validation that stops at the first violation or misses a reference
// to a missing entry.
func TestValidateReportsEveryViolation(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	catalogue := model.Catalogue{
		Callers: []model.Caller{
			{ID: "a", Owner: "o", Class: "fast", TokenSHA256: []string{hash}, Rate: 1, InFlight: 1, Cost: 1, Searches: []model.SearchID{"none"}},
			{ID: "a", Class: model.ClassBatch, TokenSHA256: []string{hash, "xyz"}, Rate: -1, Services: []model.ServiceID{"s", "s"}},
		},
		Searches: []model.Search{{ID: "empty"}},
		Indexes:  []model.Index{{ID: "i", Groups: []model.Group{{ID: "g", Targets: []model.TargetID{"t", "t", "gone"}}}}},
		Services: []model.Service{{ID: "s", Targets: []model.TargetID{"gone"}}},
		Targets: []model.Target{
			{ID: "t", Address: "host:80", DataCentre: "nowhere", Slots: 1, Connections: 1, ColdSlots: 2, ConnectTimeMS: -1},
		},
		HostsOut:       []model.HostOut{{ID: "bad id"}},
		DataCentresOut: []model.DataCentreOut{{ID: "nowhere"}},
		DataCentres:    []model.DataCentreInfo{{ID: "x"}},
	}
	var paths []string
	for _, violation := range catalogue.Validate() {
		require.NotEmpty(t, violation.Allowed)
		require.NotEmpty(t, violation.Remedy)
		paths = append(paths, violation.Path)
	}
	require.Equal(t, []string{
		"$.callers[0].class", "$.callers[0].searches[0]",
		"$.callers[1].id", "$.callers[1].owner", "$.callers[1].token_sha256[0]", "$.callers[1].token_sha256[1]",
		"$.callers[1].rate", "$.callers[1].in_flight", "$.callers[1].cost", "$.callers[1].services[1]",
		"$.searches[0].indexes",
		"$.indexes[0].groups[0].targets[1]", "$.indexes[0].groups[0].targets[2]",
		"$.services[0].targets[0]",
		"$.targets[0].address", "$.targets[0].data_centre", "$.targets[0].cold_slots", "$.targets[0].connect_time_ms",
		"$.hosts_out[0].id", "$.data_centres_out[0].id", "$.data_centres[0].region",
	}, paths)
}
