package dev

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/knapweedrouter/knapweedrouter/internal/peer"
)

const loopback = "127.0.0.1:0"

// network opens listeners on free ports in advance, so that all addresses are known before the first host starts and no
// other program can take a port in the meantime.
type network struct {
	mu        sync.Mutex
	listeners map[string]net.Listener
}

func newNetwork() *network { return &network{listeners: map[string]net.Listener{}} }

// reserve opens a listener on a free port and returns its address.
func (n *network) reserve() (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("no free port on the loopback interface: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	address := listener.Addr().String()
	n.listeners[address] = listener
	return address, nil
}

// Listen returns the listener reserved for the address, or opens a new one.
func (n *network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listener, ok := n.listeners[address]
	if !ok {
		return peer.TCP{}.Listen(address)
	}
	delete(n.listeners, address)
	return listener, nil
}

// Dial connects to an address.
func (n *network) Dial(ctx context.Context, address string) (net.Conn, error) {
	return peer.TCP{}.Dial(ctx, address)
}

// close closes the reserved listeners that were never used.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, listener := range n.listeners {
		listener.Close()
	}
}
