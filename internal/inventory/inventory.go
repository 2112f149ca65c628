// Package inventory keeps the last known report of each target. Reports lag, so they are hints.
package inventory

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Inventory holds the last report of each target. It is safe for concurrent use.
type Inventory struct {
	mu       sync.RWMutex
	reports  map[model.TargetID]model.TargetStatus
	revision atomic.Uint64
}

// New returns an empty inventory.
func New() *Inventory {
	return &Inventory{reports: map[model.TargetID]model.TargetStatus{}}
}

// Put stores a report. A report of an older incarnation is ignored.
func (v *Inventory) Put(status model.TargetStatus) {
	v.mu.Lock()
	defer v.mu.Unlock()
	last, known := v.reports[status.Target]
	if last.Incarnation > status.Incarnation {
		return
	}
	v.reports[status.Target] = status
	if !known || !sameLayout(last, status) {
		v.revision.Add(1)
	}
}

// Revision returns a number that grows whenever a report changes what a target holds or the state that it is in. Load
// alone does not change it.
func (v *Inventory) Revision() uint64 { return v.revision.Load() }

func sameLayout(a, b model.TargetStatus) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && slices.EqualFunc(a.Indexes, b.Indexes, sameIndex)
}

func sameIndex(a, b model.IndexStatus) bool {
	return a.Index == b.Index && a.Version == b.Version && slices.Equal(a.ShardMap, b.ShardMap) && slices.Equal(a.Held, b.Held)
}

// Get returns the last report of a target.
func (v *Inventory) Get(target model.TargetID) (model.TargetStatus, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	status, ok := v.reports[target]
	return status, ok
}

// All returns the last report of every target.
func (v *Inventory) All() map[model.TargetID]model.TargetStatus {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return maps.Clone(v.reports)
}
