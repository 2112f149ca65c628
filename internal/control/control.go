// Package control runs the control plane of one host: configuration replication, membership and gossip. It exchanges
// their messages over the peer transport and reads the configuration store and the platform's host list.
package control

import (
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
)

// FleetTable lists the hosts that own shares. Hosts with the same generation hold the same table.
type FleetTable struct {
	Generation uint64
	Hosts      []FleetHost
}

// FleetHost is a host that owns shares.
type FleetHost struct {
	ID         model.HostID
	Address    string
	DataCentre model.DataCentreID
	Region     model.RegionID
}

// View exposes the control plane to the other subsystems. Implementations are safe for concurrent use.
type View interface {
	// Catalogue returns the active configuration, or nil before the first one is applied. The result must not be
	// modified.
	Catalogue() *model.Catalogue
	// Fenced reports whether this host may have missed accepted changes, for example behind a network partition, and
	// must therefore refuse new work.
	Fenced() bool
	// Members returns the known members that are not dead, including this host.
	Members() []membership.Member
	// FleetTable returns the hosts that own shares.
	FleetTable() FleetTable
	// Publish broadcasts a notice to all hosts.
	Publish(notice rumor.Notice)
	// Subscribe registers a callback for the notices of a topic. It must be called before the control loop starts,
	// and the callback must not block.
	Subscribe(topic rumor.Topic, receive func(rumor.Notice))
}
