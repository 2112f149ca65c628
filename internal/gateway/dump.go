package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/duty"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/relay"
	"github.com/knapweedrouter/knapweedrouter/internal/statedump"
)

// stateSnapshot is the content of the "beliefs" dump.
type stateSnapshot struct {
	Generation     model.Generation
	StoreAway      bool
	ConfirmedMSAgo int64
	Out            []model.DataCentreID
	Fleet          relay.Fleet
	Targets        []registry.Target
}

// snapshot returns the current state for a dump.
func (s *state) snapshot() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	dump := stateSnapshot{
		StoreAway:      s.storeAway,
		ConfirmedMSAgo: (monotime.Now() - s.lastConfirmed).Milliseconds(),
		Fleet:          s.currentFleet,
		Targets:        s.registry.Targets(),
	}
	if s.table != nil {
		dump.Generation = s.table.Generation
	}
	for dataCentre := range s.out {
		dump.Out = append(dump.Out, dataCentre)
	}
	return dump
}

// newDumps registers the process's state dumps.
func newDumps(g *Gateway) *statedump.Registry {
	dumps := statedump.New()
	dumps.Add("beliefs", g.state.snapshot)
	dumps.Add("engine", func() any { return g.engine.Dump() })
	dumps.Add("relay", func() any { return g.relay.Dump() })
	dumps.Add("peers", func() any { return g.peers.Stats() })
	return dumps
}

// operatorHandler serves metrics and state dumps.
func (g *Gateway) operatorHandler() http.Handler {
	dumps := newDumps(g)
	g.registerGauges()
	router := httprouter.New()
	router.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		g.observer.metrics.WritePrometheus(w)
	})
	router.GET("/debug/state", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(dumps.Dump(r.URL.Query()["name"]...)); err != nil {
			g.logger.Info("failed to write state dump", zap.Error(err))
		}
	})
	return router
}

// registerGauges registers the gauges, which are read on each scrape.
func (g *Gateway) registerGauges() {
	set := g.observer.metrics
	set.NewGauge("knapweedrouter_configuration_generation", func() float64 {
		if state := g.engine.RoutingState(); state != nil {
			return float64(state.Table.Generation)
		}
		return 0
	})
	set.NewGauge("knapweedrouter_store_confirmed_seconds_ago", func() float64 {
		return g.relay.ContactAge().Seconds()
	})
	set.NewGauge("knapweedrouter_hosts", func() float64 { return float64(g.relay.Hosts()) })
	set.NewGauge("knapweedrouter_is_relay", func() float64 {
		if g.relay.IsRelay() {
			return 1
		}
		return 0
	})
	set.NewGauge("knapweedrouter_requests_in_progress", func() float64 { return float64(g.stopper.inFlight.Load()) })
	set.NewGauge("knapweedrouter_target_connections_opened", func() float64 { return float64(g.pool.Counters().Opened.Load()) })
	set.NewGauge("knapweedrouter_target_connections_reused", func() float64 { return float64(g.pool.Counters().Reused.Load()) })
	set.NewGauge("knapweedrouter_caller_connections", func() float64 { return float64(g.callers.guard.Open()) })
	set.NewGauge("knapweedrouter_request_bytes_held", func() float64 { return float64(g.callers.shares.Requests.Used()) })
	set.NewGauge("knapweedrouter_reply_bytes_held", func() float64 { return float64(g.callers.shares.Replies.Used()) })
	set.NewGauge("knapweedrouter_duty_failures", func() float64 { return float64(duty.Failures()) })
	set.NewGauge("knapweedrouter_log_lines_dropped", func() float64 { return float64(g.logDropped()) })
}
