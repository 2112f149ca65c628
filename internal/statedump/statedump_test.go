package statedump

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDumpSurvivesFaultySubsystems guards against losing the whole state dump because one subsystem hangs, panics or
// returns a value that cannot be marshaled to JSON.
func TestDumpSurvivesFaultySubsystems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := New()
		release := make(chan struct{})
		calls := 0
		registry.Add("good", func() any { return map[string]int{"members": 12} })
		registry.Add("hangs", func() any { calls++; <-release; return nil })
		registry.Add("panics", func() any { panic("broken") })
		registry.Add("zz-cyclic", func() any { return func() {} })
		started := time.Now()
		states := registry.Dump()
		require.JSONEq(t, `{"members":12}`, string(states["good"]))
		require.Contains(t, string(states["hangs"]), "did not answer")
		require.Contains(t, string(states["panics"]), "broken")
		require.Contains(t, string(states["zz-cyclic"]), "no JSON form")
		require.Equal(t, dumpTimeout, time.Since(started))

		require.Contains(t, string(registry.Dump("hangs")["hangs"]), "has not ended")
		close(release)
		synctest.Wait()
		require.Equal(t, 1, calls)
		require.Equal(t, "null", string(registry.Dump("hangs")["hangs"]))
	})
}
