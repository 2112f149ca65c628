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

// TestNowFollowsTheClock guards against a reading that stands still or goes back.
func TestNowFollowsTheClock(t *testing.T) {
	before := Now()
	time.Sleep(time.Millisecond)
	require.GreaterOrEqual(t, Now()-before, time.Millisecond)
}

// TestNoDurationIsMeasuredOnTheTimeOfDay guards against waits that end at once, or not at all, when the time of day jumps: a time
// that went through an integer has lost its reading of the monotonic clock. Incarnations are the only such numbers, because
// they are compared over restarts.
func TestNoDurationIsMeasuredOnTheTimeOfDay(t *testing.T) {
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
