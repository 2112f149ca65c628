package server

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/control"
	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/query"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
)

// insecureDefaultKey authenticates peers when the settings name no key file. The key is public, so it gives no security
// and is meant for tests and benchmarks only.
var insecureDefaultKey = []byte("knapweedrouter trial without a secret key")

// fleetState holds the parts of a server that communicate with other hosts.
type fleetState struct {
	transport *peer.FrameTransport
	control   *control.Loop
	// keys authenticate peers, tickets and snapshot tokens. The first key signs; every key verifies.
	keys [][]byte
	// err is a setup error, which Run returns.
	err error
}

// setUpFleet creates the peer transport and the control loop. It doesn't start them, so that handlers and subscribers can
// still be registered.
func (s *Server) setUpFleet(incarnation model.Incarnation) {
	keys, err := s.fleetKeys()
	if err != nil {
		s.fleet.err = err
		keys = [][]byte{insecureDefaultKey}
	}
	s.fleet.keys = keys
	transport, err := peer.New(s.logger, peer.Config{
		Listen:  s.settings.PeerListen,
		Self:    peer.Sender{Host: s.settings.HostID, Incarnation: incarnation},
		Keys:    keys,
		Network: s.ports.Network,
		Urgent:  []peer.Kind{execute.KindForwardCancel},
	})
	if err != nil {
		// The keys have already been read and their length checked, so the only possible error is their number.
		s.fleet.err = eris.Wrap(err, "fleet_key_files")
		return
	}
	s.fleet.transport = transport
	s.fleet.control = control.New(s.logger, control.Config{
		Self: membership.Member{
			ID:          s.settings.HostID,
			Incarnation: incarnation,
			Address:     s.settings.PeerListen,
			DataCentre:  s.settings.DataCentre,
			Region:      s.settings.Region,
		},
		Store:       s.ports.Store,
		HostList:    s.ports.HostList,
		Transport:   transport,
		OnCatalogue: s.onCatalogue,
	})
	query.HandleStatus(transport, s.configurationStatus)
}

// fleetKeys reads the keys from fleet_key_files.
func (s *Server) fleetKeys() ([][]byte, error) {
	if len(s.settings.FleetKeyFiles) == 0 {
		s.logger.Warn("fleet_key_files is not set: anyone who can reach the peer listener can impersonate a host; " +
			"use this for tests only")
		return [][]byte{insecureDefaultKey}, nil
	}
	var keys [][]byte
	for _, path := range s.settings.FleetKeyFiles {
		key, err := settings.ReadSecret(path)
		if err != nil {
			return nil, eris.Wrap(err, "fleet_key_files")
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// listenForPeers opens the listener for other hosts.
func (s *Server) listenForPeers() (net.Listener, error) {
	if s.fleet.err != nil {
		return nil, s.fleet.err
	}
	listener, err := s.ports.Network.Listen(s.settings.PeerListen)
	if err != nil {
		return nil, eris.Wrapf(err, "peer listener: choose another peer_listen than %s", s.settings.PeerListen)
	}
	return listener, nil
}

// startFleet starts the peer transport and the control loop. They run until the context ends.
func (s *Server) startFleet(ctx context.Context, tasks *conc.WaitGroup, listener net.Listener) {
	tasks.Go(func() {
		if err := s.fleet.transport.Serve(ctx, listener); err != nil {
			s.logger.Error("peer listener ended", zap.Error(err))
		}
	})
	tasks.Go(func() { s.fleet.control.Run(ctx) })
}

// Ready returns nil if this host can answer requests, or the refusal to send otherwise. A host that is stopping or out of
// service keeps answering until the load balancer has noticed; see stopper.
func (s *Server) Ready() error {
	if s.fleet.control == nil {
		return fault.New(fault.NotReady, fault.NotRun, "use another host", "this host has not joined the others")
	}
	if err := s.fleet.control.Ready(); err != nil {
		return err
	}
	return s.checkTargetsPolled()
}

// readyForBalancer returns nil if the load balancer should send requests to this host, or the reason why not.
func (s *Server) readyForBalancer() error {
	if err := s.stopper.ready(); err != nil {
		return err
	}
	return s.Ready()
}

// onCatalogue is called when a new catalogue takes effect.
func (s *Server) onCatalogue(catalogue *model.Catalogue) {
	s.catalogue.Store(catalogue)
	s.operator.recordApplied(catalogue.Generation)
	s.logger.Info("configuration in force", zap.Uint64("generation", uint64(catalogue.Generation)))
}

// addControlState adds state dumps and metrics of the control plane and the peer transport.
func (s *Server) addControlState() {
	if s.fleet.control == nil {
		return
	}
	s.operator.dumps.Add("control", func() any {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		defer cancel()
		status, err := s.fleet.control.Status(ctx)
		if err != nil {
			return map[string]string{"error": err.Error()}
		}
		return status
	})
	s.operator.dumps.Add("members", func() any { return s.fleet.control.Members() })
	s.operator.dumps.Add("fleet", func() any { return s.fleet.control.FleetTable() })
	s.operator.dumps.Add("peers", func() any { return s.fleet.transport.Stats() })
	set := s.operator.metrics
	gauge := func(name string, read func(peer.Stats) uint64) {
		set.NewGauge(name, func() float64 { return float64(read(s.fleet.transport.Stats())) })
	}
	gauge(`knapweedrouter_peer_bytes_total{direction="sent"}`, func(p peer.Stats) uint64 { return p.BytesSent })
	gauge(`knapweedrouter_peer_bytes_total{direction="received"}`, func(p peer.Stats) uint64 { return p.BytesReceived })
	gauge(`knapweedrouter_peer_frames_total{direction="sent"}`, func(p peer.Stats) uint64 { return p.FramesSent })
	gauge(`knapweedrouter_peer_frames_total{direction="received"}`, func(p peer.Stats) uint64 { return p.FramesReceived })
	gauge("knapweedrouter_peer_silent_connections_total", func(p peer.Stats) uint64 { return p.SilentConnections })
	set.NewGauge("knapweedrouter_members", func() float64 { return float64(len(s.fleet.control.Members())) })
	set.NewGauge("knapweedrouter_fenced", func() float64 {
		if s.fleet.control.Fenced() {
			return 1
		}
		return 0
	})
}
