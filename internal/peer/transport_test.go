package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/memnet"
)

const echo peer.Kind = "echo"

var (
	oldKey = bytes.Repeat([]byte("o"), 32)
	newKey = bytes.Repeat([]byte("n"), 32)
)

type text struct{ Text string }

func answerEcho(_ context.Context, _ peer.Sender, decode func(any) error) (any, error) {
	var message text
	if err := decode(&message); err != nil {
		return nil, err
	}
	return message, nil
}

type host struct {
	*peer.FrameTransport
	oneWayFrames atomic.Int64 // number of one-way frames received
}

func (h *host) countOneWay(context.Context, peer.Sender, func(any) error) (any, error) {
	h.oneWayFrames.Add(1)
	return nil, nil
}

func answerSlowly(context.Context, peer.Sender, func(any) error) (any, error) {
	time.Sleep(3 * time.Second)
	return text{"late"}, nil
}

func answerPanic(context.Context, peer.Sender, func(any) error) (any, error) { panic("unexpected") }

// start runs a transport until the test ends.
func start(t *testing.T, network *memnet.Network, id model.HostID, incarnation model.Incarnation, address string, keys ...[]byte) *host {
	return startWith(t, address, peer.Config{
		Self: peer.Sender{Host: id, Incarnation: incarnation}, Keys: keys, Network: network.At(string(id)),
	})
}

func startWith(t *testing.T, address string, cfg peer.Config) *host {
	transport, err := peer.New(zap.NewNop(), cfg)
	require.NoError(t, err)
	h := &host{FrameTransport: transport}
	transport.Handle(echo, answerEcho)
	transport.Handle("slow", answerSlowly)
	transport.Handle("note", h.countOneWay)
	transport.Handle("panic", answerPanic)
	transport.Handle("huge", answerTooMuch)
	listener, err := cfg.Network.Listen(address)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- transport.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return h
}

func call(t *testing.T, from *host, address string) error {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var reply text
	err := from.Call(ctx, address, echo, text{"hello"}, &reply)
	if err == nil {
		require.Equal(t, "hello", reply.Text)
	}
	return err
}

// Guards against a transport that works only over the in-memory network. Timeouts are long, because a busy machine
// may stop this process for longer than the default silence timeout.
func TestCallOverLoopback(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	cfg := peer.Config{
		Self: peer.Sender{Host: "a", Incarnation: 1}, Keys: [][]byte{newKey}, Network: peer.TCP{},
		SilenceTimeout: time.Minute, DialTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Hour,
	}
	a := startWith(t, "127.0.0.1:0", cfg)
	cfg.Self.Host = "b"
	b := startWith(t, address, cfg)
	for range 2 {
		require.NoError(t, a.Call(t.Context(), address, echo, text{"hello"}, &text{}))
	}
	require.EqualValues(t, 1, a.Stats().Connects, "both calls use one connection")
	// The sender counts a frame after writing it, so the receiver may count it first.
	require.Eventually(t, func() bool {
		from, to := a.Stats(), b.Stats()
		return from.BytesSent == to.BytesReceived && to.FramesSent == from.FramesReceived
	}, time.Minute, time.Millisecond)
}

// Guards against a key rotation that disconnects hosts while only some of them have the new key.
func TestTwoKeysAreValidDuringRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		a := start(t, network, "a", 1, "a", oldKey, newKey)
		b := start(t, network, "b", 1, "b", newKey, oldKey)
		stranger := start(t, network, "c", 1, "c", bytes.Repeat([]byte("x"), 32))
		require.NoError(t, call(t, a, "b"))
		require.NoError(t, call(t, b, "a"))
		require.Error(t, call(t, stranger, "b"))
		require.Positive(t, b.Stats().RefusedAuthentication)
	})
}

// Guards against obeying delayed frames from an earlier run of a restarted host.
func TestOlderIncarnationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		b := start(t, network, "b", 1, "b", newKey)
		earlier := start(t, network, "a", 5, "a5", newKey)
		later := start(t, network, "a", 6, "a6", newKey)
		require.NoError(t, call(t, earlier, "b"))
		require.NoError(t, call(t, later, "b"))
		err := call(t, earlier, "b")
		var older *peer.OlderIncarnationError
		if !errors.As(err, &older) { // the earlier run's connection may already have been closed
			err = call(t, earlier, "b")
		}
		require.ErrorAs(t, err, &older)
		require.EqualValues(t, 6, older.Known)
		require.Positive(t, b.Stats().RefusedIncarnation)
		earlier.SetIncarnation(7)
		require.NoError(t, call(t, earlier, "b"))
	})
}

// Guards against staying on an open connection that no longer carries data while a new one would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		a := start(t, network, "a", 1, "a", newKey)
		start(t, network, "b", 1, "b", newKey)
		require.NoError(t, call(t, a, "b"))
		network.Silence("b")
		require.ErrorIs(t, call(t, a, "b"), peer.ErrNoReply)
		require.NoError(t, call(t, a, "b"))
		require.EqualValues(t, 1, a.Stats().SilentConnections)
		require.EqualValues(t, 2, a.Stats().Connects)
	})
}

// Guards against losing one-way frames on a silent connection, where no missing reply reveals the failure.
func TestOneWayFramesDetectSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		a := start(t, network, "a", 1, "a", newKey)
		b := start(t, network, "b", 1, "b", newKey)
		require.NoError(t, a.Send("b", "note", text{"1"}))
		time.Sleep(2 * time.Second)
		require.Zero(t, a.Stats().SilentConnections, "a peer that answers pings is not silent")
		network.Silence("b")
		require.NoError(t, a.Send("b", "note", text{"2"}))
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 1, a.Stats().SilentConnections)
		require.NoError(t, a.Send("b", "note", text{"3"}))
		time.Sleep(time.Second)
		require.EqualValues(t, 2, b.oneWayFrames.Load())
	})
}

