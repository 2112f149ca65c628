// Package targettest provides a conformance suite for implementations of targetclient.TargetClient and an in-memory network
// for their tests.
package targettest

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
)

// Network serves target stand-ins over HTTP on in-memory connections.
type Network struct {
	// ConnectTime is the time that it takes to open a connection.
	ConnectTime time.Duration
	// Opening and MaxOpening are the current and maximum number of connections being opened, Open and MaxOpen those of
	// connections that the client has open. Opened counts the calls of Dial.
	Opening, MaxOpening, Open, MaxOpen, Opened atomic.Int64
	// Wrap, if set, is applied to each connection of the client.
	Wrap func(net.Conn) net.Conn

	mu        sync.Mutex
	listeners map[string]*listener
	servers   []*http.Server
}

// NewNetwork returns a network that serves each target at an address equal to its ID.
func NewNetwork(targets map[model.TargetID]*target.Target) *Network {
	n := &Network{listeners: map[string]*listener{}}
	for id, t := range targets {
		l := &listener{accepted: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: target.NewHandler(t), ConnContext: t.ConnContext}
		n.listeners[string(id)] = l
		n.servers = append(n.servers, server)
		go server.Serve(l)
	}
	return n
}

// Close closes all servers and their connections.
func (n *Network) Close() {
	for _, server := range n.servers {
		server.Close()
	}
}

// CloseIdle closes the connections of all servers, as a restart would, and keeps serving.
func (n *Network) CloseIdle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		for _, conn := range l.conns {
			conn.Close()
		}
		l.conns = nil
	}
}

// Dial opens a connection to a target.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	storeMax(&n.MaxOpening, n.Opening.Add(1))
	defer n.Opening.Add(-1)
	n.Opened.Add(1)
	time.Sleep(n.ConnectTime)
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l.conns = append(l.conns, server)
	n.mu.Unlock()
	storeMax(&n.MaxOpen, n.Open.Add(1))
	conn := net.Conn(&countedConn{Conn: client, network: n})
	if n.Wrap != nil {
		conn = n.Wrap(conn)
	}
	return conn, nil
}

func storeMax(highest *atomic.Int64, value int64) {
	for {
		current := highest.Load()
		if value <= current || highest.CompareAndSwap(current, value) {
			return
		}
	}
}

// countedConn is a connection that decrements Network.Open when it closes.
type countedConn struct {
	net.Conn
	network *Network
	once    sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.network.Open.Add(-1) })
	return c.Conn.Close()
}

type listener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
	conns    []net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: "memory", Net: "memory"} }
