package logring

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
	out  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.Write(p)
}

// TestBlockedWriterBlocksNobody guards against a log that holds up requests, and against lines that are lost in silence.
func TestBlockedWriterBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{open: make(chan struct{})}
		r := New(g)
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			r.Run(stop)
			close(ended)
		}()
		r.Write([]byte("first\n"))
		synctest.Wait()
		for range capacity + 7 {
			n, err := r.Write([]byte("line\n"))
			require.NoError(t, err)
			require.Equal(t, 5, n)
		}
		require.EqualValues(t, 7, r.Dropped())
		close(g.open)
		synctest.Wait()
		close(stop)
		<-ended
		require.Equal(t, capacity, strings.Count(g.out.String(), "line\n"))
		require.Contains(t, g.out.String(), `"dropped":7`)
	})
}

// broken is a writer that fails.
type broken struct{}

func (broken) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestLinesThatCannotBeWrittenAreCounted guards against a log that has ended without a trace.
func TestLinesThatCannotBeWrittenAreCounted(t *testing.T) {
	r := New(broken{})
	stop, ended := make(chan struct{}), make(chan struct{})
	for range 3 {
		r.Write([]byte("line\n"))
	}
	close(stop)
	go func() {
		r.Run(stop)
		close(ended)
	}()
	<-ended
	require.GreaterOrEqual(t, r.Dropped(), int64(3))
}
