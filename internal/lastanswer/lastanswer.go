// Package lastanswer closes callers' connections after an answer while a host stops, so that no caller sends a request over a
// connection that the host is about to close.
package lastanswer

import "net/http"

// Writer returns a writer that closes the connection after an answer which is written while isStopping holds.
func Writer(w http.ResponseWriter, isStopping func() bool) http.ResponseWriter {
	return &closing{ResponseWriter: w, isStopping: isStopping}
}

type closing struct {
	http.ResponseWriter
	isStopping func() bool
}

// WriteHeader implements http.ResponseWriter.
func (c *closing) WriteHeader(status int) {
	if c.isStopping() {
		c.Header().Set("Connection", "close")
	}
	c.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the connection.
func (c *closing) Unwrap() http.ResponseWriter { return c.ResponseWriter }
