package cli

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two options of one name in a command, which panics, and against a usage error with another exit code.
func TestParserBuildsAndReportsUsage(t *testing.T) {
	require.Equal(t, exitOK, Run([]string{"--version"}))
	require.Equal(t, exitOK, Run([]string{"catalogue", "apply", "--help"}))
	for _, args := range [][]string{{}, {"catalogue"}, {"datacentre", "out"}, {"host", "list", "--output", "xml"}, {"nonsense"}} {
		require.Equal(t, exitUsage, Run(args), args)
	}
}
