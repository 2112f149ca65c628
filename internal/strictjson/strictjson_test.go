package strictjson

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type inner struct {
	Rate float64 `json:"rate"`
	Name string  `json:"name"`
}

type outer struct {
	ID    uint64  `json:"id"`
	Items []inner `json:"items"`
}

// TestDecodeReportsEveryFault guards against reporting only the first of several faults or a wrong path.
func TestDecodeReportsEveryFault(t *testing.T) {
	content := `{"id":-1,"items":[{"rate":"fast","name":3},{"rte":2}],"colour":"red"}`
	var paths []string
	for _, fault := range Decode([]byte(content), &outer{}) {
		paths = append(paths, fault.Path)
		require.NotEmpty(t, fault.Value)
		require.NotEmpty(t, fault.Allowed)
		require.NotEmpty(t, fault.Remedy)
	}
	require.Equal(t, []string{"$.colour", "$.id", "$.items[0].name", "$.items[0].rate", "$.items[1].rte"}, paths)
}

// TestDecodeRefusesBrokenDocuments guards against accepting malformed JSON or trailing data after the document.
func TestDecodeRefusesBrokenDocuments(t *testing.T) {
	for _, content := range []string{``, `{`, `{} {}`, `[]`, "{\n\"id\":1,}"} {
		require.Len(t, Decode([]byte(content), &outer{}), 1, content)
	}
	var value outer
	require.Empty(t, Decode([]byte(`{"id":7,"items":[{"rate":1.5}]}`), &value))
	require.Equal(t, outer{ID: 7, Items: []inner{{Rate: 1.5}}}, value)
}
