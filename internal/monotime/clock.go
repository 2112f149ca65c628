package monotime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the least time that counts as a suspension. The two clocks are read one after the other, and the process may be
	// stopped in between.
	minSuspension = 100 * time.Millisecond
	// maxReadingAge is how long a reading is used, by the steady clock: thousands of attempts a second ask, and each reading costs two
	// system calls.
	maxReadingAge = time.Millisecond
)

// suspended is the latest reading of Suspended, and readAt when it was read, by Now.
var suspended, readAt atomic.Int64

func init() { suspended.Store(readSuspended()) }

// Suspended returns the time for which the machine has been suspended since its start, as of the latest millisecond in which the process
// ran. It never falls.
func Suspended() time.Duration {
	known, now := suspended.Load(), int64(Now())
	if now-readAt.Load() < int64(maxReadingAge) {
		return time.Duration(known)
	}
	readAt.Store(now)
	if read := readSuspended(); read-known > int64(minSuspension) {
		suspended.CompareAndSwap(known, read)
	}
	return time.Duration(suspended.Load())
}

// readSuspended returns the time in ns for which the boot clock is ahead of the steady clock.
func readSuspended() int64 {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return boot.Nano() - steady.Nano()
}

// Clock counts the time since it was made, including the time for which the machine was suspended, which the steady clock of the system
// does not count. Permissions that run out are measured with it. The zero value is not usable.
type Clock struct {
	start     time.Time
	suspended func() time.Duration
	before    time.Duration
}

// NewClock returns a clock that starts now. suspended returns the time for which the machine has been suspended; nil means Suspended.
func NewClock(suspended func() time.Duration) Clock {
	if suspended == nil {
		suspended = Suspended
	}
	return Clock{start: time.Now(), suspended: suspended, before: suspended()}
}

// Now returns the time since the clock was made.
func (c Clock) Now() time.Duration { return c.At(time.Now()) }

// At returns what Now would have returned at a time, if the machine was not suspended since.
func (c Clock) At(t time.Time) time.Duration { return t.Sub(c.start) + c.suspended() - c.before }
