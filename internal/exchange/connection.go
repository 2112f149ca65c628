package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/knapweedrouter/knapweedrouter/internal/httpreply"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	readBufferSize = 4 << 10
	// maxRepliesRead limits the replies read for an attempt, including skipped ones: interim responses and replies to
	// other requests.
	maxRepliesRead = 4
	// maxInlineBody is the largest body written in one call with the headers. A target may answer before it has read a
	// larger body, so larger bodies are written concurrently with reading the reply.
	maxInlineBody = 8 << 10
	// keepAliveMargin is how long before a target's idle timeout a connection is no longer used.
	keepAliveMargin = 700 * time.Millisecond
	// replyGrace is how long after a deadline the reply of a target that respects it may arrive.
	replyGrace = 50 * time.Millisecond
)

// errNoStatus means that the reply has a status code that HTTP does not have, which no answer to a caller can bear.
var errNoStatus = errors.New("the reply has an impossible status code")

// errOtherReplies means that none of the replies read belongs to the attempt's request.
var errOtherReplies = errors.New("no reply read belongs to this request")

// connection is a keep-alive connection that carries one attempt at a time.
type connection struct {
	net.Conn
	reader *httpreply.Reader
	// expires is when the target may close the idle connection; zero if it states no timeout.
	expires time.Time
	// idleSince is when the connection last became idle.
	idleSince time.Time
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, reader: httpreply.NewReader(conn, readBufferSize)}
}

// isUsable reports whether an idle connection can carry another attempt: it is open, holds no unsolicited data, and is
// not about to be closed by the target.
func (c *connection) isUsable(now time.Time) bool {
	if c.reader.Buffered() > 0 || !c.expires.IsZero() && now.After(c.expires) {
		return false
	}
	return isOpenAndIdle(c.Conn)
}

// exchange writes the attempt and reads its reply. reusable reports whether the connection can carry another attempt.
func (c *connection) exchange(ctx context.Context, a *Attempt, codec HeaderCodec) (reply *Reply, reusable bool, err error) {
	// The connection deadline interrupts reads and writes when the attempt's deadline passes or the context ends.
	if err := c.SetDeadline(a.Deadline.Add(replyGrace)); err != nil {
		return nil, false, fmt.Errorf("%w: %w", targetclient.ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	head, request := encodeHead(a, codec)
	written, writing, err := c.writeRequest(head, a.Request.Body)
	if err != nil && written == 0 {
		return nil, false, fmt.Errorf("%w: %w", targetclient.ErrNotSent, err)
	}
	reply, reusable, err = c.readReply(a, request, codec)
	if err != nil {
		return nil, false, c.classifyError(ctx, err)
	}
	select {
	case err := <-writing:
		reusable = reusable && err == nil
	default:
		reusable = false // the target would read the rest of the body as the next request
	}
	return reply, reusable && stop(), nil
}

// classifyError maps an error before the whole reply was read to an error of package targetclient.
func (c *connection) classifyError(ctx context.Context, err error) error {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %w", targetclient.ErrCancelled, err)
	case errors.Is(err, errOtherReplies), errors.Is(err, errNoStatus), errors.Is(err, httpreply.ErrTooLong):
		return fmt.Errorf("%w: %w", targetclient.ErrMismatch, err)
	case errors.Is(err, httpreply.ErrNoMemory):
		return fmt.Errorf("%w: %w", targetclient.ErrNoRoom, err)
	case errors.As(err, &timeout) && timeout.Timeout():
		return fmt.Errorf("%w: %w", targetclient.ErrNoReply, err)
	}
	return fmt.Errorf("%w: %w", targetclient.ErrLost, err)
}

// writeRequest writes the head together with a short body. A longer body is written by a separate goroutine, which
// sends its result on the channel.
func (c *connection) writeRequest(head, body []byte) (int, <-chan error, error) {
	done := make(chan error, 1)
	if len(body) <= maxInlineBody {
		n, err := c.Write(append(head, body...))
		done <- err
		return n, done, err
	}
	n, err := c.Write(head)
	if err != nil {
		return n, done, err
	}
	go func() {
		_, err := c.Write(body)
		done <- err
	}()
	return n, done, nil
}

// readReply returns the reply to the attempt, and whether the connection can carry another one. It skips interim
// responses and replies to other requests.
func (c *connection) readReply(a *Attempt, request *http.Request, codec HeaderCodec) (*Reply, bool, error) {
	limit := int64(httpreply.MaxBodyBytes)
	if a.MaxReplyBytes > 0 {
		limit = a.MaxReplyBytes
	}
	for range maxRepliesRead {
		response, body, err := c.reader.Read(request, limit, a.Memory)
		if err != nil {
			return nil, false, err
		}
		reply := &Reply{
			ReplyInfo: codec.DecodeReply(response.StatusCode, response.Header),
			Status:    response.StatusCode,
			Header:    response.Header,
			Body:      body,
		}
		framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if response.StatusCode < 100 || response.StatusCode > 599 {
			return nil, false, errNoStatus
		}
		if !reply.belongsTo(a.Request) {
			if !framed || response.Close {
				return nil, false, errOtherReplies
			}
			continue
		}
		c.recordKeepAlive(response.Header)
		// A late copy of a reply that names no request could not be told from a later reply.
		named := reply.RequestID != ""
		return reply, named && framed && !response.Close && c.reader.Buffered() == 0, nil
	}
	return nil, false, errOtherReplies
}

// recordKeepAlive records the idle timeout stated by the target.
func (c *connection) recordKeepAlive(header http.Header) {
	c.expires = time.Time{}
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") {
			c.expires = time.Now().Add(time.Duration(seconds)*time.Second - keepAliveMargin)
		}
	}
}

// encodeHead returns the encoded request line and headers, and the request needed to parse the reply.
func encodeHead(a *Attempt, codec HeaderCodec) ([]byte, *http.Request) {
	header := a.Request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	codec.EncodeAttempt(header, a)
	if len(a.Request.Body) > 0 || a.Request.Method == http.MethodPost || a.Request.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(a.Request.Body)))
	}
	var head strings.Builder
	head.WriteString(a.Request.Method + " " + a.Request.URI + " HTTP/1.1\r\nHost: " + a.Request.Host + "\r\n")
	_ = header.Write(&head) // a strings.Builder never fails
	head.WriteString("\r\n")
	return []byte(head.String()), &http.Request{Method: a.Request.Method}
}

// isOpenAndIdle reports whether the peer has neither closed the connection nor sent data.
func isOpenAndIdle(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var buffer [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && idle
}
