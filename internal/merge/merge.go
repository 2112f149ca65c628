// Package merge combines the hits of shards into one ordered list. It is pure.
package merge

import (
	"cmp"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Compare orders hits from best to worst. Ties are broken by index and document id, so the order of arrival does not
// show in the result.
func Compare(a, b model.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Index, b.Index), cmp.Compare(a.ID, b.ID))
}

// Top returns the best limit hits of the lists.
func Top(lists [][]model.Hit, limit int) []model.Hit {
	merged := slices.Concat(lists...)
	slices.SortFunc(merged, Compare)
	return merged[:min(limit, len(merged))]
}
