package atomicmax

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNumberOnlyIncreases guards against a lower value that overwrites a higher one, and against reporting an increase
// more than once.
func TestNumberOnlyIncreases(t *testing.T) {
	var number atomic.Uint64
	var increases atomic.Int64
	var wait sync.WaitGroup
	for value := range uint64(100) {
		for range 4 {
			wait.Go(func() {
				if Raise(&number, value) {
					increases.Add(1)
				}
			})
		}
	}
	wait.Wait()
	require.EqualValues(t, 99, number.Load())
	require.LessOrEqual(t, increases.Load(), int64(99))
	require.False(t, Raise(&number, 99))
}
