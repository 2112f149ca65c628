package coverage

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// TestCheckRejectsInconsistentCoverage guards against a Check that accepts a coverage whose numbers do not follow from
// its missing parts.
func TestCheckRejectsInconsistentCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ends := rapid.SliceOfNDistinct(rapid.Uint32Range(1, model.KeySpace), 1, 6, rapid.ID).Draw(t, "ends")
		var parts []Part
		for i, end := range ends {
			shard := model.Shard{ID: model.ShardID(rune('a' + i)), KeyRange: model.KeyRange{High: end}}
			parts = append(parts, Part{Index: "x", Shard: shard})
		}
		answered := rapid.SliceOfN(rapid.Bool(), len(parts), len(parts)).Draw(t, "answered")
		c := Compute(parts, func(i int) bool { return answered[i] })
		require.NoError(t, c.Check(parts))
		require.Equal(t, c.Fraction == 1, len(c.Missing) == 0)
		overstated := c
		overstated.Fraction += 0.01
		require.Error(t, overstated.Check(parts))
		if len(c.Missing) > 0 {
			hidden := c
			hidden.Missing = c.Missing[1:]
			require.Error(t, hidden.Check(parts))
			doubled := c
			doubled.Missing = append([]Part{c.Missing[0]}, c.Missing...)
			require.Error(t, doubled.Check(parts))
		}
	})
}
