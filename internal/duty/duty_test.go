package duty

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestPanickingDutyIsStartedAgain guards against a process that goes on without one of its duties, and against one that spends its
// time on starting a duty that fails each time.
func TestPanickingDutyIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		before := Failures()
		var starts atomic.Int64
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			Run(ctx, zap.NewNop(), "test", func(context.Context) {
				starts.Add(1)
				panic("unexpected")
			})
		}()
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, starts.Load(), int64(3))
		time.Sleep(time.Minute)
		require.Less(t, starts.Load(), int64(40))
		cancel()
		<-ended
		require.Equal(t, starts.Load(), Failures()-before)
	})
}

// TestDutyThatIsDoneEnds guards against starting a duty again that has done its work.
func TestDutyThatIsDoneEnds(t *testing.T) {
	starts := 0
	Run(t.Context(), zap.NewNop(), "test", func(context.Context) { starts++ })
	require.Equal(t, 1, starts)
}
