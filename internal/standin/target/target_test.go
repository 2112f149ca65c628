package target

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

func newTarget() *Target {
	return New(Config{
		Target:      model.Target{ID: "t", Slots: 1, ColdSlots: 1},
		Incarnation: 1,
		ServiceTime: 10 * time.Millisecond,
	})
}

func execute(t *Target, sequence uint64, deadlineMS int64) error {
	request := targetclient.ExecuteRequest{
		Attempt: model.AttemptID{Sequence: sequence}, Payload: []byte(`"p"`), DeadlineMS: deadlineMS,
	}
	_, err := t.Execute(context.Background(), request)
	return err
}

// TestRefusalsDidNotRun guards against a stand-in that reports "deadline" or "shed" for an attempt that it executed. Other
// tests verify the router's guarantees against its records.
func TestRefusalsDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := newTarget()
		results := make([]error, 8)
		for i := range results {
			go func() { results[i] = execute(target, uint64(i), int64(5+5*i)) }()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		ran := map[uint64]bool{}
		for _, record := range target.Records() {
			ran[record.Attempt.Sequence] = record.Ran
		}
		require.Len(t, ran, len(results))
		for i, err := range results {
			if targetclient.IsNotRun(err) {
				require.False(t, ran[uint64(i)], "attempt %d ran and was refused with %v", i, err)
			}
		}
	})
}

// TestCrashLosesAttemptsAndReturnsCold guards against a crash that leaves slots occupied or the incarnation unchanged.
func TestCrashLosesAttemptsAndReturnsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := newTarget()
		done := make(chan error)
		go func() { done <- execute(target, 1, 1000) }()
		synctest.Wait()
		target.Crash()
		require.ErrorIs(t, <-done, targetclient.ErrLost)
		require.ErrorIs(t, execute(target, 2, 1000), targetclient.ErrNotSent)
		time.Sleep(2 * restartTime)
		status := target.Status()
		require.Equal(t, model.TargetCold, status.State)
		require.Equal(t, model.Incarnation(2), status.Incarnation)
		require.NoError(t, execute(target, 3, 1000))
	})
}
