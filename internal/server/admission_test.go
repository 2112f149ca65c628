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

// fifoAdmission admits requests in order of arrival, as a plain semaphore does.
type fifoAdmission chan struct{}

func (f fifoAdmission) Admit(context.Context, model.Caller, string, float64) (func(error), error) {
	f <- struct{}{}
	return func(error) { <-f }, nil
}

// admissionPolicy is implemented by admitter and fifoAdmission.
type admissionPolicy interface {
	Admit(ctx context.Context, caller model.Caller, work string, cost float64) (func(error), error)
}

// offerLoad sends requests of a caller at a constant rate for 2 s, each with a duration of 50 ms and a deadline of 1 s. It
// returns the sorted waiting times.
func offerLoad(a admissionPolicy, caller model.CallerID, perSecond int, refused *int) []time.Duration {
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

// Guards against a caller that overloads the host and thereby delays others. It sends 10,000 requests/s, twenty times the
// rate of the other caller, to a host that can run 5,120/s. The other caller may wait no longer than one request runs.
func TestOverloadingCallerDoesNotDelayOthers(t *testing.T) {
	p99 := func(a admissionPolicy) (wait time.Duration, refused int) {
		carelessRefused := 0
		var overload conc.WaitGroup
		overload.Go(func() { offerLoad(a, "careless", 10_000, &carelessRefused) })
		waits := offerLoad(a, "calm", 500, &refused)
		overload.Wait()
		return waits[len(waits)*99/100], refused
	}
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(nil)
		ctx, cancel := context.WithCancel(context.Background())
		var background conc.WaitGroup
		background.Go(func() { a.run(ctx) })
		wait, refused := p99(a)
		require.LessOrEqual(t, wait, 50*time.Millisecond)
		require.Zero(t, refused)
		cancel()
		background.Wait()
		require.NotEmpty(t, a.load())
		for work, load := range a.load() {
			require.Zero(t, load.Running, work)
			require.Zero(t, load.Waiting, work)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		wait, _ := p99(make(fifoAdmission, maxRunning))
		require.Greater(t, wait, 500*time.Millisecond, "FIFO admission should delay the caller with the lower rate")
	})
}

// Guards against callers that retry immediately because a refusal contains no retry delay.
func TestRefusalsHaveRetryDelay(t *testing.T) {
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
		for range maxQueuedPerCaller {
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
