// Package server wires the subsystems of one host together. Each subsystem has a file.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/hostlist"
	"github.com/knapweedrouter/knapweedrouter/internal/inventory"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/query"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	readTimeout        = 2 * time.Second
	storeTimeout       = 500 * time.Millisecond
	statusPollInterval = 250 * time.Millisecond
	statusTimeout      = 200 * time.Millisecond
	connectionsPerHost = 4
	// idleTimeout is longer than usual balancers keep idle connections, so that a request doesn't meet a closing one.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Server is one host's process.
type Server struct {
	logger    *zap.Logger
	settings  settings.Settings
	ports     Ports
	inventory *inventory.Inventory
	engine    *query.Engine
	catalogue atomic.Pointer[model.Catalogue]
	operator  *operatorState
	guard     *guard
	admitter  *admitter
	executor  *execute.Engine
	fleet     fleetState
	stopper   stopper
	stopHooks stopHooks
	gates     *gates
}

// Ports are the server's connections to the outside. Tests and measurements replace them.
type Ports struct {
	Store    store.Store
	HostList hostlist.HostList
	Targets  targetclient.TargetClient
	Network  peer.Network
}

// NewPorts returns the production ports.
func NewPorts(s settings.Settings) Ports {
	return Ports{
		Store:    store.NewHTTP(store.HTTPConfig{Addresses: s.StoreAddresses, Timeout: storeTimeout}),
		HostList: hostlist.NewHTTP(s.HostListAddress, storeTimeout),
		Targets:  targetclient.NewHTTP(connectionsPerHost),
		Network:  peer.TCP{},
	}
}

// New returns a server that has not started.
func New(logger *zap.Logger, s settings.Settings, ports Ports) *Server {
	reports := inventory.New()
	incarnation := model.Incarnation(time.Now().UnixNano())
	guard := newGuard(logger, s.HostID)
	server := &Server{
		logger:    logger,
		settings:  s,
		ports:     ports,
		inventory: reports,
		operator:  newOperatorState(incarnation),
		guard:     guard,
	}
	server.joinFleet(incarnation)
	server.joinGates(incarnation)
	server.engine = server.newEngine(incarnation)
	server.admitter = newAdmitter(server.callerLimits())
	server.admitter.capacity = server.capacity
	server.joinExecute(incarnation)
	return server
}

// Catalogue returns the catalogue in force, or nil before the first.
func (s *Server) Catalogue() *model.Catalogue { return s.catalogue.Load() }

// Run serves until the context ends, and then stops as planned: it finishes the work that it has.
func (s *Server) Run(ctx context.Context) error {
	listener, err := s.ports.Network.Listen(s.settings.CallerListen)
	if err != nil {
		return eris.Wrapf(err, "caller listener: choose another caller_listen than %s", s.settings.CallerListen)
	}
	peers, err := s.listenForPeers()
	if err != nil {
		return err
	}
	operators, err := s.listenForOperators()
	if err != nil {
		return err
	}
	httpServer := s.newCallerServer()
	stopping := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var duties conc.WaitGroup
	s.startDuties(ctx, &duties, peers, operators)
	duties.Go(func() {
		select {
		case <-stopping:
			s.stopper.plannedStop(ctx, s.logger, s.stopHooks)
		case <-ctx.Done():
		}
		_ = httpServer.Shutdown(context.WithoutCancel(ctx)) // Serve reports the failure
	})
	s.logger.Info("serving callers", zap.String("address", listener.Addr().String()))
	err = httpServer.Serve(listener)
	cancel()
	duties.Wait()
	s.engine.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "caller listener")
}

// newCallerServer returns the HTTP server of the caller listener.
func (s *Server) newCallerServer() *http.Server {
	api := callerapi.New(s.logger, guardedSearcher{s.engine, s.guard}, s, s.operator.metrics, s.operator.recorder)
	api.SetExecutor(s.executor)
	api.SetAdmission(s.admitter)
	return &http.Server{
		Handler:           s.stopper.wrap(api.Handler()),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// startDuties starts the goroutines of the host. They end with the context.
func (s *Server) startDuties(ctx context.Context, duties *conc.WaitGroup, peers net.Listener, operators operatorListener) {
	s.startFleet(ctx, duties, peers)
	s.startGates(ctx, duties)
	duties.Go(func() { s.pollStatuses(ctx) })
	duties.Go(func() { s.admitter.run(ctx) })
	duties.Go(func() { s.followOut(ctx, s.executor, s.fleet.control) })
	duties.Go(func() { s.serveOperators(ctx, operators) })
}
