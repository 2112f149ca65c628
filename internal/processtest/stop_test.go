package processtest

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

// callerPause keeps eight callers together below half of the trial caller's rate of 1000/s, the share of each of the two
// hosts.
const callerPause = 20 * time.Millisecond

// TestPlannedStopCutsNoRequest tests invariant P9 of docs/design.md: during a planned stop, every request gets an answer
// with full coverage or a refusal that says "not run".
func TestPlannedStopCutsNoRequest(t *testing.T) {
	c := Start(t, Small(2))
	h := c.Hosts[0]
	var answered, afterSignal, refused atomic.Int64
	var signalled atomic.Bool
	var wg conc.WaitGroup
	for caller := range 8 {
		wg.Go(func() {
			for n := 0; ; n++ {
				time.Sleep(callerPause)
				reply, refusal := h.Search(fmt.Sprintf("caller %d request %d", caller, n))
				if refusal != nil {
					require.Equal(t, fault.Stopping, refusal.Kind, refusal.Error())
					require.Equal(t, fault.NotRun, refusal.Execution)
					refused.Add(1)
					return
				}
				require.Equal(t, reply.Coverage.Total, reply.Coverage.Answered)
				answered.Add(1)
				if signalled.Load() {
					afterSignal.Add(1)
				}
			}
		})
	}
	c.await("the load", func() bool { return answered.Load() > 200 })
	signalled.Store(true)
	h.Terminate()
	c.await("the balancer to notice", func() bool { return !h.Ready() })
	start := time.Now()
	wg.Wait()
	require.Zero(t, h.AwaitExit())
	t.Logf("%d answered, %d of them after the signal, %d refused, exit after %v",
		answered.Load(), afterSignal.Load(), refused.Load(), time.Since(start).Round(time.Millisecond))
	require.Positive(t, afterSignal.Load())
	require.EqualValues(t, 8, refused.Load())
	_, refusal := c.Hosts[1].Search("the other host")
	require.Nil(t, refusal)
}
