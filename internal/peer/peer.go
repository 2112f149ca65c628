// Package peer exchanges authenticated msgpack frames between hosts over TCP.
package peer

import (
	"context"
	"net"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Kind identifies the type of a frame's body.
type Kind string

// Sender is the authenticated sender of a frame.
type Sender struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// Handler processes a frame. decode unmarshals the body into a typed message. If both results are nil, no reply is
// sent.
type Handler func(ctx context.Context, from Sender, decode func(into any) error) (reply any, err error)

// Tracked is the body of a reply whose sender bounds the memory of replies that are under way. Done is called once: when the frame has been
// written, or will not be.
type Tracked interface{ Done() }

// done ends the tracking of a reply.
func done(reply any) {
	if tracked, ok := reply.(Tracked); ok {
		tracked.Done()
	}
}

// Transport exchanges frames with other hosts. Implementations are safe for concurrent use.
type Transport interface {
	// Send queues a one-way frame without blocking. If the queue is full, it drops the frame and returns an error.
	Send(address string, kind Kind, body any) error
	// Call sends a frame, waits for the reply and unmarshals it into reply.
	Call(ctx context.Context, address string, kind Kind, body, reply any) error
	// Handle registers the handler for a kind. It must be called before the transport starts.
	Handle(kind Kind, handler Handler)
}

// Network opens connections. TCP is the production implementation; tests use in-memory connections.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the operating system's TCP network.
type TCP struct{}

// Listen listens on an IP:port address.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial connects to an IP:port address.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
