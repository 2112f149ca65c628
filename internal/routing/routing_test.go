package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

func newRoute(name, host, prefix string, parts ...WeightedService) Route {
	if len(parts) == 0 {
		parts = []WeightedService{{Service: "s", Weight: 1}}
	}
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Split: parts}
}

// TestLongestPrefixOfTheHostWins guards against matching a request to the wrong route.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table, err := New(1, []Route{newRoute("a", "h", "/"), newRoute("b", "h", "/x/"), newRoute("c", "h", "/x/y/"), newRoute("d", "g", "/x/y/z/")}, nil, ClientLimits{})
	require.NoError(t, err)
	for _, test := range []struct{ host, path, name string }{
		{"h", "/", "a"}, {"h", "/x", "a"}, {"h", "/x/", "b"}, {"H:80", "/x/y", "b"}, {"h", "/x/y/z/", "c"}, {"g", "/x/y/z/1", "d"},
	} {
		require.Equal(t, test.name, table.Match(test.host, test.path).Name, test.path)
	}
	require.Nil(t, table.Match("g", "/x/"))
	require.Nil(t, table.Match("other", "/"))
}

// TestInvalidRoutesAreRejected guards against a configuration of which only the valid routes would be applied.
func TestInvalidRoutesAreRejected(t *testing.T) {
	for _, invalid := range []Route{
		newRoute("a", "h", "x/"), newRoute("a", "h", "/x"), {Name: "a", Prefix: "/", Timeout: time.Second}, {Name: "a", Prefix: "/", Split: newRoute("", "", "").Split},
	} {
		_, err := New(1, []Route{invalid}, nil, ClientLimits{})
		require.ErrorContains(t, err, `route "a"`)
	}
}

// TestSplitFollowsWeights checks that each service receives its share of a sequence of requests, before and after a
// change of the weights.
func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSplitter()
		for range 2 {
			weights := rapid.SliceOfN(rapid.Float64Range(0.05, 1), 2, 4).Draw(t, "weights")
			r := newRoute("a", "h", "/")
			r.Split = nil
			total := 0.0
			for i, w := range weights {
				r.Split = append(r.Split, WeightedService{Service: model.ServiceID(rune('a' + i)), Weight: w})
				total += w
			}
			const requests = 100
			counts := map[model.ServiceID]int{}
			for range requests {
				counts[s.Next(&r)]++
			}
			for i, w := range weights {
				require.InDelta(t, w/total*requests, counts[model.ServiceID(rune('a'+i))], 2)
			}
		}
	})
}
