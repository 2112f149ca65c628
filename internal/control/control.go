// Package control drives configuration, membership and rumors of one host: it moves their messages over the peer
// transport, the store and the host list.
package control

import (
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
)

// FleetTable lists the hosts that own shares. Every host with the same generation holds the same table.
type FleetTable struct {
	Generation uint64
	Hosts      []FleetHost
}

// FleetHost is one share-owning host.
type FleetHost struct {
	ID         model.HostID
	Address    string
	DataCentre model.DataCentreID
	Region     model.RegionID
}

// View is what the other subsystems see of the hosts acting together. Implementations are safe for concurrent use.
type View interface {
	// Catalogue returns the configuration in force, or nil before the first. It must not be changed.
	Catalogue() *model.Catalogue
	// Fenced tells whether this host may be cut off from accepted changes and has to refuse new work.
	Fenced() bool
	// Members returns the known members that are not dead, this host included.
	Members() []membership.Member
	// FleetTable returns the share-owning hosts.
	FleetTable() FleetTable
	// Publish spreads a notice to all hosts.
	Publish(notice rumor.Notice)
	// Subscribe registers a receiver of a topic's notices. It is called before the control loop starts. The receiver
	// must return at once.
	Subscribe(topic rumor.Topic, receive func(rumor.Notice))
}
