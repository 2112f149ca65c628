package fault

import (
	"encoding/json"
	"errors"
	"fmt"
)

var (
	// ErrExecution means that an error body does not state one of the execution states.
	ErrExecution = errors.New(`fault: execution must be "not_run", "outcome_unknown" or "ran"`)
	// ErrNoError means that a body holds no error.
	ErrNoError = errors.New("fault: the body holds no error")
)

// Valid tells whether the state is one of the three.
func (e Execution) Valid() bool { return e == NotRun || e == OutcomeUnknown || e == Ran }

// wireError has the fields of Error without its methods.
type wireError Error

// MarshalJSON returns the wire form. An error without a valid execution state is sent as "outcome unknown", because an
// absent state must never be read as "not run".
func (e *Error) MarshalJSON() ([]byte, error) {
	sent := wireError(*e)
	if !sent.Execution.Valid() {
		sent.Execution = OutcomeUnknown
	}
	return json.Marshal(sent)
}

// UnmarshalJSON reads the wire form. It refuses an absent, empty or unknown execution state.
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

// Body is the form of a refusal on the wire.
type Body struct {
	Error *Error `json:"error"`
}

// Decode reads the body of a refusal. An absent, empty or unknown execution state is an error, not a default.
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
