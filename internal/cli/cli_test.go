package cli

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestParserBuildsAndReportsUsage guards against duplicate option names in a command, which cause a panic, and against
// usage errors with the wrong exit code.
func TestParserBuildsAndReportsUsage(t *testing.T) {
	require.Equal(t, exitOK, Run([]string{"--version"}))
	require.Equal(t, exitOK, Run([]string{"catalogue", "apply", "--help"}))
	for _, args := range [][]string{{}, {"catalogue"}, {"datacentre", "out"}, {"host", "list", "--output", "xml"}, {"nonsense"}} {
		require.Equal(t, exitUsage, Run(args), args)
	}
}
