// Package membership keeps the list of hosts by probing. It is a pure state machine.
package membership

import "github.com/knapweedrouter/knapweedrouter/internal/model"

// State is the state of a member as this host sees it.
type State string

// The states of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Member is one run of one host.
type Member struct {
	ID          model.HostID       `msgpack:"id" json:"id"`
	Incarnation model.Incarnation  `msgpack:"incarnation" json:"incarnation"`
	Address     string             `msgpack:"address" json:"address"` // IP:port of the peer listener
	DataCentre  model.DataCentreID `msgpack:"data_centre" json:"data_centre"`
	Region      model.RegionID     `msgpack:"region" json:"region"`
	State       State              `msgpack:"state" json:"state"`
	// Sequence orders the statements about one incarnation.
	Sequence uint64 `msgpack:"sequence" json:"sequence"`
}
