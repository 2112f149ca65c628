// Package atomicmax raises numbers that several goroutines share.
package atomicmax

import "sync/atomic"

// Raise sets the number to the value if that is higher, and tells whether it was.
func Raise(number *atomic.Uint64, value uint64) bool {
	for {
		present := number.Load()
		if value <= present {
			return false
		}
		if number.CompareAndSwap(present, value) {
			return true
		}
	}
}
