// Package httpreply reads HTTP/1.1 replies of peers that may be faulty. A faulty peer can send bytes without end, in a
// head, a body, chunk extensions or trailers, until the connection is closed, so everything that is read is bounded.
package httpreply

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

const (
	// MaxHeadBytes bounds the status line and the headers of a reply. Real ones have less than 1 KiB.
	MaxHeadBytes = 64 << 10
	// MaxBodyBytes bounds the body of a reply whose reader sets no lower limit.
	MaxBodyBytes = 8 << 20
	// framingFactor bounds the bytes of a chunked body on the wire as a multiple of its content. A chunk of one byte
	// takes six.
	framingFactor = 8
	// firstBufferBytes is the initial size of the buffer of a body. The buffer grows with the bytes that arrive, not with
	// the length that the peer states.
	firstBufferBytes = 512
)

var (
	// ErrTooLong means that the peer sent more than the limit allows.
	ErrTooLong = errors.New("reply exceeds its limit: check what the target sends")
	// ErrNoMemory means that the replies held at present leave no room for this one.
	ErrNoMemory = errors.New("replies in memory reach their limit: lower the load or raise memory_mb")
)

// Reader reads replies from one connection. It is not safe for concurrent use.
type Reader struct {
	*bufio.Reader
	source source
}

// NewReader returns a Reader with a buffer of the given size in bytes.
func NewReader(connection io.Reader, bufferBytes int) *Reader {
	r := &Reader{source: source{connection: connection, left: MaxHeadBytes}}
	r.Reader = bufio.NewReaderSize(&r.source, bufferBytes)
	return r
}

// Read reads the next reply to the request, with a body of at most maxBody bytes, which are charged to the account. After
// an error the connection cannot be used any more.
func (r *Reader) Read(request *http.Request, maxBody int64, memory *Account) (*http.Response, []byte, error) {
	r.source.left = MaxHeadBytes
	response, err := http.ReadResponse(r.Reader, request)
	if err != nil {
		return nil, nil, r.source.explain(err)
	}
	defer response.Body.Close()
	r.source.left = framingFactor*maxBody + MaxHeadBytes
	body, err := readBody(response, maxBody, memory)
	if err != nil {
		return nil, nil, r.source.explain(err)
	}
	r.source.left = MaxHeadBytes
	return response, body, nil
}

func readBody(response *http.Response, maxBody int64, memory *Account) ([]byte, error) {
	if response.ContentLength > maxBody {
		return nil, ErrTooLong
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := max(firstBufferBytes, 2*cap(body))
			if !memory.Take(int64(grown - cap(body))) {
				return nil, ErrNoMemory
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBody:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// source passes on at most left bytes of a connection.
type source struct {
	connection io.Reader
	left       int64
}

// explain returns ErrTooLong for an error after the last allowed byte. Parsers report a line that ends there as malformed.
func (s *source) explain(err error) error {
	if s.left <= 0 && !errors.Is(err, ErrTooLong) {
		return errors.Join(ErrTooLong, err)
	}
	return err
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := s.connection.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	return n, err
}
