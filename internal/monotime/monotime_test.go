package monotime

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNowFollowsTheClock guards against a clock that stops or goes backwards.
func TestNowFollowsTheClock(t *testing.T) {
	before := Now()
	time.Sleep(time.Millisecond)
	require.GreaterOrEqual(t, Now()-before, time.Millisecond)
}

// TestDurationsUseMonotonicClock guards against waits that end immediately or never when the wall clock is adjusted:
// converting a time.Time to an integer discards its monotonic clock reading. Only incarnations may be derived from the
// wall clock, because they are compared across restarts.
func TestDurationsUseMonotonicClock(t *testing.T) {
	const root = "../.."
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for number, line := range strings.Split(string(content), "\n") {
			isIncarnation := strings.Contains(line, "Incarnation(time.Now().UnixNano())")
			fromInteger := strings.Contains(line, "time.Unix(0,") || strings.Contains(line, ".UnixNano()") || strings.Contains(line, ".UnixMilli()")
			require.False(t, fromInteger && !isIncarnation, "%s:%d: use monotime.Now", path, number+1)
		}
		return nil
	})
	require.NoError(t, err)
}
