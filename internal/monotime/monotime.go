// Package monotime provides readings of the monotonic clock as integers, which can be stored in atomic variables. Unlike
// the wall clock, the monotonic clock is never adjusted.
package monotime

import "time"

var start = time.Now()

// Now returns the time since the start of the process. Only the difference and the order of two readings are meaningful.
func Now() time.Duration { return time.Since(start) }
