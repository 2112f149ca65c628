// Package fleet creates the target stand-ins of a whole deployment.
package fleet

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/corpus"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
)

// Config describes the stand-ins of a deployment.
type Config struct {
	Catalogue   model.Catalogue
	Version     model.Version
	ServiceTime time.Duration
	Seed        uint64
}

// New returns the targets of the catalogue. The group at position n of an index holds the shard at position n.
func New(cfg Config) map[model.TargetID]*target.Target {
	held := map[model.TargetID][]target.IndexVersion{}
	for _, index := range cfg.Catalogue.Indexes {
		shards := corpus.EvenShardMap(len(index.Groups))
		for i, group := range index.Groups {
			version := target.IndexVersion{
				Index: index.ID, Version: cfg.Version, ShardMap: shards, Held: []model.ShardID{shards[i].ID},
			}
			for _, id := range group.Targets {
				held[id] = append(held[id], version)
			}
		}
	}
	targets := map[model.TargetID]*target.Target{}
	for i, t := range cfg.Catalogue.Targets {
		targets[t.ID] = target.New(target.Config{
			Target:      t,
			Incarnation: 1,
			Indexes:     held[t.ID],
			ServiceTime: cfg.ServiceTime,
			Seed:        cfg.Seed + uint64(i),
		})
	}
	return targets
}

// Serve listens on the address of each target and serves requests until stop is called.
func Serve(catalogue model.Catalogue, targets map[model.TargetID]*target.Target) (stop func(), err error) {
	var servers []*http.Server
	stop = func() {
		for _, server := range servers {
			server.Close()
		}
	}
	for _, t := range catalogue.Targets {
		listener, err := net.Listen("tcp", t.Address)
		if err != nil {
			stop()
			return nil, fmt.Errorf("target stand-in %s: %w", t.ID, err)
		}
		server := &http.Server{
			Handler:           target.NewHandler(targets[t.ID]),
			ConnContext:       targets[t.ID].ConnContext,
			ReadHeaderTimeout: time.Second,
		}
		servers = append(servers, server)
		go server.Serve(listener)
	}
	return stop, nil
}
