package cli

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheckDocumentDetectsTheKind guards against confusing catalogues and settings, which would report every field as
// unknown.
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

// TestCheckDocumentFindsNestedUnknownFields guards against silently ignoring a misspelled nested field of a catalogue.
func TestCheckDocumentFindsNestedUnknownFields(t *testing.T) {
	_, faults := checkDocument([]byte(`{"callers":[{"id":"c","rat":5,"owner":"o","class":"batch","in_flight":1,"cost":1}]}`), false)
	require.Equal(t, "$.callers[0].rat", faults[0].Path)
	require.Contains(t, faults.Error(), "$.callers[0].rate:", "values must be checked even if there are unknown fields")
}
