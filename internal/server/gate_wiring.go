package server

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// leaveTimeout bounds the wait for the control loop to take the announcement of the leave.
const leaveTimeout = time.Second

// joinGates makes the gates, adds their dumps, and lets a planned stop return loans and announce the leave. It is called
// before the transport and the control loop start.
func (s *Server) joinGates(incarnation model.Incarnation) {
	if s.fleet.control == nil {
		return // the server does not start
	}
	s.gates = newGates(s.logger, s.settings.HostID, incarnation, s.fleet.control, s.fleet.transport)
	s.operator.dumps.Add("limits", s.gates.dumpShares)
	s.operator.dumps.Add("targets", s.gates.dumpTargets)
	s.stopHooks.handOver = append(s.stopHooks.handOver, s.gates.handOver)
	s.stopHooks.announceLeave = s.announceLeave
}

// startGates starts the duties of the gates. They end with the context.
func (s *Server) startGates(ctx context.Context, duties *conc.WaitGroup) {
	duties.Go(func() { s.gates.run(ctx) })
	duties.Go(func() { s.gates.fetchEvidence(ctx) })
}

// targetGate returns the gate of targets; nil for a server that does not start.
func (s *Server) targetGate() gate.TargetGate {
	if s.gates == nil {
		return nil
	}
	return s.gates
}

// callerLimits returns the limits of callers; nil for a server that does not start.
func (s *Server) callerLimits() gate.CallerLimits {
	if s.gates == nil {
		return nil
	}
	return s.gates
}

// observeStatus gives a target's report to the gates.
func (s *Server) observeStatus(status model.TargetStatus, asked time.Time) {
	if s.gates != nil {
		s.gates.ObserveStatus(status, asked)
	}
}

// announceLeave tells the other hosts that this run of the host is leaving.
func (s *Server) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := s.fleet.control.Leave(ctx); err != nil {
		s.logger.Warn("leave not announced; the others find out by probing", zap.Error(err))
	}
}
