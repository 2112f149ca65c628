// Package ctxtime waits for a time or for the end of a context, whichever comes first.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the context's error if the context ends before, or has ended already.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
