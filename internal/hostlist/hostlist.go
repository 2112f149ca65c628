// Package hostlist is the port to the platform's list of hosts. The list lags behind the truth.
package hostlist

import (
	"context"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// State is the state of a host in the list.
type State string

// The states of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Record is one host of the list.
type Record struct {
	ID         model.HostID       `json:"id"`
	Address    string             `json:"address"`
	DataCentre model.DataCentreID `json:"data_centre"`
	State      State              `json:"state"`
}

// HostList is the platform's list of hosts. Implementations are safe for concurrent use.
type HostList interface {
	// Hosts returns the current list. It fails when the platform can't be reached; the caller keeps its last list.
	Hosts(ctx context.Context) ([]Record, error)
}
