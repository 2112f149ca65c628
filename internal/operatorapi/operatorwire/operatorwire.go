// Package operatorwire defines the protocol between the operator listener and its clients: paths, message bodies and
// error replies.
package operatorwire

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/strictjson"
)

// Paths of the operator listener.
const (
	PathChanges     = "/v1/changes"
	PathCatalogue   = "/v1/catalogue"
	PathHistory     = "/v1/history"
	PathStatus      = "/v1/configuration/status"
	PathHosts       = "/v1/hosts"
	PathDataCentres = "/v1/data_centres"
	PathExplain     = "/v1/queries"
	PathState       = "/debug/state"
	PathMetrics     = "/metrics"
	PathHealth      = "/healthz"
	PathReady       = "/readyz"
	PathProfiles    = "/debug/pprof/"
)

// ChangeRequest is the body of POST PathChanges.
type ChangeRequest struct {
	change.Change
	// Force accepts a change even if the remaining capacity cannot handle the current load or a host is unknown.
	Force bool `json:"force"`
	// Repeat reports whether the change was sent before and may have been accepted.
	Repeat bool `json:"repeat"`
}

// ChangeReply is the reply to an accepted change.
type ChangeReply struct {
	ChangeID   string           `json:"change_id"`
	Generation model.Generation `json:"generation"`
}

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Error *fault.Error `json:"error"`
	// Conflict holds the rejected change and the changes that were accepted before it.
	Conflict *change.Conflict `json:"conflict,omitempty"`
	// Faults lists the faults of an invalid document.
	Faults strictjson.Faults `json:"faults,omitempty"`
}

// Read decodes a request body of at most maxBytes. Unknown fields are errors.
func Read(w http.ResponseWriter, r *http.Request, maxBytes int64, into any) error {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return fault.Wrap(err, fault.TooLarge, fault.NotRun, "send a smaller body", "the body could not be read")
	}
	if faults := strictjson.Decode(content, into); len(faults) > 0 {
		return fault.Wrap(faults, fault.BadRequest, fault.NotRun, "correct the body", "the body is not valid")
	}
	return nil
}

// Write writes a JSON response.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}

// WriteError writes an error response, including the details of a conflict and the faults of an invalid document.
func WriteError(w http.ResponseWriter, err error) {
	reply := ErrorReply{Error: typedError(err), Faults: documentFaults(err)}
	errors.As(err, &reply.Conflict)
	if cause := reply.Error.Unwrap(); cause != nil && reply.Conflict == nil && len(reply.Faults) == 0 {
		withCause := *reply.Error
		withCause.Message += ": " + cause.Error()
		reply.Error = &withCause
	}
	Write(w, reply.Error.HTTPStatus(), reply)
}

// typedError returns the *fault.Error in err's chain. A conflict without one means that the change was not accepted.
func typedError(err error) *fault.Error {
	var known *fault.Error
	var conflict *change.Conflict
	if !errors.As(err, &known) && errors.As(err, &conflict) {
		return fault.New(fault.Conflict, fault.NotRun,
			"compare both changes, then send a new change based on the current generation", "%s", conflict.Error())
	}
	return fault.As(err)
}

func documentFaults(err error) strictjson.Faults {
	var decodeFaults strictjson.Faults
	if errors.As(err, &decodeFaults) {
		return decodeFaults
	}
	var violations model.Violations
	errors.As(err, &violations)
	return FromViolations(violations)
}

// FromViolations converts the violations of a catalogue to document faults.
func FromViolations(violations model.Violations) strictjson.Faults {
	var result strictjson.Faults
	for _, v := range violations {
		result = append(result, strictjson.Fault{Path: v.Path, Value: v.Value, Allowed: v.Allowed, Remedy: v.Remedy})
	}
	return result
}
