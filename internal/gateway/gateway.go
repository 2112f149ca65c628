// Package gateway runs one host that forwards opaque requests along the routes of an externally managed configuration.
// It sets up the listeners, the forwarding engine, the copy of the store's data, the store relay and graceful shutdown.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/duty"
	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/evidencestore"
	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/follow"
	"github.com/knapweedrouter/knapweedrouter/internal/forward"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/relay"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// headerTimeout exceeds the time that configurations allow a caller for its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds the idle time that configurations allow caller connections, so that this host does not
	// close a connection on which a caller is sending a request.
	idleTimeout = time.Minute
	// maxHeaderBytes limits the memory used for headers.
	maxHeaderBytes = 64 << 10
	probeTimeout   = 2 * time.Second
	// peerTimeout is how long a connection to another host may be silent before it is replaced.
	peerTimeout = 800 * time.Millisecond
	// largeLinkMbps is the bandwidth from which a host is large: it claims a relay slot first and is an aggregator for
	// other hosts.
	largeLinkMbps = 100
	// maxPlatformConnections bounds the connections of the balancer's probes, and those of operators.
	maxPlatformConnections = 32
)

// Platform holds the adapters to the surrounding platform.
type Platform struct {
	Feed      store.Feed
	Decoder   Decoder
	Targets   exchange.HeaderCodec
	Callers   CallerHeaders
	Prefix    string // of the keys that concern this host
	ReadyPath string
}

// Gateway is the process of one host.
type Gateway struct {
	logger   *zap.Logger
	settings Settings
	platform Platform
	pool     *exchange.Pool
	engine   *forward.Engine
	state    *state
	observer *observer
	stopper  *stopper
	callers  *callerHandler
	peers    *peer.FrameTransport
	relay    *relay.Relay
	// records keeps the evidence of quarantined requests in the store.
	records *evidencestore.Store
	// logDropped returns the number of log lines dropped because the buffer was full.
	logDropped func() int64
}

// New returns a Gateway; call Run to start it. logDropped returns the number of dropped log lines. platform is called
// once to create the adapters, which must report each store call to the given observer.
func New(logger *zap.Logger, s Settings, logDropped func() int64, platform func(StoreObserver) Platform) (*Gateway, error) {
	obs := newObserver(logger)
	p := platform(obs.recordStoreCall)
	incarnation := model.Incarnation(time.Now().UnixNano())
	facts := evidence.NewLog(uint64(incarnation))
	shares := s.Limits().Divide()
	pool := exchange.NewPool(p.Targets, shares.TargetConnections)
	engine := forward.New(forward.Config{
		Client:     pool,
		Host:       s.HostID,
		DataCentre: s.DataCentre,
		ExtraRatio: s.ExtraRatio,
		ExtraSlack: s.ExtraSlack,
		Replies:    shares.Replies,
		Evidence:   facts,
		Observer:   obs,
	})
	peers, err := peer.New(logger, peer.Config{
		Listen:         s.PeerListen,
		Self:           peer.Sender{Host: s.HostID, Incarnation: incarnation},
		Keys:           [][]byte{[]byte(s.PeerKey)},
		Network:        peer.TCP{},
		SilenceTimeout: peerTimeout,
		Urgent:         []peer.Kind{kindGatherCancel},
	})
	if err != nil {
		return nil, eris.Wrap(err, "peer transport")
	}
	relays := relay.New(logger, relay.Config{
		Feed:             p.Feed,
		Transport:        peers,
		Host:             s.HostID,
		Address:          s.PeerListen,
		DataCentre:       s.DataCentre,
		Large:            s.LinkMbps >= largeLinkMbps,
		LinkMbps:         s.LinkMbps,
		OlderIncarnation: func(known model.Incarnation) { peers.SetIncarnation(known + 1) },
		ChangeBound:      s.ChangeBound,
		Evidence:         facts,
		Learned:          engine.ReportLearned,
	})
	stopper := newStopper(s.StopSeconds)
	callers := &callerHandler{headers: p.Callers, engine: engine, observer: obs, stopper: stopper, started: time.Now(), shares: shares}
	callers.guard = newGuard(shares.Requests, shares.CallerConnections, callers)
	shares.Replies.OnShortage(callers.guard.EndStalledAnswer)
	callers.delegate = newDelegator(logger, peers, relays, callers)
	beliefs := newState(logger, p.Decoder, engine, relays.Fleet, facts.IsLeaving)
	obs.markLeaving = beliefs.markLeaving
	records := evidencestore.New(logger, s.HostID, p.Feed, facts, engine.ReportLearned)
	obs.records = records
	return &Gateway{
		callers:    callers,
		logDropped: logDropped,
		logger:     logger,
		settings:   s,
		platform:   p,
		pool:       pool,
		engine:     engine,
		state:      beliefs,
		observer:   obs,
		stopper:    stopper,
		peers:      peers,
		relay:      relays,
		records:    records,
	}, nil
}

// StoreObserver is called after each store call.
type StoreObserver func(call, result string, took time.Duration)

// Reload configures how Run reloads the settings.
type Reload struct {
	Signalled <-chan struct{}
	Load      func() (Settings, error)
}

