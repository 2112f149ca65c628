package peer_test

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/memnet"
)

// thinNetwork is a Network with a small bandwidth. A write blocks until its bytes have left.
type thinNetwork struct {
	*memnet.Node
	bytesPerSecond int
}

func (n thinNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Node.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &thinConn{Conn: conn, bytesPerSecond: n.bytesPerSecond}, nil
}

func (n thinNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.Node.Listen(address)
	return thinListener{listener, n.bytesPerSecond}, err
}

type thinListener struct {
	net.Listener
	bytesPerSecond int
}

func (l thinListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &thinConn{Conn: conn, bytesPerSecond: l.bytesPerSecond}, nil
}

type thinConn struct {
	net.Conn
	bytesPerSecond int
	mu             sync.Mutex
	deadline       time.Time
}

func (c *thinConn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	return nil
}

func (c *thinConn) Write(data []byte) (written int, err error) {
	const packet = 1 << 10
	for written < len(data) {
		c.mu.Lock()
		isLate := !c.deadline.IsZero() && time.Now().After(c.deadline)
		c.mu.Unlock()
		if isLate {
			return written, os.ErrDeadlineExceeded
		}
		n := min(packet, len(data)-written)
		time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
		if _, err := c.Conn.Write(data[written : written+n]); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

func answerLarge(context.Context, peer.Sender, func(any) error) (any, error) {
	return text{strings.Repeat("x", 1200<<10)}, nil
}

// TestLargeFramesPassThinLinks guards against hosts on thin links that never get a large configuration from another host: its frame
// takes longer than a host may be silent, so that the connection was replaced each time.
func TestLargeFramesPassThinLinks(t *testing.T) {
	const megabit = 1_000_000 / 8
	for _, rate := range []int{14 * megabit, 4 * megabit} {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.New()
			server := startWith(t, "server", peer.Config{Self: peer.Sender{Host: "server", Incarnation: 1}, Keys: [][]byte{newKey},
				Network: thinNetwork{network.At("server"), rate}})
			client := startWith(t, "client", peer.Config{Self: peer.Sender{Host: "client", Incarnation: 1}, Keys: [][]byte{newKey},
				Network: thinNetwork{network.At("client"), rate}})
			server.Handle("large", answerLarge)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var reply text
			require.NoError(t, client.Call(ctx, "server", "large", text{}, &reply), "a large reply at %d bytes a second", rate)
			require.NoError(t, client.Call(ctx, "server", echo, reply, &reply), "a large call at %d bytes a second", rate)
			require.Zero(t, client.Stats().SilentConnections)
		})
	}
}

// TestFreezeAmidAFrameIsSeen guards against a call that waits for the rest of a frame for ever, because its beginning counts as a sign of
// life.
func TestFreezeAmidAFrameIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		thin := thinNetwork{network.At("server"), 1 << 20}
		server := startWith(t, "server", peer.Config{Self: peer.Sender{Host: "server", Incarnation: 1}, Keys: [][]byte{newKey}, Network: thin})
		client := startWith(t, "client", peer.Config{Self: peer.Sender{Host: "client", Incarnation: 1}, Keys: [][]byte{newKey}, Network: network.At("client")})
		server.Handle("large", answerLarge)
		began := time.Now()
		time.AfterFunc(300*time.Millisecond, func() { network.Cut("server", "client", true) })
		require.ErrorIs(t, client.Call(t.Context(), "server", "large", text{}, &text{}), peer.ErrNoReply)
		require.Less(t, time.Since(began), 1500*time.Millisecond)
		network.Cut("server", "client", false)
	})
}
