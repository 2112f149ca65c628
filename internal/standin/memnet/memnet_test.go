package memnet

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCutLosesBytesWithoutClosing guards against a cut that closes the connection. Tests need the other failure: a
// connection that stays open but delivers nothing.
func TestCutLosesBytesWithoutClosing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New()
		network.Delay = func(string, string) time.Duration { return time.Millisecond }
		listener, err := network.At("b").Listen("b:1")
		require.NoError(t, err)
		near, err := network.At("a").Dial(context.Background(), "b:1")
		require.NoError(t, err)
		far, err := listener.Accept()
		require.NoError(t, err)

		start := time.Now()
		_, err = near.Write([]byte("x"))
		require.NoError(t, err)
		buffer := make([]byte, 8)
		_, err = io.ReadFull(far, buffer[:1])
		require.NoError(t, err)
		require.Equal(t, time.Millisecond, time.Since(start))

		network.Cut("a", "b", true)
		_, err = near.Write([]byte("lost"))
		require.NoError(t, err)
		require.NoError(t, far.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = far.Read(buffer)
		require.Error(t, err)
		require.NoError(t, near.Close())
	})
}
