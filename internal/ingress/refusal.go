package ingress

import (
	"bytes"
	"io"
	"net/http"
)

// Refusal is the answer to a request whose head was not read to its end.
type Refusal struct {
	Status int
	Header http.Header
	Body   []byte
}

// encode returns the bytes of the answer, which announce the end of the connection.
func (r *Refusal) encode() []byte {
	response := http.Response{
		StatusCode: r.Status, ProtoMajor: 1, ProtoMinor: 1, Header: r.Header, Close: true,
		ContentLength: int64(len(r.Body)), Body: io.NopCloser(bytes.NewReader(r.Body)),
	}
	var encoded bytes.Buffer
	_ = response.Write(&encoded) // a bytes.Buffer never fails
	return encoded.Bytes()
}
