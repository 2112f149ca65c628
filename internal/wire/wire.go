// Package wire holds what both sides of the target protocol share: paths, headers and error bodies.
package wire

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Paths of the target protocol.
const (
	PathSearch  = "/v1/search"
	PathExecute = "/v1/execute"
	PathCancel  = "/v1/cancel"
	PathStatus  = "/v1/status"
)

// HeaderChecksum carries the checksum of the body.
const HeaderChecksum = "X-Body-Checksum"

// Error codes of the target protocol.
const (
	CodeVersionGone = "version_gone"
	CodeShed        = "shed"
	CodeDraining    = "draining"
	CodeCancelled   = "cancelled"
	CodeDeadline    = "deadline"
)

// Error is the body of an error reply. It echoes the attempt, so that a crossed reply is never taken for a refusal.
type Error struct {
	Code    string `json:"code"`
	Attempt string `json:"attempt"`
}

// Cancel is the body of a cancel request.
type Cancel struct {
	Attempt string `json:"attempt"`
}

// Checksum returns the checksum of a body in the form that the header carries.
func Checksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
