// Package inventory stores the most recent status report of each target. Reports may be outdated, so they are only hints.
package inventory

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Inventory stores the most recent status report of each target. It is safe for concurrent use.
type Inventory struct {
	mu       sync.RWMutex
	reports  map[model.TargetID]model.TargetStatus
	revision atomic.Uint64
}

// New returns an empty inventory.
func New() *Inventory {
	return &Inventory{reports: map[model.TargetID]model.TargetStatus{}}
}

// Put stores a report. It ignores reports from older incarnations.
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

// Revision returns a number that increases whenever a report changes the indexes, state or incarnation of a target. Changes
// of load alone don't increase it.
func (v *Inventory) Revision() uint64 { return v.revision.Load() }

func sameLayout(a, b model.TargetStatus) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && slices.EqualFunc(a.Indexes, b.Indexes, sameIndex)
}

func sameIndex(a, b model.IndexStatus) bool {
	return a.Index == b.Index && a.Version == b.Version && slices.Equal(a.ShardMap, b.ShardMap) && slices.Equal(a.Held, b.Held)
}

// Get returns the most recent report of a target.
func (v *Inventory) Get(target model.TargetID) (model.TargetStatus, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	status, ok := v.reports[target]
	return status, ok
}

// All returns the most recent report of every target.
func (v *Inventory) All() map[model.TargetID]model.TargetStatus {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return maps.Clone(v.reports)
}
