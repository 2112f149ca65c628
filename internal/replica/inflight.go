package replica

import (
	"slices"
	"time"
)

// inFlight holds the start time of each attempt in flight at a target, oldest first.
type inFlight struct {
	starts []time.Duration
}

// Start adds an attempt.
func (f *inFlight) Start(now time.Duration) { f.starts = append(f.starts, now) }

// Remove removes the attempt that started at the given time. It updates no other statistics.
func (f *inFlight) Remove(started time.Duration) {
	if at := slices.Index(f.starts, started); at >= 0 {
		f.starts = slices.Delete(f.starts, at, at+1)
	}
}

// InFlight returns the number of this host's attempts in flight at the target.
func (f *inFlight) InFlight() int { return len(f.starts) }

// oldest returns the age of the oldest attempt in flight, 0 if there is none.
func (f *inFlight) oldest(now time.Duration) time.Duration {
	if len(f.starts) == 0 {
		return 0
	}
	return now - f.starts[0]
}
