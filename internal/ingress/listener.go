package ingress

import (
	"net"

	"golang.org/x/sys/unix"
)

// setReceiveBuffer bounds the receive buffer of a TCP listener, which accepted connections inherit.
func setReceiveBuffer(l net.Listener) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) // without it, the system's size holds
	})
}

// listener accepts the connections that the guard admits.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. A connection that is not admitted is closed unread, so that its caller may repeat any request.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
		raw.Close()
		l.guard.cfg.Closed(ReasonConnections)
	}
}

// admit returns the connection if there is room for it, or nil. Another connection makes way if need be.
func (g *Guard) admit(raw net.Conn) *conn {
	c := newConn(g, raw)
	for !g.register(c) {
		if !g.makeWay(longestWait()) {
			return nil
		}
		g.cfg.Closed(ReasonConnections)
	}
	return c
}

// register counts the connection. It returns false if there is no room.
func (g *Guard) register(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.connections) >= g.cfg.Connections {
		return false
	}
	g.connections[c] = struct{}{}
	return true
}

// unregister gives back what register took. It does nothing if the connection is not registered.
func (g *Guard) unregister(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.connections, c)
}
