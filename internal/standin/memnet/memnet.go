// Package memnet is a network in memory for tests and measurements. It has a delay between places and can cut them off
// from each other without closing their connections. All waiting is on channels and timers, so that it works in
// virtual time.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
)

// Network connects the places of one test.
type Network struct {
	// Delay returns the one-way delay between two places. It is set before the first connection.
	Delay func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[[2]string]bool
	// blocked holds the addresses to which connects wait in vain.
	blocked map[string]bool
	// open holds the dialled ends of the open connections.
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

// Cut drops all bytes between two places, in both directions, until it is called with false. Bytes dropped are lost.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
}

// Block makes connects to an address wait in vain, or work again. Open connections go on.
func (n *Network) Block(address string, block bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[address] = block
}

// Silence makes the connections that are open to an address lose every byte while they stay open. New connections work.
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

// Place is the network as seen from one place, for instance a host.
type Place struct {
	network *Network
	name    string
}

// At returns the network as seen from a place.
func (n *Network) At(name string) *Place { return &Place{network: n, name: name} }

// Listen accepts connections to an address.
func (p *Place) Listen(address string) (net.Listener, error) {
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("memnet: address %s is in use", address)
	}
	l := &listener{
		network: n,
		place:   p.name,
		address: address,
		accept:  make(chan net.Conn, 128),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to a listener. A connect takes one round trip; to a place that is cut off it waits for the context.
func (p *Place) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := p.network
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
	if n.isCut(p.name, l.place) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
	}
	if err := ctxtime.Sleep(ctx, 2*n.Delay(p.name, l.place)); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: err}
	}
	near, far := newPair(n, p.name, l.place, address)
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
	place   string
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops the listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network returns the name of the network.
func (address) Network() string { return "mem" }

// String returns the address.
func (a address) String() string { return string(a) }
