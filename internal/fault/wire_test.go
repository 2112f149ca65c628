package fault

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against interpreting a missing execution state as not_run.
func TestExecutionHasNoDefault(t *testing.T) {
	for _, body := range []string{
		`{"error":{"kind":"overloaded"}}`, `{"error":{"kind":"overloaded","execution":""}}`,
		`{"error":{"kind":"overloaded","execution":"maybe"}}`, `{"error":{"kind":"overloaded","execution":null}}`,
	} {
		_, err := Decode([]byte(body))
		require.ErrorIs(t, err, ErrExecution, body)
	}
	_, err := Decode([]byte(`{}`))
	require.ErrorIs(t, err, ErrNoError)

	sent, err := json.Marshal(Body{Error: &Error{Kind: Overloaded}})
	require.NoError(t, err)
	received, err := Decode(sent)
	require.NoError(t, err)
	require.Equal(t, OutcomeUnknown, received.Execution, "an error without an execution state must not be sent as not_run")
}
