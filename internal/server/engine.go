package server

import (
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/query"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// newEngine returns the query engine of the host. It is called after joinGates.
func (s *Server) newEngine(incarnation model.Incarnation) *query.Engine {
	return query.New(s.logger, query.Config{
		Client:      s.ports.Targets,
		Inventory:   s.inventory,
		Host:        s.settings.HostID,
		Incarnation: incarnation,
		Keys:        fleetKeys(s.logger, s.settings),
		Seed:        uint64(incarnation),
		Observer:    s.guard,
		Gate:        s.targetGate(),
		Limits:      s.callerLimits(),
	})
}

// fleetKeys reads the fleet keys. A key that cannot be read is left out and logged; without any, answers bear no token.
func fleetKeys(logger *zap.Logger, s settings.Settings) snapshot.Keys {
	var keys snapshot.Keys
	for _, path := range s.FleetKeyFiles {
		key, err := settings.ReadSecret(path)
		if err != nil {
			logger.Error("fleet key cannot be read", zap.Error(err))
			continue
		}
		keys = append(keys, key)
	}
	return keys
}
