package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	minimumKeyLength = 16
	// MaxFrameBytes bounds the authentication code and the envelope of one frame.
	MaxFrameBytes = 1 << 20
	lengthBytes   = 4
	macBytes      = 16
	// maxKeys is two so that a key can be rotated: the new one signs while the old one still verifies.
	maxKeys = 2
)

// Kinds that the transport uses itself.
const (
	kindReply  Kind = "reply"
	kindFailed Kind = "failed"
	kindPing   Kind = "ping"
	kindPong   Kind = "pong"
	// kindOlder answers a frame of an older incarnation. Its body is the newest incarnation known of the sender.
	kindOlder Kind = "older"
)

var (
	errTooLong      = errors.New("peer: frame is longer than 1 MiB; split the message")
	errAuthenticate = errors.New("peer: frame fails authentication; check that both hosts have the same fleet key")
	errShort        = errors.New("peer: frame is shorter than its authentication code")
	errEnvelope     = errors.New("peer: envelope is not valid msgpack")
	errNoKeys       = errors.New("peer: 1 or 2 fleet keys are needed")
	errKeyTooShort  = errors.New("peer: a fleet key needs at least 16 bytes")
)

// envelope is what a frame carries. A reply has the sequence of its request.
type envelope struct {
	From        model.HostID
	Incarnation model.Incarnation
	Seq         uint64
	Kind        Kind
	Body        msgpack.RawMessage
}

// codec seals and opens frames. It is safe for concurrent use.
type codec struct {
	pools []*sync.Pool // one per key; the first signs
}

func newCodec(keys [][]byte) (*codec, error) {
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, errNoKeys
	}
	c := &codec{}
	for _, key := range keys {
		if len(key) < minimumKeyLength {
			return nil, errKeyTooShort
		}
		c.pools = append(c.pools, &sync.Pool{New: func() any { return hmac.New(sha256.New, key) }})
	}
	return c, nil
}

// Marshal returns the encoding of a body. Structs are arrays of their fields, because field names would double the size of
// a small frame. So a field may only be added at the end of a struct; a receiver that does not know it ignores it.
func Marshal(body any) ([]byte, error) {
	var buffer bytes.Buffer
	err := encodeTo(&buffer, body)
	return buffer.Bytes(), err
}

func encodeTo(buffer *bytes.Buffer, value any) error {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	return encoder.Encode(value)
}

// seal returns the bytes of a frame.
func (c *codec) seal(e envelope) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, lengthBytes+macBytes))
	if err := encodeTo(&buffer, &e); err != nil {
		return nil, fmt.Errorf("peer: frame of kind %s: %w", e.Kind, err)
	}
	frame := buffer.Bytes()
	length := len(frame) - lengthBytes
	if length > MaxFrameBytes {
		return nil, errTooLong
	}
	binary.BigEndian.PutUint32(frame, uint32(length))
	copy(frame[lengthBytes:], c.mac(0, frame[lengthBytes+macBytes:]))
	return frame, nil
}

// open authenticates the bytes after the length and returns the envelope.
func (c *codec) open(frame []byte) (envelope, error) {
	if len(frame) < macBytes {
		return envelope{}, errShort
	}
	code, payload := frame[:macBytes], frame[macBytes:]
	if !c.authentic(code, payload) {
		return envelope{}, errAuthenticate
	}
	var e envelope
	if err := msgpack.Unmarshal(payload, &e); err != nil {
		return envelope{}, fmt.Errorf("%w: %w", errEnvelope, err)
	}
	return e, nil
}

func (c *codec) authentic(code, payload []byte) bool {
	for key := range c.pools {
		if hmac.Equal(code, c.mac(key, payload)) {
			return true
		}
	}
	return false
}

func (c *codec) mac(key int, payload []byte) []byte {
	h := c.pools[key].Get().(hash.Hash)
	defer c.pools[key].Put(h)
	h.Reset()
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

// readFrame returns the bytes after the length.
func readFrame(r io.Reader) ([]byte, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return nil, errTooLong
	}
	frame := make([]byte, length)
	_, err := io.ReadFull(r, frame)
	return frame, err
}
