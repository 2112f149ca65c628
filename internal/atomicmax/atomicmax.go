// Package atomicmax implements an atomic maximum of integers shared between goroutines.
package atomicmax

import "sync/atomic"

// Raise sets number to value if value is greater, and reports whether it did.
func Raise(number *atomic.Uint64, value uint64) bool {
	for {
		current := number.Load()
		if value <= current {
			return false
		}
		if number.CompareAndSwap(current, value) {
			return true
		}
	}
}
