package replica

import (
	"slices"
	"time"
)

// inFlight holds the start of each attempt at a target that has not ended, the oldest first.
type inFlight struct {
	starts []time.Duration
}

// Start counts an attempt as in flight.
func (f *inFlight) Start(now time.Duration) { f.starts = append(f.starts, now) }

// Forget takes back an attempt that says nothing about the target.
func (f *inFlight) Forget(started time.Duration) {
	if at := slices.Index(f.starts, started); at >= 0 {
		f.starts = slices.Delete(f.starts, at, at+1)
	}
}

// InFlight returns the number of this host's attempts at the target.
func (f *inFlight) InFlight() int { return len(f.starts) }

// oldest returns the age of the attempt that has been in flight the longest, 0 if there is none.
func (f *inFlight) oldest(now time.Duration) time.Duration {
	if len(f.starts) == 0 {
		return 0
	}
	return now - f.starts[0]
}
