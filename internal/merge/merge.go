// Package merge combines the hits of shards into one sorted list. It is pure: no I/O, clock or goroutines.
package merge

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Compare orders hits from best to worst. Ties are broken by index and document ID, so that the result does not depend
// on the order in which replies arrive.
func Compare(a, b model.Hit) int { return compare(&a, &b) }

func compare(a, b *model.Hit) int {
	if a.Score != b.Score {
		return cmp.Compare(b.Score, a.Score)
	}
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.ID, b.ID))
}

// Top returns the best limit hits of the lists. After one pass that checks their order, merging sorted lists takes
// O(lists + limit log lists) time. A list that a target sent unsorted is copied and sorted first.
func Top(lists [][]model.Hit, limit int) []model.Hit {
	remaining := make(listHeap, 0, len(lists))
	total := 0
	for _, list := range lists {
		if len(list) > 0 {
			remaining = append(remaining, ensureSorted(list))
			total += len(list)
		}
	}
	heap.Init(&remaining)
	result := make([]model.Hit, 0, min(limit, total))
	for len(result) < limit && len(remaining) > 0 {
		result = append(result, remaining[0][0])
		remaining.popHit()
	}
	return result
}

// ensureSorted returns the list itself if it is sorted, otherwise a sorted copy.
func ensureSorted(list []model.Hit) []model.Hit {
	for i := 1; i < len(list); i++ {
		if compare(&list[i-1], &list[i]) > 0 {
			sorted := slices.Clone(list)
			slices.SortFunc(sorted, Compare)
			return sorted
		}
	}
	return list
}

// listHeap is a heap of the unmerged rest of each list. The list with the best next hit comes first.
type listHeap [][]model.Hit

func (h listHeap) Len() int           { return len(h) }
func (h listHeap) Less(i, j int) bool { return compare(&h[i][0], &h[j][0]) < 0 }
func (h listHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *listHeap) Push(x any)        { *h = append(*h, x.([]model.Hit)) }

func (h *listHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// popHit removes the best hit.
func (h *listHeap) popHit() {
	(*h)[0] = (*h)[0][1:]
	if len((*h)[0]) == 0 {
		heap.Pop(h)
		return
	}
	heap.Fix(h, 0)
}
