package server

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/duty"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// leaveTimeout limits the wait for the control loop to accept the leave announcement.
const leaveTimeout = time.Second

// setUpGates creates the gates, adds their state dumps, and registers stop hooks that return loans and announce the leave.
// It must be called before the transport and the control loop start.
func (s *Server) setUpGates(incarnation model.Incarnation) {
	if s.fleet.control == nil {
		return // Run fails with fleet.err
	}
	s.gates = newGates(s.logger, s.settings.HostID, incarnation, s.fleet.control, s.fleet.transport)
	s.operator.dumps.Add("limits", s.gates.dumpShares)
	s.operator.dumps.Add("targets", s.gates.dumpTargets)
	s.stopHooks.handOver = append(s.stopHooks.handOver, s.gates.returnLoans)
	s.stopHooks.announceLeave = s.announceLeave
}

// startGates starts the background tasks of the gates. They run until the context ends.
func (s *Server) startGates(ctx context.Context, tasks *conc.WaitGroup) {
	tasks.Go(func() { duty.Run(ctx, s.logger, "gates", s.gates.run) })
	tasks.Go(func() { duty.Run(ctx, s.logger, "fetch evidence", s.gates.fetchEvidence) })
}

// targetGate returns the gate of targets, or nil if the server can't start because the setup failed.
func (s *Server) targetGate() gate.TargetGate {
	if s.gates == nil {
		return nil
	}
	return s.gates
}

// callerLimits returns the limits of callers, or nil if the server can't start because the setup failed.
func (s *Server) callerLimits() gate.CallerLimits {
	if s.gates == nil {
		return nil
	}
	return s.gates
}

// observeStatus passes a target's status report to the gates.
func (s *Server) observeStatus(status model.TargetStatus, askedAt time.Time) {
	if s.gates != nil {
		s.gates.ObserveStatus(status, askedAt)
	}
}

// announceLeave notifies the other hosts that this incarnation of the host is leaving.
func (s *Server) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := s.fleet.control.Leave(ctx); err != nil {
		s.logger.Warn("leave not announced; other hosts will detect it by probing", zap.Error(err))
	}
}
