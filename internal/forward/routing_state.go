package forward

import (
	"sync"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/relay"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// RoutingState is a configuration together with the registered targets. It is immutable except for a cache.
type RoutingState struct {
	Table *routing.Table
	// Fleet describes the hosts among which fleet-wide budgets are divided.
	Fleet relay.Fleet

	registered map[model.TargetID]registry.Target
	eligible   map[model.ServiceID][]model.TargetID
	routes     map[string]bool
	snapshots  sync.Map // caches the snapshots of routes with shards: *routing.Route to snapshot.Snapshot
}

// NewRoutingState returns the state of a routing table and the registered targets. Draining targets and targets whose
// data centre is out are not eligible.
func NewRoutingState(table *routing.Table, targets []registry.Target, out map[model.DataCentreID]bool, fleet relay.Fleet) *RoutingState {
	rs := &RoutingState{
		Table:      table,
		Fleet:      fleet,
		registered: make(map[model.TargetID]registry.Target, len(targets)),
		eligible:   map[model.ServiceID][]model.TargetID{},
		routes:     make(map[string]bool, len(table.Routes)),
	}
	for _, t := range targets {
		rs.registered[t.Target] = t
		if !t.Draining && !out[t.DataCentre] {
			rs.eligible[t.Service] = append(rs.eligible[t.Service], t.Target)
		}
	}
	for i := range table.Routes {
		rs.routes[table.Routes[i].Name] = true
	}
	return rs
}

// HasRoute reports whether the configuration has a route of that name.
func (rs *RoutingState) HasRoute(name string) bool { return rs.routes[name] }

// IsRegistered reports whether the target is registered, even if it is not eligible.
func (rs *RoutingState) IsRegistered(id model.TargetID) bool {
	_, ok := rs.registered[id]
	return ok
}

// Eligible returns the targets of a service that may receive new requests.
func (rs *RoutingState) Eligible(service model.ServiceID) []model.TargetID {
	return rs.eligible[service]
}

// snapshotOf returns a snapshot with one part for each service. Each part has an equal range of the key space. The
// snapshots of routes with shards are cached.
func (rs *RoutingState) snapshotOf(route *routing.Route, services []model.ServiceID) snapshot.Snapshot {
	if len(route.Shards) > 0 {
		if cached, ok := rs.snapshots.Load(route); ok {
			return cached.(snapshot.Snapshot)
		}
	}
	s := snapshot.Snapshot{Parts: make([]snapshot.Part, len(services))}
	count := uint32(len(services))
	for i, service := range services {
		keys := model.KeyRange{Low: model.KeySpace / count * uint32(i), High: model.KeySpace / count * uint32(i+1)}
		s.Parts[i] = snapshot.Part{
			Part:     coverage.Part{Shard: model.Shard{ID: model.ShardID(service), KeyRange: keys}},
			Version:  model.Version(rs.Table.Generation),
			Replicas: rs.eligible[service],
		}
	}
	if len(route.Shards) > 0 {
		rs.snapshots.Store(route, s)
	}
	return s
}
