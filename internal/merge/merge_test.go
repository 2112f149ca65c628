package merge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// TestTopIgnoresArrivalOrder guards against results that depend on the order of replies or omit a better hit.
func TestTopIgnoresArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "shards")
		lists := make([][]model.Hit, count)
		for i := range lists {
			for j := range rapid.IntRange(0, 6).Draw(t, "hits") {
				score := float64(rapid.IntRange(0, 3).Draw(t, "score"))
				lists[i] = append(lists[i], model.Hit{Index: "parts", ID: fmt.Sprintf("%d-%d", i, j), Score: score})
			}
		}
		sorted := slices.Concat(lists...)
		slices.SortFunc(sorted, Compare)
		want := append([]model.Hit{}, sorted[:min(10, len(sorted))]...)
		require.Equal(t, want, Top(lists, 10))
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		rng.Shuffle(count, func(i, j int) { lists[i], lists[j] = lists[j], lists[i] })
		require.Equal(t, want, Top(lists, 10))
	})
}
