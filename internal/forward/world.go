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

// World is the configuration and the targets that are in force. It is not changed after it has been made.
type World struct {
	Table *routing.Table
	// Fleet tells among which hosts shared budgets are divided.
	Fleet relay.Fleet

	registered map[model.TargetID]registry.Target
	eligible   map[model.ServiceID][]model.TargetID
	routes     map[string]bool
	snapshots  sync.Map // of snapshot.Snapshot by shard list, of one table
}

// NewWorld returns the world of a table and registered targets. Targets that drain, or whose data centre is out, are not
// eligible.
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

// IsRegistered tells whether the target is registered, eligible or not.
func (w *World) IsRegistered(id model.TargetID) bool {
	_, ok := w.registered[id]
	return ok
}

// Eligible returns the targets of a service that may get new work.
func (w *World) Eligible(service model.ServiceID) []model.TargetID { return w.eligible[service] }

// snapshotOf returns the services as the parts of one snapshot. Each has an equal share of the keys.
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
