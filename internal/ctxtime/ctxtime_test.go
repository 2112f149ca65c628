package ctxtime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSleepEndsWithTheContext guards against a sleep that outlasts its context, and against one that returns no error for
// a context that is already done.
func TestSleepEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.NoError(t, Sleep(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, Sleep(ctx, time.Hour), context.DeadlineExceeded)
		require.Equal(t, 2*time.Second, time.Since(start))
		require.Error(t, Sleep(ctx, 0))
	})
}

// TestStallEndsTheContext guards against a call that is cut although it makes progress, and against one that hangs for ever.
func TestStallEndsTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithStallTimeout(t.Context(), time.Second)
		defer cancel()
		child, cancelChild := context.WithCancel(ctx)
		defer cancelChild()
		for range 10 {
			time.Sleep(900 * time.Millisecond)
			require.NoError(t, child.Err())
			Progress(child)
		}
		time.Sleep(1100 * time.Millisecond)
		require.Error(t, child.Err())
		require.ErrorIs(t, context.Cause(child), context.DeadlineExceeded)
		Progress(child)
		Progress(t.Context())
	})
}
