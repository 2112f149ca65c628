package control

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that CI runs are reproducible. Command-line flags take
// precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // rapid does not define the flag
		}
	}
	os.Exit(m.Run())
}