// Run serves until the context ends and then shuts down gracefully: it completes the requests in progress.
func (g *Gateway) Run(ctx context.Context, reload Reload) error {
	callers, err := net.Listen("tcp", g.settings.CallerListen)
	if err != nil {
		return eris.Wrapf(err, "caller listener: cannot listen on caller_listen address %s; set caller_listen to another address", g.settings.CallerListen)
	}
	probes, err := net.Listen("tcp", g.settings.ReadyListen)
	if err != nil {
		return eris.Wrapf(err, "ready listener: cannot listen on ready_listen address %s; set ready_listen to another address", g.settings.ReadyListen)
	}
	operators, err := net.Listen("tcp", g.settings.OperatorListen)
	if err != nil {
		return eris.Wrapf(err, "operator listener: cannot listen on operator_listen address %s; set operator_listen to another address", g.settings.OperatorListen)
	}
	stopping := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks conc.WaitGroup
	callerServer := g.callerServer()
	probeServer := &http.Server{Handler: g.probeHandler(), ReadTimeout: probeTimeout, MaxHeaderBytes: maxHeaderBytes}
	operatorServer := &http.Server{Handler: g.operatorHandler(), ReadTimeout: probeTimeout, MaxHeaderBytes: maxHeaderBytes}
	probes = newGuard(g.callers.shares.Requests, maxPlatformConnections, g.callers).Protect(probeServer, probes)
	operators = newGuard(g.callers.shares.Requests, maxPlatformConnections, g.callers).Protect(operatorServer, operators)
	callers = g.callers.guard.Protect(callerServer, callers)
	// The records come before the state, which admits requests: a host that starts knows the quarantines by then.
	follower := follow.New(g.logger, g.relay, g.platform.Prefix, multiSink{g.relay, g.records, g.state})
	tasks.Go(func() { g.relay.Run(ctx) })
	for name, body := range map[string]func(context.Context){
		"follow the store":     follower.Run,
		"store evidence":       g.records.Run,
		"serve peers":          g.servePeers,
		"expire registrations": g.state.run,
		"watch warm-ups":       func(ctx context.Context) { g.engine.WatchWarmups(ctx, g.state.isStoreAway) },
		"summarize":            g.summarize,
		"reload":               func(ctx context.Context) { g.reload(ctx, reload.Signalled, reload.Load) },
	} {
		tasks.Go(func() { duty.Run(ctx, g.logger, name, body) })
	}
	tasks.Go(func() { g.serve(probeServer, probes) })
	tasks.Go(func() { g.serve(operatorServer, operators) })
	tasks.Go(func() {
		select {
		case <-stopping:
			g.stopper.run(ctx, g.logger, callerServer, g.relay.Leave)
		case <-ctx.Done():
		}
	})
	g.logger.Info("host started", zap.String("data_centre", string(g.settings.DataCentre)), zap.String("callers", g.settings.CallerListen),
		zap.Int("caller_connections", g.callers.shares.CallerConnections), zap.Int("target_connections", g.callers.shares.TargetConnections))
	err = callerServer.Serve(callers)
	g.stopper.wait(ctx)
	cancel()
	probeServer.Close()
	operatorServer.Close()
	tasks.Wait()
	g.observer.summarize(g.isRouted)
	g.logger.Info("host stopped")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "caller listener")
}

func (g *Gateway) callerServer() *http.Server {
	return &http.Server{
		Handler:           g.stopper.track(g.callers),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(g.logger),
	}
}

func (g *Gateway) servePeers(ctx context.Context) {
	if err := g.peers.Run(ctx); err != nil && ctx.Err() == nil {
		g.logger.Error("peer listener ended", zap.String("address", g.settings.PeerListen), zap.Error(err))
	}
}

// multiSink passes data to several sinks in order.
type multiSink []follow.Sink

// Reset implements follow.Sink.
func (s multiSink) Reset(entries []store.Entry, revision store.Revision) {
	for _, sink := range s {
		sink.Reset(entries, revision)
	}
}

// Apply implements follow.Sink.
func (s multiSink) Apply(changes []store.Change) {
	for _, sink := range s {
		sink.Apply(changes)
	}
}

// Lost implements follow.Sink.
func (s multiSink) Lost(err error) {
	for _, sink := range s {
		sink.Lost(err)
	}
}

// Regained implements follow.Sink.
func (s multiSink) Regained() {
	for _, sink := range s {
		sink.Regained()
	}
}

func (g *Gateway) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		g.logger.Error("listener ended", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

// probeHandler serves the load balancer's readiness probe.
func (g *Gateway) probeHandler() http.Handler {
	router := httprouter.New()
	router.GET(g.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if g.engine.RoutingState() == nil || g.stopper.isStopping() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// isRouted reports whether a route is in the configuration, or may be.
func (g *Gateway) isRouted(route string) bool {
	state := g.engine.RoutingState()
	return state == nil || state.HasRoute(route)
}

// summarize periodically logs summaries and drops connections to unregistered targets until the context ends.
func (g *Gateway) summarize(ctx context.Context) {
	for ctxtime.Sleep(ctx, summaryInterval) == nil {
		g.observer.summarize(g.isRouted)
		if state := g.engine.RoutingState(); state != nil {
			g.pool.KeepOnly(state.IsRegistered)
		}
	}
}
