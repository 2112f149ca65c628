// Package peertest is a Network in memory for tests: it can cut addresses off and make open connections go silent.
package peertest

import (
	"context"
	"errors"
	"net"
	"sync"
)

var (
	errRefused = errors.New("peertest: nobody listens at the address")
	errInUse   = errors.New("peertest: the address is in use")
)

// Network connects listeners and dialers in memory. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[string]bool
	open      []*connection
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, cut: map[string]bool{}}
}

// Listen implements peer.Network.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errInUse
	}
	l := &listener{network: n, address: address, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial implements peer.Network.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	cut := n.cut[address]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	dialled := newConnection(near, address)
	select {
	case l.accept <- newConnection(far, address):
		n.mu.Lock()
		n.open = append(n.open, dialled)
		n.mu.Unlock()
		return dialled, nil
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Cut makes connects to an address wait in vain, or work again.
func (n *Network) Cut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// Silence makes the connections that are open to an address lose every byte while they stay open. New connections work.
func (n *Network) Silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.open {
		if c.address == address {
			c.silence()
		}
	}
}

type listener struct {
	network *Network
	address string
	accept  chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accept:
		return connection, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

type connection struct {
	net.Conn
	address string
	mu      sync.Mutex
	silent  bool
}

func newConnection(c net.Conn, address string) *connection {
	return &connection{Conn: c, address: address}
}

func (c *connection) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *connection) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Write loses the bytes of a silent connection.
func (c *connection) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read discards the bytes that arrive on a silent connection.
func (c *connection) Read(b []byte) (int, error) {
	for {
		count, err := c.Conn.Read(b)
		if err != nil || !c.isSilent() {
			return count, err
		}
	}
}
