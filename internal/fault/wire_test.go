package fault

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExecutionHasNoDefault guards against an absent state that a reader takes for "not run".
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
	require.Equal(t, OutcomeUnknown, received.Execution, "an error without a state must not say that nothing ran")
}
