package monotime

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the start of the machine, including the time in which it was suspended. It falls back to Now if the
// system has no such clock.
func SinceBoot() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return Now()
	}
	return time.Duration(reading.Sec)*time.Second + time.Duration(reading.Nsec)
}
