package targetclient

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/httpreply"
	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
)

const (
	readBufferSize = 16 << 10
	// incompleteBytes bounds the replies of all targets that are being read, which may never end.
	incompleteBytes = 64 << 20
	// maxReplyMemory bounds the memory of one of them: the buffer of a body doubles.
	maxReplyMemory = 3 * httpreply.MaxBodyBytes
)

// connection is a persistent HTTP/1.1 connection that carries one request at a time. Its reader goroutine also reads while
// the connection is idle, to detect closed connections before they are reused and bytes that no request expects.
type connection struct {
	conn   net.Conn
	reader *httpreply.Reader
	opened time.Time
	// incomplete is charged for a reply while it is read.
	incomplete *membudget.Account
	// lastReplyAt is the monotime of the last complete reply.
	lastReplyAt atomic.Int64
	// pending is the request whose reply is awaited, or nil.
	pending atomic.Pointer[http.Request]
	// receiving is set once bytes of the reply have arrived.
	receiving atomic.Bool
	replies   chan httpReply
	// closed is closed when the connection is no longer usable.
	closed chan struct{}
}

// httpReply is a complete reply.
type httpReply struct {
	status   int
	checksum string
	body     []byte
	// last is set if the connection closes after this reply.
	last bool
}

func newConnection(conn net.Conn, incomplete *membudget.Account) *connection {
	c := &connection{
		incomplete: incomplete,
		conn:       conn,
		reader:     httpreply.NewReader(conn, readBufferSize),
		opened:     time.Now(),
		replies:    make(chan httpReply, 1),
		closed:     make(chan struct{}),
	}
	c.lastReplyAt.Store(int64(monotime.Now()))
	return c
}

// readLoop delivers replies until the connection ends. It calls unexpected for bytes that don't belong to a request.
func (c *connection) readLoop(checksumHeader string, unexpected func()) {
	defer close(c.closed)
	defer c.conn.Close()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		pending := c.pending.Swap(nil)
		if pending == nil {
			unexpected()
			return
		}
		c.receiving.Store(true)
		reply, err := c.readReply(pending, checksumHeader)
		if err != nil {
			return
		}
		c.lastReplyAt.Store(int64(monotime.Now()))
		c.replies <- reply
		if reply.last {
			return
		}
	}
}

func (c *connection) readReply(request *http.Request, checksumHeader string) (httpReply, error) {
	memory := c.incomplete.Open(maxReplyMemory)
	defer memory.Release()
	response, body, err := c.reader.Read(request, httpreply.MaxBodyBytes, memory)
	if err != nil {
		return httpReply{}, err
	}
	return httpReply{
		status:   response.StatusCode,
		checksum: response.Header.Get(checksumHeader),
		body:     body,
		last:     response.Close,
	}, nil
}

// send writes the request once. sent is false if no byte of it was written.
func (c *connection) send(request *http.Request, until time.Time) (sent bool, err error) {
	var buffer bytes.Buffer
	if err := request.Write(&buffer); err != nil {
		return false, err
	}
	c.receiving.Store(false)
	c.pending.Store(request)
	if err := c.conn.SetWriteDeadline(until); err != nil {
		return false, err
	}
	written, err := c.conn.Write(buffer.Bytes())
	return written > 0, err
}

func (c *connection) isClosed() bool { return ctxtime.IsClosed(c.closed) }
