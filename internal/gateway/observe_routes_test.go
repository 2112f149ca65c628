package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/forward"
)

func (o *observer) metricsText() string {
	var text bytes.Buffer
	o.metrics.WritePrometheus(&text)
	return text.String()
}

// TestSeriesOfRemovedRoutesAreDropped guards against a host that runs out of memory because it counts the requests of all routes that it
// has ever known, while configurations add and remove routes all day.
func TestSeriesOfRemovedRoutesAreDropped(t *testing.T) {
	o := newObserver(zap.NewNop())
	isRouted := func(route string) bool { return route == "kept" }
	for i := range 1000 {
		o.RequestEnded(forward.Trace{Route: fmt.Sprint("removed", i), Shards: 1, Answered: i % 2})
		o.RequestEnded(forward.Trace{Route: "kept", Shards: 1, Answered: 1})
	}
	require.Contains(t, o.metricsText(), `"removed7"`)
	o.summarize(isRouted)
	require.NotContains(t, o.metricsText(), "removed")
	require.Contains(t, o.metricsText(), `knapweedrouter_requests_total{route="kept",outcome="answered"} 1000`)
	o.RequestEnded(forward.Trace{Route: "removed7", Shards: 1, Answered: 1}) // it began before the route was removed
	o.summarize(isRouted)
	require.NotContains(t, o.metricsText(), "removed")
	require.Len(t, o.series, 1)
}

// TestOddRouteNamesAreCounted guards against a route whose requests all fail because its name can't be a label as it is.
func TestOddRouteNamesAreCounted(t *testing.T) {
	o := newObserver(zap.NewNop())
	for _, route := range []string{`a"b`, `a\`, "a\nb", `a",outcome="x`, "", "ä{}", "\x00\xff"} {
		require.NotPanics(t, func() { o.RequestEnded(forward.Trace{Route: route, Shards: 1, Answered: 1}) }, "%q", route)
	}
	for _, line := range strings.Split(o.metricsText(), "\n") {
		require.False(t, strings.HasPrefix(line, "b"), "a name with a line feed ends its line")
	}
	require.Contains(t, o.metricsText(), `route="a\"b"`)
	o.summarize(func(string) bool { return false })
	require.NotContains(t, o.metricsText(), "route=")
}
