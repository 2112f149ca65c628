package server

import (
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/inventory"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/query"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// newEngine returns the query engine of the host.
func newEngine(
	logger *zap.Logger, s settings.Settings, ports Ports, reports *inventory.Inventory, incarnation model.Incarnation,
	observer query.Observer,
) *query.Engine {
	return query.New(logger, query.Config{
		Client:      ports.Targets,
		Inventory:   reports,
		Host:        s.HostID,
		Incarnation: incarnation,
		Keys:        fleetKeys(logger, s),
		Seed:        uint64(incarnation),
		Observer:    observer,
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
