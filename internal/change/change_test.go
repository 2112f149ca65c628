package change

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid registers the flag, so it exists
	os.Exit(m.Run())
}

func drawRates(t *rapid.T, label string) map[string]float64 {
	return rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.SampledFrom([]float64{1, 2})).Draw(t, label)
}

func newCatalogue(rates map[string]float64) *model.Catalogue {
	c := &model.Catalogue{}
	for id, rate := range rates {
		c.Callers = append(c.Callers, model.Caller{ID: model.CallerID(id), Rate: rate})
		c.HostsOut = append(c.HostsOut, model.HostOut{ID: model.HostID(fmt.Sprint("h-", id, rate))})
	}
	return c
}

// TestDiffTurnsOneCatalogueIntoTheOther guards against a diff that omits or repeats an entry, or that depends on the
// order of entries.
func TestDiffTurnsOneCatalogueIntoTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := newCatalogue(drawRates(t, "from")), newCatalogue(drawRates(t, "to"))
		state := map[string]json.RawMessage{}
		collect := func(c *model.Catalogue, into map[string]json.RawMessage) {
			for _, kind := range Kinds {
				for _, entry := range Entries(c, kind) {
					into[string(kind)+entry.ID] = entry.Value
				}
			}
		}
		collect(from, state)
		for _, edit := range Diff(from, to) {
			key := string(edit.Kind) + edit.ID
			require.NotEqual(t, string(state[key]), string(edit.Value), "the edit changes nothing")
			if edit.Op == Delete {
				delete(state, key)
				continue
			}
			state[key] = edit.Value
		}
		wanted := map[string]json.RawMessage{}
		collect(to, wanted)
		require.Equal(t, wanted, state)
	})
}
