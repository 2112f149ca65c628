package membudget

import (
	"errors"
	"io"
)

// firstBufferBytes is the initial size of a buffer whose content has no stated length.
const firstBufferBytes = 512

var (
	// ErrTooLong means that the content is longer than its limit.
	ErrTooLong = errors.New("content exceeds its limit")
	// ErrNoMemory means that there is no room for the content.
	ErrNoMemory = errors.New("content finds no room in memory")
)

// Content describes what ReadAll reads.
type Content struct {
	// Stated is the length that the sender states, or a negative number if it states none.
	Stated int64
	// Limit bounds the length.
	Limit int64
	// Free is the part of the buffer that is not charged.
	Free int64
}

// ReadAll reads content to its end. The buffer grows with the bytes that arrive, not with the length that the sender states, and take
// is called with the bytes by which it grows before it does. Errors other than ErrTooLong and ErrNoMemory are from the reader.
func ReadAll(reader io.Reader, content Content, take func(bytes int64) bool) ([]byte, error) {
	if content.Stated > content.Limit {
		return nil, ErrTooLong
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size, grown := int64(cap(buffer)), content.nextSize(int64(cap(buffer)))
			if !take(max(grown, content.Free) - max(size, content.Free)) {
				return nil, ErrNoMemory
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		n, err := reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > content.Limit:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextSize returns the size of the buffer that follows one of the given size. One byte beyond the stated length leaves room to see the
// end of the content.
func (c Content) nextSize(size int64) int64 {
	next := max(firstBufferBytes, 2*size)
	if c.Stated >= size {
		next = min(next, c.Stated+1)
	}
	return next
}
