package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/command"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/query"
	"github.com/knapweedrouter/knapweedrouter/internal/statedump"
	"github.com/knapweedrouter/knapweedrouter/internal/version"
)

// recordedQueries is the number of recent queries kept for explain. At 130 queries/s they cover 8 s.
const recordedQueries = 1024

// operatorState holds the process state that the operator listener exposes.
type operatorState struct {
	metrics       *metrics.Set
	dumps         *statedump.Registry
	recorder      *explain.Recorder
	incarnation   model.Incarnation
	started       time.Time
	targetsPolled atomic.Bool // set once every target has been polled for its status

	mu         sync.Mutex
	generation model.Generation
	appliedAt  time.Time
}

func newOperatorState(incarnation model.Incarnation) *operatorState {
	return &operatorState{
		metrics:     metrics.NewSet(),
		dumps:       statedump.New(),
		recorder:    explain.NewRecorder(recordedQueries),
		incarnation: incarnation,
		started:     time.Now(),
	}
}

// recordApplied records that a generation has taken effect.
func (o *operatorState) recordApplied(generation model.Generation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.generation = generation
	o.appliedAt = time.Now()
}

// inForce returns the current generation and the time since it took effect.
func (o *operatorState) inForce() (model.Generation, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.generation == 0 {
		return 0, 0
	}
	return o.generation, time.Since(o.appliedAt)
}

// operatorListener is the HTTP server for operators and its open listener.
type operatorListener struct {
	server   *http.Server
	listener net.Listener
}

func (s *Server) listenForOperators() (operatorListener, error) {
	tokens, err := operatorapi.LoadTokens(s.settings)
	if err != nil {
		return operatorListener{}, eris.Wrap(err, "operator_token_files")
	}
	listener, err := s.ports.Network.Listen(s.settings.OperatorListen)
	if err != nil {
		return operatorListener{}, eris.Wrapf(err, "operator listener: choose another operator_listen than %s", s.settings.OperatorListen)
	}
	s.addDumps()
	s.addMetrics()
	s.addControlState()
	api := operatorapi.New(s.logger, operatorapi.Config{
		Tokens:  tokens,
		Metrics: s.operator.metrics,
		Dumps:   s.operator.dumps,
		Ready:   s.readyForBalancer,
		Routes:  []operatorapi.Routes{s.commands(), s.queries()},
	})
	server := api.Server()
	return operatorListener{server: server, listener: s.newIngressGuard().Protect(server, listener)}, nil
}

func (s *Server) serveOperators(ctx context.Context, o operatorListener) {
	stop := context.AfterFunc(ctx, func() { o.server.Close() })
	defer stop()
	s.logger.Info("serving operators", zap.String("address", o.listener.Addr().String()))
	if err := o.server.Serve(o.listener); !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("operator listener ended", zap.Error(err))
	}
}

func (s *Server) commands() operatorapi.Routes {
	return command.New(s.logger, command.Config{
		Acceptor:   s.fleet.control,
		Catalogues: s,
		Statuses:   s.inventory,
		Members:    s.fleet.control.Members,
	})
}

func (s *Server) queries() operatorapi.Routes {
	return query.New(query.Config{
		Host:      s.settings.HostID,
		View:      s.fleet.control,
		History:   s.fleet.control,
		Explainer: s.operator.recorder,
		Peers:     s.fleet.transport,
		Own:       s.configurationStatus,
	})
}

// configurationStatus returns the generation that is in force on this host.
func (s *Server) configurationStatus() operatorwire.HostStatus {
	generation, age := s.operator.inForce()
	return operatorwire.HostStatus{
		Host:       s.settings.HostID,
		DataCentre: s.settings.DataCentre,
		Generation: generation,
		InForceMS:  age.Milliseconds(),
		Fenced:     s.fleet.control != nil && s.fleet.control.Fenced(),
	}
}

// processState describes the process in state dumps.
type processState struct {
	Version     string            `json:"version"`
	Incarnation model.Incarnation `json:"incarnation"`
	UptimeMS    int64             `json:"uptime_ms"`
}

func (s *Server) addDumps() {
	dumps := s.operator.dumps
	dumps.Add("process", func() any {
		return processState{
			Version:     version.String(),
			Incarnation: s.operator.incarnation,
			UptimeMS:    time.Since(s.operator.started).Milliseconds(),
		}
	})
	dumps.Add("settings", func() any { return s.settings })
	dumps.Add("configuration", func() any { return s.configurationStatus() })
	dumps.Add("catalogue", func() any { return s.Catalogue() })
	dumps.Add("query", func() any { return s.engine.State() })
	dumps.Add("inventory", func() any { return s.inventory.All() })
}

func (s *Server) addMetrics() {
	set := s.operator.metrics
	set.NewGauge("knapweedrouter_configuration_generation", func() float64 {
		generation, _ := s.operator.inForce()
		return float64(generation)
	})
	set.NewGauge("knapweedrouter_ready", func() float64 {
		if s.readyForBalancer() != nil {
			return 0
		}
		return 1
	})
}
