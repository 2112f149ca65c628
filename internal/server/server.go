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
	"github.com/knapweedrouter/knapweedrouter/internal/duty"
	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/hostlimits"
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
	// idleTimeout is longer than load balancers usually keep idle connections, so that the host doesn't close a connection
	// on which the balancer is sending a request.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Server runs the router on one host.
type Server struct {
	logger    *zap.Logger
	settings  settings.Settings
	shares    hostlimits.Shares
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

// Ports holds the server's interfaces to external systems. Tests and benchmarks replace them.
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
		shares:    s.Limits().Divide(),
		ports:     ports,
		inventory: reports,
		operator:  newOperatorState(incarnation),
		guard:     guard,
	}
	server.setUpFleet(incarnation)
	server.setUpGates(incarnation)
	server.engine = server.newEngine(incarnation)
	server.admitter = newAdmitter(server.callerLimits())
	server.admitter.capacity = server.capacity
	server.setUpExecutor(incarnation)
	return server
}

// Catalogue returns the catalogue in force, or nil if none has been received yet.
func (s *Server) Catalogue() *model.Catalogue { return s.catalogue.Load() }

// Run serves until the context ends and then performs a planned stop, which completes the requests in progress.
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
	listener = s.newIngressGuard().Protect(httpServer, listener)
	stopping := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks conc.WaitGroup
	s.startTasks(ctx, &tasks, peers, operators)
	tasks.Go(func() {
		select {
		case <-stopping:
			s.stopper.plannedStop(ctx, s.logger, s.stopHooks)
		case <-ctx.Done():
		}
		_ = httpServer.Shutdown(context.WithoutCancel(ctx)) // errors are reported by Serve
	})
	s.logger.Info("serving callers", zap.String("address", listener.Addr().String()))
	err = httpServer.Serve(listener)
	cancel()
	tasks.Wait()
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

// startTasks starts the background tasks of the host. They run until the context ends.
func (s *Server) startTasks(ctx context.Context, tasks *conc.WaitGroup, peers net.Listener, operators operatorListener) {
	s.startFleet(ctx, tasks, peers)
	s.startGates(ctx, tasks)
	for name, body := range map[string]func(context.Context){
		"poll targets":      s.pollStatuses,
		"expire admissions": s.admitter.run,
		"fetch quarantines": func(ctx context.Context) {
			s.guard.fetchSnapshots(ctx, s.fleet.transport, s.fleet.control.Members)
		},
		"out of service": func(ctx context.Context) { s.watchOut(ctx, s.executor, s.fleet.control) },
	} {
		tasks.Go(func() { duty.Run(ctx, s.logger, name, body) })
	}
	tasks.Go(func() { s.serveOperators(ctx, operators) })
}
