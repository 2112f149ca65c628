// Package merge combines the hits of shards into one ordered list. It is pure.
package merge

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Compare orders hits from best to worst. Ties are broken by index and document id, so the order of arrival does not
// show in the result.
func Compare(a, b model.Hit) int { return compare(&a, &b) }

func compare(a, b *model.Hit) int {
	if a.Score != b.Score {
		return cmp.Compare(b.Score, a.Score)
	}
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.ID, b.ID))
}

// Top returns the best limit hits of the lists. Sorted lists cost O(lists + limit log lists) after one check of their
// order; a list that a target sent unsorted is sorted in a copy.
func Top(lists [][]model.Hit, limit int) []model.Hit {
	heads := make(headHeap, 0, len(lists))
	total := 0
	for _, list := range lists {
		if len(list) > 0 {
			heads = append(heads, ordered(list))
			total += len(list)
		}
	}
	heap.Init(&heads)
	result := make([]model.Hit, 0, min(limit, total))
	for len(result) < limit && len(heads) > 0 {
		result = append(result, heads[0][0])
		heads.advance()
	}
	return result
}

func ordered(list []model.Hit) []model.Hit {
	for i := 1; i < len(list); i++ {
		if compare(&list[i-1], &list[i]) > 0 {
			sorted := slices.Clone(list)
			slices.SortFunc(sorted, Compare)
			return sorted
		}
	}
	return list
}

// headHeap holds the rest of each list, the list with the best next hit first.
type headHeap [][]model.Hit

func (h headHeap) Len() int           { return len(h) }
func (h headHeap) Less(i, j int) bool { return compare(&h[i][0], &h[j][0]) < 0 }
func (h headHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *headHeap) Push(x any)        { *h = append(*h, x.([]model.Hit)) }

func (h *headHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// advance drops the best hit.
func (h *headHeap) advance() {
	(*h)[0] = (*h)[0][1:]
	if len((*h)[0]) == 0 {
		heap.Pop(h)
		return
	}
	heap.Fix(h, 0)
}
