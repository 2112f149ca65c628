// Package membership maintains the list of hosts with a SWIM-style failure detector. It does no I/O and reads no
// clock: the caller passes in time and messages, and sends the messages that are returned.
package membership

import "github.com/knapweedrouter/knapweedrouter/internal/model"

// State is the state of a member as seen by this host.
type State string

// The states of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Member describes one run of a host.
type Member struct {
	ID          model.HostID       `msgpack:"id" json:"id"`
	Incarnation model.Incarnation  `msgpack:"incarnation" json:"incarnation"`
	Address     string             `msgpack:"address" json:"address"` // IP:port of the peer listener
	DataCentre  model.DataCentreID `msgpack:"data_centre" json:"data_centre"`
	Region      model.RegionID     `msgpack:"region" json:"region"`
	State       State              `msgpack:"state" json:"state"`
	// Sequence orders the updates about one incarnation.
	Sequence uint64 `msgpack:"sequence" json:"sequence"`
}
