// Package monotime reads the monotonic clock as a number that fits an atomic variable. Unlike the time of day it never jumps.
package monotime

import "time"

var start = time.Now()

// Now returns the time since the start of the process. Only differences and the order of two readings mean something.
func Now() time.Duration { return time.Since(start) }
