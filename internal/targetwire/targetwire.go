// Package targetwire defines the paths, headers and message bodies of the HTTP protocol between hosts and targets.
package targetwire

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

// HeaderChecksum is the header with the checksum of the body.
const HeaderChecksum = "X-Body-Checksum"

// Error codes of the target protocol.
const (
	CodeVersionGone = "version_gone"
	CodeShed        = "shed"
	CodeDraining    = "draining"
	CodeCancelled   = "cancelled"
	CodeDeadline    = "deadline"
)

// Error is the body of an error response. It echoes the attempt ID, so that a response to another attempt is not mistaken
// for a refusal.
type Error struct {
	Code    string `json:"code"`
	Attempt string `json:"attempt"`
}

// Cancel is the body of a cancellation request.
type Cancel struct {
	Attempt string `json:"attempt"`
}

// Checksum returns the checksum of a body, formatted for HeaderChecksum.
func Checksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
