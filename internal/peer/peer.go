// Package peer carries authenticated msgpack frames between hosts over TCP.
package peer

import (
	"context"
	"net"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Kind names the type of a frame's body.
type Kind string

// Sender tells who sent a frame. It has been authenticated.
type Sender struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// Handler answers a frame. decode fills a typed message from the body. A nil reply with a nil error sends no answer.
type Handler func(ctx context.Context, from Sender, decode func(into any) error) (reply any, err error)

// Transport exchanges frames with other hosts. Implementations are safe for concurrent use.
type Transport interface {
	// Send queues a one-way frame and returns at once. A full queue drops the frame and returns an error.
	Send(address string, kind Kind, body any) error
	// Call sends a frame and waits for the reply, which it decodes into reply.
	Call(ctx context.Context, address string, kind Kind, body, reply any) error
	// Handle registers the handler of a kind. It is called before the transport starts.
	Handle(kind Kind, handler Handler)
}

// Network opens connections. TCP is the production implementation; tests use connections in memory.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the Network of the operating system.
type TCP struct{}

// Listen listens on an IP:port address.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial connects to an IP:port address.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
