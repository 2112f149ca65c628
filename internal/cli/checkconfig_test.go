package cli

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against taking a catalogue for settings or the reverse, which would call every field unknown.
func TestCheckDocumentDetectsTheKind(t *testing.T) {
	for content, want := range map[string]string{
		`{"host_id":"h1","colour":1}`:  kindSettings,
		`{"callers":[],"colour":1}`:    kindCatalogue,
		`{"colour":1}`:                 kindUnknown,
		`{"generation":1,"targets":[{`: kindUnknown,
	} {
		kind, faults := checkDocument([]byte(content), false)
		require.Equal(t, want, kind, content)
		require.NotEmpty(t, faults, content)
	}
}

// Guards against a catalogue field that is spelled wrong deep inside and is silently ignored.
func TestCheckDocumentFindsNestedUnknownFields(t *testing.T) {
	_, faults := checkDocument([]byte(`{"callers":[{"id":"c","rat":5,"owner":"o","class":"batch","in_flight":1,"cost":1}]}`), false)
	require.Equal(t, "$.callers[0].rat", faults[0].Path)
	require.Contains(t, faults.Error(), "$.callers[0].rate:", "the values of the same document are checked as well")
}
