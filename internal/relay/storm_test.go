package relay

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// largeValue is the size of a configuration of 5,000 routes.
const largeValue = 990_000

// heapMB returns the memory that is in use after a garbage collection.
func heapMB() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc >> 20)
}

// TestLogKeepsOneVersionOfEachKey guards against a host that runs out of memory because it keeps all versions of a large configuration.
func TestLogKeepsOneVersionOfEachKey(t *testing.T) {
	const versions, allowedMB = 200, 16
	l := newChangeLog(monotime.Now, newContactLimits(0))
	l.reset([]store.Entry{{Key: "config", Revision: 1}, {Key: "other", Revision: 2}}, 2, monotime.Now())
	before := heapMB()
	for i := range versions {
		l.apply([]store.Change{{Entry: store.Entry{Key: "config", Value: make([]byte, largeValue), Revision: store.Revision(3 + i)}}}, monotime.Now())
	}
	require.LessOrEqual(t, heapMB()-before, allowedMB, "after %d versions of %d bytes", versions, largeValue)
	reply, _ := l.currentReply(pull{After: 2})
	require.Len(t, reply.Changes, 1, "versions that nobody needs any more")
	require.Equal(t, store.Revision(2+versions), reply.Changes[0].Revision)
}
