package server

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
)

// Guards against a secret in a state dump, and against a metric of the host that is not documented.
func TestOperatorsSeeDocumentedMetricsAndNoSecret(t *testing.T) {
	directory := t.TempDir()
	const secret = "a-secret-that-nobody-may-see"
	file := filepath.Join(directory, "secret")
	require.NoError(t, os.WriteFile(file, []byte(secret), 0o600))
	s := New(zap.NewNop(), settings.Settings{
		HostID: "h1", OperatorListen: "127.0.0.1:0", FleetKeyFiles: []string{file}, OperatorTokenFiles: []string{file},
	}, Ports{Network: peer.TCP{}})
	operators, err := s.listenForOperators()
	require.NoError(t, err)
	defer operators.listener.Close()

	dumps, err := json.Marshal(s.operator.dumps.Dump())
	require.NoError(t, err)
	require.Contains(t, string(dumps), `"host_id":"h1"`)
	require.NotContains(t, string(dumps), secret)
	require.NotContains(t, string(dumps), `"failure":"the `)

	documented, err := os.ReadFile("../../docs/operators/metrics.md")
	require.NoError(t, err)
	for _, name := range s.operator.metrics.ListMetricNames() {
		base, _, _ := strings.Cut(name, "{")
		require.Contains(t, string(documented), "`"+base+"`")
	}
}
