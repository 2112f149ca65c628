package gateway

import (
	"bytes"
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
}
