// Package ctxtime provides a sleep that ends early when a context is done, a context that ends when its work stalls, and a test of
// whether a channel is closed.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for the duration d. It returns the context's error if the context is done before d has elapsed.
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

// IsClosed reports whether a channel that carries no values is closed. A nil channel is not.
func IsClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// stallTimer ends a context when no progress is reported for a time.
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

type stallTimerKey struct{}

// WithStallTimeout returns a context that ends, with the cause context.DeadlineExceeded, when Progress was not called for the timeout. A
// call that reads much is thus bounded by its pauses and not by its size.
func WithStallTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	s := &stallTimer{timeout: timeout, timer: time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })}
	return context.WithValue(ctx, stallTimerKey{}, s), func() {
		s.timer.Stop()
		cancel(context.Canceled)
	}
}

// Progress restarts the stall timeout of a context that has one.
func Progress(ctx context.Context) {
	if s, ok := ctx.Value(stallTimerKey{}).(*stallTimer); ok && ctx.Err() == nil {
		s.timer.Reset(s.timeout)
	}
}
