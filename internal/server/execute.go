package server

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/control"
	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
	"github.com/knapweedrouter/knapweedrouter/internal/ticket"
)

// setUpExecutor creates the engine that executes operations, and adds its state dumps and the stop hook that hands over its
// ledgers. It must be called before the transport and the control loop start.
func (s *Server) setUpExecutor(incarnation model.Incarnation) {
	if s.fleet.control == nil {
		return // Run fails with fleet.err
	}
	s.executor = s.newExecutor(incarnation, s.fleet.transport, s.fleet.control)
	s.guard.serveSnapshots(s.fleet.transport)
	s.operator.dumps.Add("admission", func() any { return s.admitter.load() })
	s.operator.dumps.Add("quarantine", func() any { return s.guard.statistics() })
	s.operator.dumps.Add("tickets", func() any { return s.executor.Statistics() })
	s.stopHooks.handOver = append(s.stopHooks.handOver, func(ctx context.Context) {
		s.handOverLedgers(ctx, s.executor, s.fleet.control)
	})
}

// refusalFor returns the refusal of a request that no subsystem has examined. For an operation the execution is unknown,
// because an earlier copy of it may have run.
func refusalFor(r *http.Request, reason *fault.Error) *fault.Error {
	if r.URL.Path == callerapi.PathExecute {
		return callerapi.WithUnknownOutcome(reason)
	}
	return reason
}

// newExecutor returns an engine that announces ledger moves to all hosts.
func (s *Server) newExecutor(incarnation model.Incarnation, transport peer.Transport, view control.View) *execute.Engine {
	cfg := execute.Config{
		Self:      ticket.Origin{Host: s.settings.HostID, Incarnation: incarnation},
		Address:   s.settings.PeerListen,
		Signer:    s.newSigner(),
		Targets:   s.ports.Targets,
		Transport: transport,
		View:      view,
		Gate:      s.targetGate(),
		Guard:     s.guard,
		Admission: s.admitter,
		Announce:  func(move execute.Move) { s.announceMove(view, move) },
	}
	s.guard.connect(view.Publish, view.Subscribe)
	engine := execute.New(s.logger, cfg)
	view.Subscribe(rumor.TopicLedger, func(notice rumor.Notice) {
		var move execute.Move
		if err := msgpack.Unmarshal(notice.Payload, &move); err == nil {
			engine.RecordMove(move)
		}
	})
	return engine
}

// newSigner returns a ticket signer that uses the fleet keys.
func (s *Server) newSigner() *ticket.Signer {
	signer, err := ticket.NewSigner(s.fleet.keys...)
	if err != nil {
		panic(err) // can't happen: setUpFleet always sets at least one key
	}
	return signer
}

func (s *Server) announceMove(view control.View, move execute.Move) {
	payload, err := msgpack.Marshal(move)
	if err != nil {
		s.logger.Error("cannot encode ledger move", zap.Error(err))
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

// maxSuccessors limits the number of hosts that are asked to take over the ledgers.
const maxSuccessors = 4

// successors returns the addresses of the hosts that may take over the ledgers of self. The order depends on self, so that
// the hosts of a data centre that is taken out of service don't all hand their ledgers to the same host.
func successors(self model.HostID, members []membership.Member, catalogue *model.Catalogue) []string {
	candidates := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.ID == self || m.State != membership.Alive || catalogue != nil && isHostOut(catalogue, m.ID, m.DataCentre)
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

// ledgerTimeout limits the duration of a ledger hand-over.
const ledgerTimeout = 5 * time.Second

// handOverLedgers transfers the ledgers to another host that is alive and in service.
func (s *Server) handOverLedgers(ctx context.Context, engine *execute.Engine, view control.View) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	engine.HandOver(ctx, successors(s.settings.HostID, view.Members(), view.Catalogue()))
}
