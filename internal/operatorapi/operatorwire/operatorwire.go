// Package operatorwire holds what the operator listener and its clients share: paths, bodies and the form of errors.
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
	// Force accepts a change although the remaining capacity can't carry the present load, or a host is not known.
	Force bool `json:"force"`
	// Repeat tells that the change was sent before and may have been accepted.
	Repeat bool `json:"repeat"`
}

// ChangeReply is the answer to an accepted change.
type ChangeReply struct {
	ChangeID   string           `json:"change_id"`
	Generation model.Generation `json:"generation"`
}

// ErrorReply is the body of a refusal.
type ErrorReply struct {
	Error *fault.Error `json:"error"`
	// Conflict shows both sides of a change that lost a race.
	Conflict *change.Conflict `json:"conflict,omitempty"`
	// Faults are the faults of an invalid catalogue.
	Faults strictjson.Faults `json:"faults,omitempty"`
}

// Read decodes the body of a request. Unknown fields are errors.
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

// Write sends a value as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the client has gone when this fails
}

// WriteError sends an error, with both sides of a conflict and with the faults of an invalid document.
func WriteError(w http.ResponseWriter, err error) {
	reply := ErrorReply{Error: typed(err), Faults: faults(err)}
	errors.As(err, &reply.Conflict)
	if cause := reply.Error.Unwrap(); cause != nil && reply.Conflict == nil && len(reply.Faults) == 0 {
		withCause := *reply.Error
		withCause.Message += ": " + cause.Error()
		reply.Error = &withCause
	}
	Write(w, reply.Error.HTTPStatus(), reply)
}

// typed returns the typed error. A conflict that is not wrapped in one was not accepted.
func typed(err error) *fault.Error {
	var known *fault.Error
	var conflict *change.Conflict
	if !errors.As(err, &known) && errors.As(err, &conflict) {
		return fault.New(fault.Conflict, fault.NotRun,
			"look at both sides, then send a new change based on the current generation", "%s", conflict.Error())
	}
	return fault.As(err)
}

func faults(err error) strictjson.Faults {
	var form strictjson.Faults
	if errors.As(err, &form) {
		return form
	}
	var violations model.Violations
	errors.As(err, &violations)
	return FromViolations(violations)
}

// FromViolations returns the violations of a catalogue in the form of faults of its document.
func FromViolations(violations model.Violations) strictjson.Faults {
	var result strictjson.Faults
	for _, v := range violations {
		result = append(result, strictjson.Fault{Path: v.Path, Value: v.Value, Allowed: v.Allowed, Remedy: v.Remedy})
	}
	return result
}
