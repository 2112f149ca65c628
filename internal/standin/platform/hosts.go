package platform

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/hostlist"
)

var errHostListDown = errors.New("host list stand-in is down on request")

// HostList is an in-memory host list. With a lag, readers see changes only after a delay.
type HostList struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	changes []hostChange
}

type hostChange struct {
	at      time.Time
	records []hostlist.Record
}

// NewHostList returns a list with the given records.
func NewHostList(records []hostlist.Record) *HostList {
	return &HostList{changes: []hostChange{{records: slices.Clone(records)}}}
}

// SetLag sets the delay after which readers see a change.
func (h *HostList) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

// SetDown makes reads fail until it is called with false.
func (h *HostList) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// Set replaces the list. Readers see it after the lag.
func (h *HostList) Set(records []hostlist.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, hostChange{at: time.Now(), records: slices.Clone(records)})
}

// Hosts implements hostlist.HostList.
func (h *HostList) Hosts(ctx context.Context) ([]hostlist.Record, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, errHostListDown
	}
	visible := time.Now().Add(-h.lag)
	for i := len(h.changes) - 1; i > 0; i-- {
		if !h.changes[i].at.After(visible) {
			return slices.Clone(h.changes[i].records), nil
		}
	}
	return slices.Clone(h.changes[0].records), nil
}
