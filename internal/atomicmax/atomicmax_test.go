package atomicmax

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNumberOnlyRises guards against a lower value that overwrites a higher one, and against a rise that is told twice.
func TestNumberOnlyRises(t *testing.T) {
	var number atomic.Uint64
	var rises atomic.Int64
	var wait sync.WaitGroup
	for value := range uint64(100) {
		for range 4 {
			wait.Go(func() {
				if Raise(&number, value) {
					rises.Add(1)
				}
			})
		}
	}
	wait.Wait()
	require.EqualValues(t, 99, number.Load())
	require.LessOrEqual(t, rises.Load(), int64(99))
	require.False(t, Raise(&number, 99))
}
