package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/relay"
	"github.com/knapweedrouter/knapweedrouter/internal/statedump"
)

// beliefs is the dump of what the host believes.
type beliefs struct {
	Generation     model.Generation
	StoreAway      bool
	ConfirmedMSAgo int64
	Out            []model.DataCentreID
	Fleet          relay.Fleet
	Targets        []registry.Target
}

// dump returns what the host believes.
func (s *state) dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := beliefs{
		StoreAway:      s.away,
		ConfirmedMSAgo: (monotime.Now() - s.confirmed).Milliseconds(),
		Fleet:          s.inForce,
		Targets:        s.registry.Targets(),
	}
	if s.table != nil {
		b.Generation = s.table.Generation
	}
	for dataCentre := range s.out {
		b.Out = append(b.Out, dataCentre)
	}
	return b
}

// newDumps returns the dumps of the process.
func newDumps(g *Gateway) *statedump.Registry {
	dumps := statedump.New()
	dumps.Add("beliefs", g.state.dump)
	dumps.Add("engine", func() any { return g.engine.Dump() })
	dumps.Add("peers", func() any { return g.peers.Stats() })
	return dumps
}

// operatorHandler serves metrics and the state of the process.
func (g *Gateway) operatorHandler() http.Handler {
	dumps := newDumps(g)
	g.gauges()
	router := httprouter.New()
	router.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		g.observe.metrics.WritePrometheus(w)
	})
	router.GET("/debug/state", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(dumps.Dump(r.URL.Query()["name"]...)); err != nil {
			g.logger.Info("state dump not taken", zap.Error(err))
		}
	})
	return router
}

// gauges registers the metrics that are read when they are asked for.
func (g *Gateway) gauges() {
	set := g.observe.metrics
	set.NewGauge("knapweedrouter_configuration_generation", func() float64 {
		if world := g.engine.World(); world != nil {
			return float64(world.Table.Generation)
		}
		return 0
	})
	set.NewGauge("knapweedrouter_store_confirmed_seconds_ago", func() float64 {
		return float64(g.state.sinceConfirmed()) / float64(time.Second)
	})
	set.NewGauge("knapweedrouter_hosts", func() float64 { return float64(g.relay.Hosts()) })
	set.NewGauge("knapweedrouter_is_relay", func() float64 {
		if g.relay.IsRelay() {
			return 1
		}
		return 0
	})
	set.NewGauge("knapweedrouter_requests_in_progress", func() float64 { return float64(g.stopper.running.Load()) })
	set.NewGauge("knapweedrouter_target_connections_opened", func() float64 { return float64(g.pool.Counters().Opened.Load()) })
	set.NewGauge("knapweedrouter_target_connections_reused", func() float64 { return float64(g.pool.Counters().Reused.Load()) })
	set.NewGauge("knapweedrouter_log_lines_dropped", func() float64 { return float64(g.logDropped()) })
}

// sinceConfirmed returns the time since the store or a relay last answered.
func (s *state) sinceConfirmed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return monotime.Now() - s.confirmed
}
