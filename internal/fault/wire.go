package fault

import (
	"encoding/json"
	"errors"
	"fmt"
)

var (
	// ErrExecution means that an error body has no valid execution state.
	ErrExecution = errors.New(`fault: execution must be "not_run", "outcome_unknown" or "ran"`)
	// ErrNoError means that a body contains no error.
	ErrNoError = errors.New("fault: the body contains no error")
)

// Valid reports whether e is one of the defined execution states.
func (e Execution) Valid() bool { return e == NotRun || e == OutcomeUnknown || e == Ran }

// wireError has the fields of Error but not its methods, so that encoding it doesn't recurse.
type wireError Error

// MarshalJSON implements json.Marshaler. An error without a valid execution state is encoded with outcome_unknown, because
// a missing state must never be interpreted as not_run.
func (e *Error) MarshalJSON() ([]byte, error) {
	sent := wireError(*e)
	if !sent.Execution.Valid() {
		sent.Execution = OutcomeUnknown
	}
	return json.Marshal(sent)
}

// UnmarshalJSON implements json.Unmarshaler. It rejects a missing, empty or unknown execution state.
func (e *Error) UnmarshalJSON(body []byte) error {
	var received wireError
	if err := json.Unmarshal(body, &received); err != nil {
		return err
	}
	if !received.Execution.Valid() {
		return fmt.Errorf("%w, not %q", ErrExecution, received.Execution)
	}
	*e = Error(received)
	return nil
}

// Body is the JSON body of an error response.
type Body struct {
	Error *Error `json:"error"`
}

// Decode decodes the body of an error response. It returns an error if the execution state is missing, empty or unknown.
func Decode(body []byte) (*Error, error) {
	var received Body
	if err := json.Unmarshal(body, &received); err != nil {
		return nil, err
	}
	if received.Error == nil {
		return nil, ErrNoError
	}
	return received.Error, nil
}
