// Package lastanswer closes HTTP connections after the next response during shutdown, so that callers do not send requests
// on connections that the host is about to close.
package lastanswer

import "net/http"

// NewWriter returns a response writer that closes the connection after a response if isStopping returns true when the
// header is written.
func NewWriter(w http.ResponseWriter, isStopping func() bool) http.ResponseWriter {
	return &closingWriter{ResponseWriter: w, isStopping: isStopping}
}

type closingWriter struct {
	http.ResponseWriter
	isStopping func() bool
}

// WriteHeader implements http.ResponseWriter.
func (c *closingWriter) WriteHeader(status int) {
	if c.isStopping() {
		c.Header().Set("Connection", "close")
	}
	c.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (c *closingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
