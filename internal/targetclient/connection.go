package targetclient

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
)

const (
	maxReplyBytes  = 8 << 20
	readBufferSize = 16 << 10
)

// connection is one kept-alive HTTP/1.1 connection. It carries one request at a time. A reader goroutine waits for bytes
// also while the connection is idle, so that a closed connection is not used again and unexpected bytes are noticed.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	opened time.Time
	// active is the time of the last whole reply, as monotime reads it.
	active atomic.Int64
	// expected is the request whose reply may come.
	expected atomic.Pointer[http.Request]
	// receiving tells that bytes of a reply have arrived.
	receiving atomic.Bool
	replies   chan received
	// ended is closed when the connection can carry nothing more.
	ended chan struct{}
}

// received is one whole reply.
type received struct {
	status   int
	checksum string
	body     []byte
	// last tells that the connection ends after this reply.
	last bool
}

func newConnection(conn net.Conn) *connection {
	c := &connection{
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, readBufferSize),
		opened:  time.Now(),
		replies: make(chan received, 1),
		ended:   make(chan struct{}),
	}
	c.active.Store(int64(monotime.Now()))
	return c
}

// read delivers replies until the connection ends. unexpected is called for bytes that no request asked for.
func (c *connection) read(checksumHeader string, unexpected func()) {
	defer close(c.ended)
	defer c.conn.Close()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		request := c.expected.Swap(nil)
		if request == nil {
			unexpected()
			return
		}
		c.receiving.Store(true)
		reply, err := c.readReply(request, checksumHeader)
		if err != nil {
			return
		}
		c.active.Store(int64(monotime.Now()))
		c.replies <- reply
		if reply.last {
			return
		}
	}
}

func (c *connection) readReply(request *http.Request, checksumHeader string) (received, error) {
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return received{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return received{}, err
	}
	if len(body) > maxReplyBytes {
		return received{}, io.ErrShortBuffer
	}
	return received{
		status:   response.StatusCode,
		checksum: response.Header.Get(checksumHeader),
		body:     body,
		last:     response.Close,
	}, nil
}

// send writes the request once. sent is false if no byte of it has left.
func (c *connection) send(request *http.Request, until time.Time) (sent bool, err error) {
	var buffer bytes.Buffer
	if err := request.Write(&buffer); err != nil {
		return false, err
	}
	c.receiving.Store(false)
	c.expected.Store(request)
	if err := c.conn.SetWriteDeadline(until); err != nil {
		return false, err
	}
	written, err := c.conn.Write(buffer.Bytes())
	return written > 0, err
}

func (c *connection) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}
