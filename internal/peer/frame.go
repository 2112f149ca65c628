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
	minKeyBytes = 16
	// MaxFrameBytes bounds the size of a frame's authentication code and envelope together. The largest value of the store, 1 MiB,
	// fits beside half as much of anything else.
	MaxFrameBytes = 3 << 19
	lengthBytes   = 4
	macBytes      = 16
	// maxKeys is two to support key rotation: the new key signs while the old key still verifies.
	maxKeys = 2
)

// Kinds used by the transport itself.
const (
	kindReply  Kind = "reply"
	kindFailed Kind = "failed"
	kindPing   Kind = "ping"
	kindPong   Kind = "pong"
	// kindBusy refuses a call that the receiver has not handled, because it handles too many.
	kindBusy Kind = "busy"
	// kindOlderIncarnation rejects a frame from an older incarnation. Its body is the newest known incarnation of the
	// sender.
	kindOlderIncarnation Kind = "older"
)

var (
	errFrameTooLong   = errors.New("peer: frame exceeds 1.5 MiB; split the message")
	errAuthentication = errors.New("peer: frame authentication failed; check that both hosts have the same fleet key")
	errFrameTooShort  = errors.New("peer: frame is shorter than its authentication code")
	errEnvelope       = errors.New("peer: invalid msgpack in the envelope")
	errNoKeys         = errors.New("peer: configure 1 or 2 fleet keys")
	errKeyTooShort    = errors.New("peer: a fleet key must have at least 16 bytes")
)

// envelope is the content of a frame. A reply has the sequence number of its request.
type envelope struct {
	From        model.HostID
	Incarnation model.Incarnation
	Seq         uint64
	Kind        Kind
	Body        msgpack.RawMessage
}

// codec encodes, authenticates and decodes frames. It is safe for concurrent use.
type codec struct {
	macPools []*sync.Pool // one per key; the first key signs
}

func newCodec(keys [][]byte) (*codec, error) {
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, errNoKeys
	}
	c := &codec{}
	for _, key := range keys {
		if len(key) < minKeyBytes {
			return nil, errKeyTooShort
		}
		c.macPools = append(c.macPools, &sync.Pool{New: func() any { return hmac.New(sha256.New, key) }})
	}
	return c, nil
}

// Marshal encodes a body. Structs are encoded as arrays of their fields, because field names would double the size of
// a small frame. Therefore new fields may only be added at the end of a struct; receivers ignore trailing fields that
// they do not know.
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

// encode returns the frame of an envelope, with length and authentication code.
func (c *codec) encode(e envelope) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, lengthBytes+macBytes))
	if err := encodeTo(&buffer, &e); err != nil {
		return nil, fmt.Errorf("peer: encode frame of kind %s: %w", e.Kind, err)
	}
	frame := buffer.Bytes()
	length := len(frame) - lengthBytes
	if length > MaxFrameBytes {
		return nil, errFrameTooLong
	}
	binary.BigEndian.PutUint32(frame, uint32(length))
	copy(frame[lengthBytes:], c.computeMAC(0, frame[lengthBytes+macBytes:]))
	return frame, nil
}

// decode authenticates a frame without its length prefix and returns the envelope.
func (c *codec) decode(frame []byte) (envelope, error) {
	if len(frame) < macBytes {
		return envelope{}, errFrameTooShort
	}
	code, payload := frame[:macBytes], frame[macBytes:]
	if !c.verifyMAC(code, payload) {
		return envelope{}, errAuthentication
	}
	var e envelope
	if err := msgpack.Unmarshal(payload, &e); err != nil {
		return envelope{}, fmt.Errorf("%w: %w", errEnvelope, err)
	}
	return e, nil
}

func (c *codec) verifyMAC(code, payload []byte) bool {
	for key := range c.macPools {
		if hmac.Equal(code, c.computeMAC(key, payload)) {
			return true
		}
	}
	return false
}

func (c *codec) computeMAC(key int, payload []byte) []byte {
	h := c.macPools[key].Get().(hash.Hash)
	defer c.macPools[key].Put(h)
	h.Reset()
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

// readFrame reads a frame and returns it without its length prefix.
func readFrame(r io.Reader) ([]byte, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return nil, errFrameTooLong
	}
	frame := make([]byte, length)
	_, err := io.ReadFull(r, frame)
	return frame, err
}
