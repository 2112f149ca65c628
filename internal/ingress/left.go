package ingress

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
)

const (
	// endInterval is the interval at which a connection is asked whether its caller has closed it.
	endInterval = 100 * time.Millisecond
	// The states of a TCP connection whose other end has closed it, as in the kernel's TCP_INFO.
	tcpClosed, tcpCloseWait = 7, 8
)

// HasLeft reports whether the caller of a request has closed its connection. Package http ends the context of a request with a body only
// some time after the body was read.
func HasLeft(r *http.Request) bool { return connOf(r).isClosedByCaller() }

// setContext sets the parent of the contexts of the connection's requests, and returns it.
func (c *conn) setContext(parent context.Context) context.Context {
	c.context, c.leave = context.WithCancel(parent)
	return c.context
}

// watchEnd starts to watch for the end of the caller during the request in progress. It is called when bytes arrive that follow the
// request: package http, which notices the end of a connection by reading from it, reads no further then.
func (c *conn) watchEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling && !c.watched {
		c.watched = true
		go c.watchUntilEndOf(c.begun)
	}
}

// watchUntilEndOf ends the context of the requests when the caller closes the connection. It returns when the request ends.
func (c *conn) watchUntilEndOf(request int) {
	for ctxtime.Sleep(c.context, endInterval) == nil && c.isHandling(request) {
		if c.isClosedByCaller() {
			c.leave()
		}
	}
}

func (c *conn) isHandling(request int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handling && c.begun == request
}

// isClosedByCaller reports whether the caller has closed the connection, whatever it sent before.
func (c *conn) isClosedByCaller() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpCloseWait || info.State == tcpClosed)
	})
	return closed || err != nil
}
