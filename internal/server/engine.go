package server

import (
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/query"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// newEngine returns the query engine of the host. It is called after joinGates.
func (s *Server) newEngine(incarnation model.Incarnation) *query.Engine {
	return query.New(s.logger, query.Config{
		Client:      s.ports.Targets,
		Inventory:   s.inventory,
		Host:        s.settings.HostID,
		Incarnation: incarnation,
		Keys:        s.tokenKeys(),
		Seed:        uint64(incarnation),
		Observer:    s.guard,
		Gate:        s.targetGate(),
		Limits:      s.callerLimits(),
	})
}

// tokenKeys returns the keys of snapshot tokens. Without key files answers bear no token.
func (s *Server) tokenKeys() snapshot.Keys {
	if len(s.settings.FleetKeyFiles) == 0 {
		return nil
	}
	return s.fleet.keys
}
