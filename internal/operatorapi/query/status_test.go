package query

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid registers the flag, so it exists
	os.Exit(m.Run())
}

// TestSummarizeCountsEachHostOnce guards against reporting a change as in force on every host while a host lags, does
// not answer or has no configuration.
func TestSummarizeCountsEachHostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var statuses []operatorwire.HostStatus
		newest, inForce, fenced := model.Generation(0), 0, 0
		for i := range rapid.IntRange(1, 8).Draw(t, "hosts") {
			status := operatorwire.HostStatus{Host: model.HostID(fmt.Sprint(i))}
			if rapid.Bool().Draw(t, "silent") {
				status.Failure = "no answer"
			} else {
				status.Generation = model.Generation(rapid.IntRange(0, 2).Draw(t, "generation"))
				status.Fenced = rapid.Bool().Draw(t, "fenced")
				status.InForceMS = rapid.Int64Range(0, 100).Draw(t, "age")
			}
			if status.Fenced {
				fenced++
			}
			newest = max(newest, status.Generation)
			statuses = append(statuses, status)
		}
		for _, status := range statuses {
			if newest > 0 && status.Generation == newest {
				inForce++
			}
		}
		result := Summarize(statuses)
		require.Equal(t, newest, result.Generation)
		require.Equal(t, inForce, result.InForce)
		require.Len(t, result.Fenced, fenced)
		require.Len(t, result.Lagging, len(statuses)-inForce)
		require.LessOrEqual(t, result.SpreadMS, int64(100))
		require.GreaterOrEqual(t, result.SpreadMS, int64(0))
	})
}
