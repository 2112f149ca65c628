// Package hostlist defines the interface to the platform's list of hosts. The list is eventually consistent with the
// actual hosts.
package hostlist

import (
	"context"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// State is the listed state of a host.
type State string

// The host states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Record describes a host in the list.
type Record struct {
	ID         model.HostID       `json:"id"`
	Address    string             `json:"address"`
	DataCentre model.DataCentreID `json:"data_centre"`
	State      State              `json:"state"`
}

// HostList is the platform's list of hosts. Implementations are safe for concurrent use.
type HostList interface {
	// Hosts returns the current list. It returns an error if the platform is unreachable, in which case callers continue to
	// use the last list.
	Hosts(ctx context.Context) ([]Record, error)
}