// Guards against treating a slow handler as a silent connection.
func TestSlowHandlerIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		a := start(t, network, "a", 1, "a", newKey)
		start(t, network, "b", 1, "b", newKey)
		var reply text
		require.NoError(t, a.Call(t.Context(), "b", "slow", text{}, &reply))
		require.Zero(t, a.Stats().SilentConnections)
	})
}

// Guards against a call that waits for its own timeout although the peer froze after accepting it.
func TestPeerFreezingDuringCallIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		a := start(t, network, "a", 1, "a", newKey)
		start(t, network, "b", 1, "b", newKey)
		time.AfterFunc(1200*time.Millisecond, func() { network.Silence("b") })
		began := time.Now()
		require.ErrorIs(t, a.Call(t.Context(), "b", "slow", text{}, &text{}), peer.ErrNoReply)
		require.Less(t, time.Since(began), 2200*time.Millisecond, "noticed within twice the silence timeout after the peer froze")
		require.EqualValues(t, 1, a.Stats().SilentConnections)
	})
}

// Guards against a queue that grows while the peer is unreachable, and against reconnecting without backoff.
func TestUnreachablePeerIsTriedWithBackoffAndBoundedQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		a := start(t, network, "a", 1, "a", newKey)
		network.Block("b", true)
		for range 2000 {
			_ = a.Send("b", "note", text{}) // most fail because the queue is full
		}
		require.Positive(t, a.Stats().Dropped)
		network.Block("b", false)
		for range 100 {
			require.ErrorIs(t, call(t, a, "b"), peer.ErrNotSent)
			time.Sleep(100 * time.Millisecond)
		}
		start(t, network, "b", 1, "b", newKey)
		time.Sleep(2 * time.Second)
		require.NoError(t, call(t, a, "b"))
	})
}

// Guards against a length prefix that makes the receiver allocate unbounded memory, and against sending an oversized
// frame.
func TestFramesOverTheLimitAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		a := start(t, network, "a", 1, "a", newKey)
		b := start(t, network, "b", 1, "b", newKey)
		huge := text{string(make([]byte, peer.MaxFrameBytes))}
		require.ErrorIs(t, a.Call(t.Context(), "b", echo, huge, &text{}), peer.ErrNotSent)
		connection, err := network.At("a").Dial(t.Context(), "b")
		require.NoError(t, err)
		require.NoError(t, binary.Write(connection, binary.BigEndian, uint32(1<<31)))
		_, err = connection.Read(make([]byte, 1))
		require.Error(t, err)
		require.EqualValues(t, 1, b.Stats().RefusedLength)
	})
}

func answerTooMuch(context.Context, peer.Sender, func(any) error) (any, error) {
	return text{string(make([]byte, peer.MaxFrameBytes))}, nil
}

// TestReplyOverTheLimitFailsAtOnce guards against a call that waits for its timeout because the reply fits into no frame.
func TestReplyOverTheLimitFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		a := start(t, network, "a", 1, "a:1", newKey)
		start(t, network, "b", 1, "b:1", newKey)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.ErrorContains(t, a.Call(ctx, "b:1", "huge", "x", &text{}), "split the message")
		require.Less(t, time.Since(began), time.Second)
	})
}

// TestPanickingHandlerEndsItsCallOnly guards against one frame that takes the process down: the caller gets an error, and
// the same connection goes on to serve calls.
func TestPanickingHandlerEndsItsCallOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		a := start(t, network, "a", 1, "a:1", newKey)
		start(t, network, "b", 1, "b:1", newKey)
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			require.ErrorContains(t, a.Call(ctx, "b:1", "panic", "x", nil), "failed unexpectedly")
			cancel()
			require.NoError(t, call(t, a, "b:1"))
		}
	})
}

// trackedReply is a reply whose end is counted.
type trackedReply struct {
	Text string
	done *atomic.Int64
}

func (r trackedReply) Done() { r.done.Add(1) }

// TestReplyIsDoneOnce guards against a host that leaks the room of replies, and then refuses all, because a reply ended in another way than
// by being written: its call or its connection was gone, or it exceeds a frame.
func TestReplyIsDoneOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		server := start(t, network, "server", 1, "server", newKey)
		client := start(t, network, "client", 1, "client", newKey)
		var handled, done atomic.Int64
		size, delay := 10, time.Duration(0)
		server.Handle("tracked", func(context.Context, peer.Sender, func(any) error) (any, error) {
			handled.Add(1)
			time.Sleep(delay)
			return trackedReply{strings.Repeat("x", size), &done}, nil
		})
		var reply text
		require.NoError(t, client.Call(t.Context(), "server", "tracked", text{}, &reply))
		size = 2 * peer.MaxFrameBytes
		require.ErrorIs(t, client.Call(t.Context(), "server", "tracked", text{}, &reply), peer.ErrHandlerFailed)
		size, delay = 10, time.Second
		gaveUp, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.Error(t, client.Call(gaveUp, "server", "tracked", text{}, &reply))
		time.Sleep(2 * time.Second)
		for range 10 {
			go client.Call(t.Context(), "server", "tracked", text{}, &text{})
		}
		time.Sleep(900 * time.Millisecond)
		network.Cut("server", "client", true)
		time.Sleep(2 * time.Minute)
		network.Cut("server", "client", false)
		require.EqualValues(t, 13, handled.Load())
		require.Equal(t, handled.Load(), done.Load())
	})
}
