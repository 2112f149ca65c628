package peer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkFrame encodes and decodes one small frame, which is the transport's per-frame CPU cost on both ends
// combined.
func BenchmarkFrame(b *testing.B) {
	c, err := newCodec([][]byte{bytes.Repeat([]byte("k"), 32)})
	require.NoError(b, err)
	body, err := Marshal(struct{ A, B uint64 }{1, 2})
	require.NoError(b, err)
	e := envelope{From: "host-00001", Incarnation: 1 << 60, Seq: 77, Kind: "pull", Body: body}
	for b.Loop() {
		frame, err := c.encode(e)
		require.NoError(b, err)
		_, err = c.decode(frame[lengthBytes:])
		require.NoError(b, err)
	}
}
