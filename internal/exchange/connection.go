package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	// maxReplyBytes bounds the reply that is held in memory.
	maxReplyBytes  = 8 << 20
	readBufferSize = 4 << 10
	// maxStale bounds the replies to earlier requests that are read past.
	maxStale = 4
	// inlineBody is the largest body that is written together with the headers. A target may answer before it has read a
	// larger one, so that is written beside the reading.
	inlineBody = 8 << 10
	// keepAliveMargin is the time before a target's idle timeout at which a connection is not used any more.
	keepAliveMargin = 700 * time.Millisecond
	// replyGrace is the time after a deadline within which the reply of a target that keeps to it arrives.
	replyGrace = 50 * time.Millisecond
)

// errStale means that too many replies of other requests came first.
var errStale = errors.New("replies of other requests")

// connection is one kept-alive connection. It carries one attempt at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// expires is the time at which the target may close the idle connection; zero if it states none.
	expires time.Time
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize)}
}

// isUsable tells whether an idle connection can carry another attempt: it has not ended, holds no byte that nobody asked
// for, and the target does not close it soon.
func (c *connection) isUsable(now time.Time) bool {
	if c.reader.Buffered() > 0 || !c.expires.IsZero() && now.After(c.expires) {
		return false
	}
	return isQuiet(c.Conn)
}

// exchange writes the attempt and reads its reply. reusable tells whether the connection can carry another attempt.
func (c *connection) exchange(ctx context.Context, a *Attempt, dialect Dialect) (reply *Reply, reusable bool, err error) {
	// The connection's deadline ends reads and writes that the context or the attempt's end overtakes.
	if err := c.SetDeadline(a.Deadline.Add(replyGrace)); err != nil {
		return nil, false, fmt.Errorf("%w: %w", targetclient.ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	head, request := encode(a, dialect)
	written, writing, err := c.write(head, a.Request.Body)
	if err != nil && written == 0 {
		return nil, false, fmt.Errorf("%w: %w", targetclient.ErrNotSent, err)
	}
	reply, reusable, err = c.read(a, request, dialect)
	if err != nil {
		return nil, false, c.lost(ctx, err)
	}
	select {
	case err := <-writing:
		reusable = reusable && err == nil
	default:
		reusable = false // the rest of the body would be taken for the next request
	}
	return reply, reusable && stop(), nil
}

// lost classifies the end of a connection before the whole reply.
func (c *connection) lost(ctx context.Context, err error) error {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %w", targetclient.ErrCancelled, err)
	case errors.Is(err, errStale):
		return fmt.Errorf("%w: %w", targetclient.ErrMismatch, err)
	case errors.As(err, &timeout) && timeout.Timeout():
		return fmt.Errorf("%w: %w", targetclient.ErrSilent, err)
	}
	return fmt.Errorf("%w: %w", targetclient.ErrLost, err)
}

// write sends the head and a short body at once. A longer body follows on a goroutine of its own, whose result comes on
// the channel.
func (c *connection) write(head, body []byte) (int, <-chan error, error) {
	done := make(chan error, 1)
	if len(body) <= inlineBody {
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

// read returns the reply to the attempt and reads past replies that name other requests.
func (c *connection) read(a *Attempt, request *http.Request, dialect Dialect) (*Reply, bool, error) {
	for range maxStale {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, err
		}
		body, err := readBody(response)
		if err != nil {
			return nil, false, err
		}
		reply := &Reply{
			Meaning: dialect.Interpret(response.StatusCode, response.Header),
			Status:  response.StatusCode,
			Header:  response.Header,
			Body:    body,
		}
		framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if reply.RequestID != "" && reply.RequestID != a.Request.ID {
			if !framed || response.Close {
				return nil, false, errStale
			}
			continue
		}
		c.noteKeepAlive(response.Header)
		return reply, framed && !response.Close && c.reader.Buffered() == 0, nil
	}
	return nil, false, errStale
}

func readBody(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxReplyBytes {
		return nil, fmt.Errorf("reply of more than %d bytes: %w", maxReplyBytes, io.ErrShortBuffer)
	}
	return body, nil
}

// noteKeepAlive takes the idle timeout that the target states.
func (c *connection) noteKeepAlive(header http.Header) {
	c.expires = time.Time{}
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") {
			c.expires = time.Now().Add(time.Duration(seconds)*time.Second - keepAliveMargin)
		}
	}
}

// encode returns the head of the attempt and the request that its reply is read for.
func encode(a *Attempt, dialect Dialect) ([]byte, *http.Request) {
	header := a.Request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	dialect.Prepare(header, a)
	if len(a.Request.Body) > 0 || a.Request.Method == http.MethodPost || a.Request.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(a.Request.Body)))
	}
	var head strings.Builder
	head.WriteString(a.Request.Method + " " + a.Request.URI + " HTTP/1.1\r\nHost: " + a.Request.Host + "\r\n")
	_ = header.Write(&head) // a Builder's Write never fails
	head.WriteString("\r\n")
	return []byte(head.String()), &http.Request{Method: a.Request.Method}
}

// isQuiet tells whether the peer has neither closed the connection nor sent a byte.
func isQuiet(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}
