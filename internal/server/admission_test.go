package server

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// naiveAdmission lets requests run in order of arrival, as the standard library's mutexes and channels do.
type naiveAdmission chan struct{}

func (n naiveAdmission) Admit(context.Context, model.Caller, string, float64) (func(error), error) {
	n <- struct{}{}
	return func(error) { <-n }, nil
}

type admits interface {
	Admit(ctx context.Context, caller model.Caller, work string, cost float64) (func(error), error)
}

// offer sends requests of a caller at a rate, each running 50 ms with a deadline, and returns the sorted waits.
func offer(a admits, caller model.CallerID, perSecond int, refused *int) []time.Duration {
	var mu sync.Mutex
	var waits []time.Duration
	var requests conc.WaitGroup
	for range perSecond * 2 {
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			sent := time.Now()
			end, err := a.Admit(ctx, model.Caller{ID: caller, Class: model.ClassInteractive}, "parts", 10)
			mu.Lock()
			if err != nil {
				*refused++
				mu.Unlock()
				return
			}
			waits = append(waits, time.Since(sent))
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			end(nil)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	requests.Wait()
	slices.Sort(waits)
	return waits
}

// TestCarelessCallerDelaysNoOtherThroughTheHost guards against a caller whose requests fill the host: one that sends
// 10,000 requests/s, twenty times what the other sends, to a host that can run 5,120/s. The bound for the other is the
// time of one request.
func TestCarelessCallerDelaysNoOtherThroughTheHost(t *testing.T) {
	p99 := func(a admits) (wait time.Duration, refused int) {
		carelessRefused := 0
		var careless conc.WaitGroup
		careless.Go(func() { offer(a, "careless", 10_000, &carelessRefused) })
		waits := offer(a, "calm", 500, &refused)
		careless.Wait()
		return waits[len(waits)*99/100], refused
	}
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(nil)
		ctx, cancel := context.WithCancel(context.Background())
		var duty conc.WaitGroup
		duty.Go(func() { a.run(ctx) })
		wait, refused := p99(a)
		require.LessOrEqual(t, wait, 50*time.Millisecond)
		require.Zero(t, refused)
		cancel()
		duty.Wait()
		require.NotEmpty(t, a.load())
		for work, load := range a.load() {
			require.Zero(t, load.Running, work)
			require.Zero(t, load.Waiting, work)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		wait, _ := p99(make(naiveAdmission, maxRunning))
		require.Greater(t, wait, 500*time.Millisecond, "the naive version should delay the calm caller")
	})
}

// TestRefusalsSayWhenToRepeat guards against callers that repeat at once because no refusal tells them when.
func TestRefusalsSayWhenToRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(nil)
		batch := model.Caller{ID: "batch", Class: model.ClassBatch}
		var ends []func(error)
		for range maxRunning {
			end, err := a.Admit(context.Background(), batch, "parts", 1)
			require.NoError(t, err)
			ends = append(ends, end)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		started := time.Now()
		_, err := a.Admit(ctx, batch, "parts", 1)
		require.Equal(t, 100*time.Millisecond, time.Since(started), "without run the deadline ends the wait")
		require.True(t, fault.IsKind(err, fault.DeadlineTooShort))
		require.Equal(t, fault.NotRun, fault.As(err).Execution)
		require.Positive(t, fault.As(err).RetryAfterMS)
		var waiting conc.WaitGroup
		long, cancelLong := context.WithTimeout(context.Background(), time.Hour)
		defer cancelLong()
		for range queuePerCaller {
			waiting.Go(func() {
				end, err := a.Admit(long, batch, "parts", 1)
				require.NoError(t, err)
				end(nil)
			})
		}
		synctest.Wait()
		_, err = a.Admit(long, batch, "parts", 1)
		require.True(t, fault.IsKind(err, fault.Overloaded))
		require.Positive(t, fault.As(err).RetryAfterMS)
		for _, end := range ends {
			end(nil)
		}
		waiting.Wait()
	})
}
