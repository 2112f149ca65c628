// Package httpreply reads HTTP/1.1 replies of peers that may be faulty. A faulty peer can send bytes without end, in a
// head, a body, chunk extensions or trailers, until the connection is closed, so everything that is read is bounded.
package httpreply

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
)

const (
	// MaxHeadBytes bounds the status line and the headers of a reply. Real ones have less than 1 KiB.
	MaxHeadBytes = 16 << 10
	// MaxBodyBytes bounds the body of a reply whose reader sets no lower limit.
	MaxBodyBytes = 8 << 20
	// framingFactor bounds the bytes of a chunked body on the wire as a multiple of its content. A chunk of one byte
	// takes six.
	framingFactor = 8
	// freeHeadMemory and freeBodyBytes are the parts of the memory of a parsed head and of a body that are not charged. Ordinary replies
	// take less, so that they are read also while other replies have taken all memory; the number of connections bounds what they take.
	freeHeadMemory = 8 << 10
	freeBodyBytes  = 4 << 10
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

// Read reads the next reply to the request, with a body of at most maxBody bytes. The body and the memory of a long head are
// charged to the account, and given back if there is an error. After an error the connection cannot be used any more.
func (r *Reader) Read(request *http.Request, maxBody int64, memory *membudget.Account) (*http.Response, []byte, error) {
	r.source.charge = charge{memory: memory}
	response, body, err := r.read(request, maxBody)
	if err != nil {
		memory.Give(r.source.charge.taken)
	}
	r.source.charge = charge{}
	return response, body, err
}

func (r *Reader) read(request *http.Request, maxBody int64) (*http.Response, []byte, error) {
	r.source.left = MaxHeadBytes
	r.source.head = head{inProgress: true}
	buffered, _ := r.Peek(r.Buffered()) // cannot fail: they are buffered
	if !r.source.chargeHead(buffered) {
		return nil, nil, ErrNoMemory
	}
	response, err := http.ReadResponse(r.Reader, request)
	r.source.head.inProgress = false
	if err != nil {
		return nil, nil, r.source.explain(err)
	}
	// The body is not closed: that would read what a peer goes on sending. It holds nothing but the connection.
	r.source.left = framingFactor*maxBody + MaxHeadBytes
	body, err := membudget.ReadAll(response.Body, membudget.Content{Stated: response.ContentLength, Limit: maxBody, Free: freeBodyBytes}, r.source.charge.take)
	switch {
	case errors.Is(err, membudget.ErrTooLong):
		return nil, nil, ErrTooLong
	case errors.Is(err, membudget.ErrNoMemory):
		return nil, nil, ErrNoMemory
	case err != nil:
		return nil, nil, r.source.explain(err)
	}
	r.source.left = MaxHeadBytes
	return response, body, nil
}

// source passes on at most left bytes of a connection.
type source struct {
	connection io.Reader
	left       int64
	// charge is charged for the reply that is being read.
	charge charge
	head   head
	// full means that the account had no room for the head.
	full bool
}

// charge is what one reply has taken of an account.
type charge struct {
	memory *membudget.Account
	taken  int64
}

// take charges bytes to the account. It returns false if the account has no room for them.
func (c *charge) take(bytes int64) bool {
	if !c.memory.Take(bytes) {
		return false
	}
	c.taken += bytes
	return true
}

// chargeHead charges further bytes of the head before they are parsed. It returns false if the account has no room for them.
func (s *source) chargeHead(p []byte) bool {
	s.head.add(p)
	due := membudget.HeadMemory(s.head.lines, s.head.bytes) - freeHeadMemory - s.charge.taken
	return due <= 0 || s.charge.take(due)
}

// head is the size of a head as far as it was read.
type head struct {
	// inProgress is set until the end of the head.
	inProgress   bool
	lines, bytes int
	// lineBytes is the size of the latest line without its end.
	lineBytes int
}

// add adds bytes up to the empty line that ends the head.
func (h *head) add(p []byte) {
	for _, b := range p {
		if !h.inProgress {
			return
		}
		h.bytes++
		switch b {
		case '\n':
			h.inProgress = h.lineBytes > 0
			h.lines++
			h.lineBytes = 0
		case '\r':
		default:
			h.lineBytes++
		}
	}
}

// explain returns ErrTooLong for an error after the last allowed byte, and ErrNoMemory for one after the last byte that the account
// has room for. Parsers report a line that ends there as malformed.
func (s *source) explain(err error) error {
	switch {
	case s.full && !errors.Is(err, ErrNoMemory):
		return errors.Join(ErrNoMemory, err)
	case s.left <= 0 && !errors.Is(err, ErrTooLong):
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
	if !s.chargeHead(p[:n]) {
		s.full = true
		return 0, ErrNoMemory
	}
	return n, err
}
