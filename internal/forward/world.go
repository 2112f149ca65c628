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

// World is an immutable set of a configuration and its targets.
type World struct {
	Table *routing.Table
	// Fleet describes the hosts among which fleet-wide budgets are divided.
	Fleet relay.Fleet

	registered map[model.TargetID]registry.Target
	eligible   map[model.ServiceID][]model.TargetID
	routes     map[string]bool
	snapshots  sync.Map // caches the snapshots of routes with shards: *routing.Route to snapshot.Snapshot
}

// NewWorld returns the World of a routing table and the registered targets. Draining targets and targets whose data centre
// is out are not eligible.
func NewWorld(table *routing.Table, targets []registry.Target, out map[model.DataCentreID]bool, fleet relay.Fleet) *World {
	w := &World{
		Table:      table,
		Fleet:      fleet,
		registered: make(map[model.TargetID]registry.Target, len(targets)),
		eligible:   map[model.ServiceID][]model.TargetID{},
		routes:     make(map[string]bool, len(table.Routes)),
	}
	for _, t := range targets {
		w.registered[t.Target] = t
		if !t.Draining && !out[t.DataCentre] {
			w.eligible[t.Service] = append(w.eligible[t.Service], t.Target)
		}
	}
	for i := range table.Routes {
		w.routes[table.Routes[i].Name] = true
	}
	return w
}

func (w *World) hasRoute(name string) bool { return w.routes[name] }

// IsRegistered reports whether the target is registered, even if it is not eligible.
func (w *World) IsRegistered(id model.TargetID) bool {
	_, ok := w.registered[id]
	return ok
}

// Eligible returns the targets of a service that may receive new requests.
func (w *World) Eligible(service model.ServiceID) []model.TargetID { return w.eligible[service] }

// snapshotOf returns a snapshot with one part for each service. Each part has an equal range of the key space.
func (w *World) snapshotOf(route *routing.Route, services []model.ServiceID) snapshot.Snapshot {
	if len(route.Shards) > 0 {
		if known, ok := w.snapshots.Load(route); ok {
			return known.(snapshot.Snapshot)
		}
	}
	s := snapshot.Snapshot{Parts: make([]snapshot.Part, len(services))}
	count := uint32(len(services))
	for i, service := range services {
		keys := model.KeyRange{Low: model.KeySpace / count * uint32(i), High: model.KeySpace / count * uint32(i+1)}
		s.Parts[i] = snapshot.Part{
			Part:     coverage.Part{Shard: model.Shard{ID: model.ShardID(service), KeyRange: keys}},
			Version:  model.Version(w.Table.Generation),
			Replicas: w.eligible[service],
		}
	}
	if len(route.Shards) > 0 {
		w.snapshots.Store(route, s)
	}
	return s
}
