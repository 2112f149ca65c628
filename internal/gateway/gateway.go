// Package gateway wires one host that passes opaque requests on by the routes of an outside configuration: listeners,
// engine, copy of the store, relay of the store, planned stop.
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
	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/follow"
	"github.com/knapweedrouter/knapweedrouter/internal/forward"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/relay"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// headerTimeout is longer than the time that configurations allow a caller for its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than configurations let a caller's connection idle, so that a request does not meet a closing
	// one.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds the memory for headers.
	maxHeaderBytes = 64 << 10
	probeTimeout   = 2 * time.Second
	// peerSilence is the time without a sign of life after which a connection to another host is replaced.
	peerSilence = 800 * time.Millisecond
	// largeLinkMbps is the bandwidth from which a host claims the duty of a relay before others, and gathers for them.
	largeLinkMbps = 100
)

// Platform holds what translates between the project's model and the outside.
type Platform struct {
	Feed      store.Feed
	Decoder   Decoder
	Targets   exchange.Dialect
	Callers   CallerDialect
	Prefix    string // of the keys that concern this host
	ReadyPath string
}

// Gateway is one host's process.
type Gateway struct {
	logger   *zap.Logger
	settings Settings
	platform Platform
	pool     *exchange.Pool
	engine   *forward.Engine
	state    *state
	observe  *observer
	stopper  *stopper
	front    *front
	peers    *peer.FrameTransport
	relay    *relay.Relay
	// logDropped returns the number of log lines that found no room.
	logDropped func() int64
}

// New returns a gateway that has not started. logDropped returns the number of log lines that were dropped; platform is called
// once with the observer of store calls.
func New(logger *zap.Logger, s Settings, logDropped func() int64, platform func(StoreObserver) Platform) (*Gateway, error) {
	observe := newObserver(logger)
	p := platform(observe.storeCall)
	pool := exchange.NewPool(p.Targets)
	engine := forward.New(forward.Config{
		Client:     pool,
		Host:       s.HostID,
		DataCentre: s.DataCentre,
		ExtraRatio: s.ExtraRatio,
		ExtraSlack: s.ExtraSlack,
		Observer:   observe,
	})
	incarnation := model.Incarnation(time.Now().UnixNano())
	peers, err := peer.New(logger, peer.Config{
		Listen:  s.PeerListen,
		Self:    peer.Sender{Host: s.HostID, Incarnation: incarnation},
		Keys:    [][]byte{[]byte(s.PeerKey)},
		Network: peer.TCP{},
		Silence: peerSilence,
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
		OlderIncarnation: func(known model.Incarnation) { peers.SetIncarnation(known + 1) },
	})
	stopper := newStopper(s.StopSeconds)
	callers := &front{dialect: p.Callers, engine: engine, observe: observe, stopper: stopper, started: time.Now()}
	callers.hop = newHop(logger, peers, relays, callers)
	observe.spread = callers.hop.spread
	return &Gateway{
		front:      callers,
		logDropped: logDropped,
		logger:     logger,
		settings:   s,
		platform:   p,
		pool:       pool,
		engine:     engine,
		state:      newState(logger, p.Decoder, engine, relays.Fleet),
		observe:    observe,
		stopper:    stopper,
		peers:      peers,
		relay:      relays,
	}, nil
}

// StoreObserver is told of each call to the store.
type StoreObserver func(call, result string, took time.Duration)

// Reload tells Run when and how to read the settings again.
type Reload struct {
	Signalled <-chan struct{}
	Load      func() (Settings, error)
}

// Run serves until the context ends, and then stops as planned: it finishes the work that it has.
func (g *Gateway) Run(ctx context.Context, reload Reload) error {
	callers, err := net.Listen("tcp", g.settings.CallerListen)
	if err != nil {
		return eris.Wrapf(err, "caller listener: choose another caller_listen than %s", g.settings.CallerListen)
	}
	probes, err := net.Listen("tcp", g.settings.ReadyListen)
	if err != nil {
		return eris.Wrapf(err, "ready listener: choose another ready_listen than %s", g.settings.ReadyListen)
	}
	operators, err := net.Listen("tcp", g.settings.OperatorListen)
	if err != nil {
		return eris.Wrapf(err, "operator listener: choose another operator_listen than %s", g.settings.OperatorListen)
	}
	stopping := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var duties conc.WaitGroup
	callerServer := g.callerServer()
	probeServer := &http.Server{Handler: g.probeHandler(), ReadTimeout: probeTimeout, MaxHeaderBytes: maxHeaderBytes}
	operatorServer := &http.Server{Handler: g.operatorHandler(), ReadTimeout: probeTimeout, MaxHeaderBytes: maxHeaderBytes}
	follower := follow.New(g.logger, g.relay, g.platform.Prefix, sinks{g.relay, g.state})
	duties.Go(func() { follower.Run(ctx) })
	duties.Go(func() { g.relay.Run(ctx) })
	duties.Go(func() { g.servePeers(ctx) })
	duties.Go(func() { g.state.run(ctx) })
	duties.Go(func() { g.summarize(ctx) })
	duties.Go(func() { g.reload(ctx, reload.Signalled, reload.Load) })
	duties.Go(func() { g.serve(probeServer, probes) })
	duties.Go(func() { g.serve(operatorServer, operators) })
	duties.Go(func() {
		select {
		case <-stopping:
			g.stopper.run(ctx, g.logger, callerServer, g.relay.Leave)
		case <-ctx.Done():
		}
	})
	g.logger.Info("host started", zap.String("data_centre", string(g.settings.DataCentre)), zap.String("callers", g.settings.CallerListen))
	err = callerServer.Serve(callers)
	g.stopper.wait(ctx)
	cancel()
	probeServer.Close()
	operatorServer.Close()
	duties.Wait()
	g.observe.summarize()
	g.logger.Info("host stopped")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "caller listener")
}

func (g *Gateway) callerServer() *http.Server {
	return &http.Server{
		Handler:           g.stopper.wrap(g.front),
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

// sinks hands what the follower learns to several sinks in turn.
type sinks []follow.Sink

// Reset implements follow.Sink.
func (s sinks) Reset(entries []store.Entry) {
	for _, sink := range s {
		sink.Reset(entries)
	}
}

// Apply implements follow.Sink.
func (s sinks) Apply(changes []store.Change) {
	for _, sink := range s {
		sink.Apply(changes)
	}
}

// Lost implements follow.Sink.
func (s sinks) Lost(err error) {
	for _, sink := range s {
		sink.Lost(err)
	}
}

// Regained implements follow.Sink.
func (s sinks) Regained() {
	for _, sink := range s {
		sink.Regained()
	}
}

func (g *Gateway) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		g.logger.Error("listener ended", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

// probeHandler answers the balancer.
func (g *Gateway) probeHandler() http.Handler {
	router := httprouter.New()
	router.GET(g.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if g.engine.World() == nil || g.stopper.isStopping() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// summarize logs summaries until the context ends, and drops connections to targets that are gone.
func (g *Gateway) summarize(ctx context.Context) {
	for ctxtime.Sleep(ctx, summaryInterval) == nil {
		g.observe.summarize()
		if world := g.engine.World(); world != nil {
			g.pool.KeepOnly(world.IsRegistered)
		}
	}
}
