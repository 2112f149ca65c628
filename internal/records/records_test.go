package records

import (
	"bytes"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// naiveTop is a reference implementation that sorts all records as strings.
func naiveTop(parts [][]byte, limit int) []byte {
	var all []string
	for _, part := range parts {
		for i := 0; i+Size <= len(part); i += Size {
			all = append(all, string(part[i:i+Size]))
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(all)))
	var out bytes.Buffer
	for _, record := range all[:min(limit, len(all))] {
		out.WriteString(record)
	}
	return out.Bytes()
}

// TestTopAgreesWithANaiveMerge guards against lost, duplicated or misplaced records, including equal records and trailing
// partial records.
func TestTopAgreesWithANaiveMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 255}), 0, 70)
		parts := rapid.SliceOfN(part, 0, 6).Draw(t, "parts")
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		require.True(t, bytes.Equal(naiveTop(parts, limit), Top(parts, limit)))
	})
}
