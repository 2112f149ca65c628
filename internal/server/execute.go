package server

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/control"
	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
	"github.com/knapweedrouter/knapweedrouter/internal/ticket"
)

// localKeyBytes is the length of the key that seals tickets when no fleet key can be read.
const localKeyBytes = 32

// localView is the view of a host that knows no others.
type localView struct{ server *Server }

// Catalogue implements execute.View.
func (v localView) Catalogue() *model.Catalogue { return v.server.Catalogue() }

// Fenced implements execute.View.
func (v localView) Fenced() bool { return false }

// newExecutor returns the engine of operations. Without a transport and a view of the other hosts, tickets are valid at
// this host only. It is called before the transport and the control loop start.
func (s *Server) newExecutor(incarnation model.Incarnation, transport peer.Transport, view control.View) *execute.Engine {
	cfg := execute.Config{
		Self:      ticket.Origin{Host: s.settings.HostID, Incarnation: incarnation},
		Address:   s.settings.PeerListen,
		Sealer:    s.newSealer(),
		Targets:   s.ports.Targets,
		Transport: transport,
		View:      localView{s},
		Guard:     s.guard,
		Admission: s.admitter,
	}
	if view != nil {
		s.guard.connect(view.Publish, view.Subscribe)
		cfg.View = view
		cfg.Announce = func(move execute.Move) { s.announceMove(view, move) }
	}
	engine := execute.New(s.logger, cfg)
	s.operator.dumps.Add("admission", func() any { return s.admitter.load() })
	s.operator.dumps.Add("quarantine", func() any { return s.guard.statistics() })
	s.operator.dumps.Add("tickets", func() any { return engine.Statistics() })
	if view == nil {
		return engine
	}
	view.Subscribe(rumor.TopicLedger, func(notice rumor.Notice) {
		var move execute.Move
		if err := msgpack.Unmarshal(notice.Payload, &move); err == nil {
			engine.LearnMove(move)
		}
	})
	return engine
}

// newSealer reads the fleet keys. Without any, a key of this process seals the tickets.
func (s *Server) newSealer() *ticket.Sealer {
	var keys [][]byte
	for _, path := range s.settings.FleetKeyFiles {
		key, err := settings.ReadSecret(path)
		if err != nil {
			s.logger.Error("fleet key cannot be read", zap.Error(err))
			continue
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		s.logger.Warn("no fleet key: tickets are valid at this host only")
		key := make([]byte, localKeyBytes)
		_, _ = rand.Read(key) // never fails
		keys = append(keys, key)
	}
	sealer, err := ticket.NewSealer(keys...)
	if err != nil {
		panic(err) // there is a key
	}
	return sealer
}

func (s *Server) announceMove(view control.View, move execute.Move) {
	payload, err := msgpack.Marshal(move)
	if err != nil {
		s.logger.Error("move of ledgers", zap.Error(err))
		return
	}
	view.Publish(rumor.Notice{
		Topic:   rumor.TopicLedger,
		Key:     fmt.Sprintf("%s/%d", move.From.Host, move.From.Incarnation),
		Epoch:   1,
		Origin:  s.settings.HostID,
		Payload: payload,
	})
}

// maxSuccessors bounds the hosts that are asked to take the ledgers over.
const maxSuccessors = 4

// successors returns the addresses of the hosts that may take the ledgers of self over. Their order differs from host to
// host, so that a data centre that is taken out doesn't give all of its ledgers to one host.
func successors(self model.HostID, members []membership.Member, catalogue *model.Catalogue) []string {
	candidates := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.ID == self || m.State != membership.Alive || isOut(catalogue, m)
	})
	slices.SortFunc(candidates, func(a, b membership.Member) int {
		return cmp.Compare(pairHash(self, a.ID), pairHash(self, b.ID))
	})
	var addresses []string
	for _, m := range candidates[:min(len(candidates), maxSuccessors)] {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

func pairHash(a, b model.HostID) uint64 { return xxhash.Sum64String(string(a) + "\x00" + string(b)) }

func isOut(catalogue *model.Catalogue, m membership.Member) bool {
	if catalogue == nil {
		return false
	}
	hostOut := slices.ContainsFunc(catalogue.HostsOut, func(h model.HostOut) bool { return h.ID == m.ID })
	centreOut := slices.ContainsFunc(catalogue.DataCentresOut, func(d model.DataCentreOut) bool { return d.ID == m.DataCentre })
	return hostOut || centreOut
}

const (
	// servicePoll is the time between two looks whether this host is in service. Work ends 3 s after it is taken out.
	servicePoll   = 250 * time.Millisecond
	ledgerTimeout = 5 * time.Second
)

// followService hands the ledgers over when operators take this host or its data centre out of service, and starts an
// empty one when it returns, until the context ends.
func (s *Server) followService(ctx context.Context, engine *execute.Engine, view control.View) {
	self := membership.Member{ID: s.settings.HostID, DataCentre: s.settings.DataCentre}
	wasOut := false
	for ; ctx.Err() == nil; pause(ctx, servicePoll) {
		out := isOut(view.Catalogue(), self)
		switch {
		case out && !wasOut:
			s.handOverLedgers(ctx, engine, view)
		case wasOut && !out:
			engine.Reopen(model.Incarnation(time.Now().UnixNano()))
		}
		wasOut = out
	}
}

// handOverLedgers gives the ledgers to another host that is alive and in service.
func (s *Server) handOverLedgers(ctx context.Context, engine *execute.Engine, view control.View) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	engine.HandOver(ctx, successors(s.settings.HostID, view.Members(), view.Catalogue()))
}
