package server

import (
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/query"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// newEngine returns the query engine of the host. setUpGates must have been called before.
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

// tokenKeys returns the keys that sign snapshot tokens. Without key files, replies contain no token.
func (s *Server) tokenKeys() snapshot.Keys {
	if len(s.settings.FleetKeyFiles) == 0 {
		return nil
	}
	return s.fleet.keys
}
