// Package memnet is an in-memory network for tests and benchmarks. It simulates delays between nodes and network
// partitions that leave connections open. It waits only on channels and timers, so that it works in virtual time.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
)

// Network connects the nodes of one test.
type Network struct {
	// Delay returns the one-way delay between two nodes. It must be set before the first connection.
	Delay func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[[2]string]bool
	// blocked holds the addresses to which connection attempts hang.
	blocked map[string]bool
	// open holds the dialling ends of the open connections.
	open map[*conn]bool
}

// New returns a network without delay.
func New() *Network {
	return &Network{
		Delay:     func(string, string) time.Duration { return 0 },
		listeners: map[string]*listener{},
		cuts:      map[[2]string]bool{},
		blocked:   map[string]bool{},
		open:      map[*conn]bool{},
	}
}

// Cut drops all bytes between two nodes in both directions until it is called with false. Dropped bytes are not resent.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
}

// Block makes connection attempts to an address hang until it is called with false. Open connections are not affected.
func (n *Network) Block(address string, block bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[address] = block
}

// Silence makes the connections that are open to an address drop all bytes and stay open. New connections work.
func (n *Network) Silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.open {
		if c.remote.String() == address {
			c.silent.Store(true)
		}
	}
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

// Node is an endpoint of the network, for instance a host.
type Node struct {
	network *Network
	name    string
}

// At returns the node with the given name.
func (n *Network) At(name string) *Node { return &Node{network: n, name: name} }

// Listen opens a listener for an address.
func (node *Node) Listen(address string) (net.Listener, error) {
	n := node.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("memnet: address %s is in use", address)
	}
	l := &listener{
		network: n,
		node:    node.name,
		address: address,
		accept:  make(chan net.Conn, 128),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to a listener, which takes one round trip. If the address is blocked or its node cut off, Dial blocks
// until the context ends.
func (node *Node) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := node.network
	n.mu.Lock()
	l := n.listeners[address]
	blocked := n.blocked[address]
	n.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: fmt.Errorf("connection refused by %s", address)}
	}
	if n.isCut(node.name, l.node) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
	}
	if err := ctxtime.Sleep(ctx, 2*n.Delay(node.name, l.node)); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: err}
	}
	near, far := newPair(n, node.name, l.node, address)
	select {
	case l.accept <- far:
		n.mu.Lock()
		n.open[near] = true
		n.mu.Unlock()
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
	}
}

type listener struct {
	network *Network
	node    string
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and frees its address.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network returns the name of the network.
func (address) Network() string { return "mem" }

// String returns the address.
func (a address) String() string { return string(a) }
