// Package inventory keeps the last known report of each target. Reports lag, so they are hints.
package inventory

import (
	"maps"
	"sync"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Inventory holds the last report of each target. It is safe for concurrent use.
type Inventory struct {
	mu      sync.RWMutex
	reports map[model.TargetID]model.TargetStatus
}

// New returns an empty inventory.
func New() *Inventory {
	return &Inventory{reports: map[model.TargetID]model.TargetStatus{}}
}

// Put stores a report. A report of an older incarnation is ignored.
func (v *Inventory) Put(status model.TargetStatus) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reports[status.Target].Incarnation > status.Incarnation {
		return
	}
	v.reports[status.Target] = status
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
