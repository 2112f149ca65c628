package server

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const statusPollers = 16

// connectionPruner is a target client that can close the connections to targets that are no longer in the catalogue.
type connectionPruner interface{ KeepOnly(targets []model.Target) }

// pollStatuses polls the status of every target periodically until the context ends.
func (s *Server) pollStatuses(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		if catalogue := s.Catalogue(); catalogue != nil {
			if pruner, ok := s.ports.Targets.(connectionPruner); ok {
				pruner.KeepOnly(catalogue.Targets)
			}
			s.pollOnce(ctx, catalogue.Targets)
			s.operator.targetsPolled.Store(true)
		}
		ctxtime.Sleep(ctx, statusPollInterval-time.Since(started))
	}
}

func (s *Server) pollOnce(ctx context.Context, targets []model.Target) {
	pollers := pool.New().WithMaxGoroutines(statusPollers)
	for _, target := range targets {
		pollers.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			askedAt := time.Now()
			status, err := s.ports.Targets.Status(ctx, target)
			switch {
			case err == nil:
				s.inventory.Put(status)
				s.guard.observeStatus(status)
				s.observeStatus(status, askedAt)
			case s.gates != nil && isUnreachable(err):
				s.gates.observeUnreachable(target.ID)
			}
		})
	}
	pollers.Wait()
	s.guard.retainTargets(targets)
}

// isUnreachable reports whether the error shows that the target refuses connections. A timeout doesn't, because the target
// may be busy.
func isUnreachable(err error) bool {
	refused := errors.Is(err, targetclient.ErrNotSent) || errors.Is(err, targetclient.ErrLost)
	return refused && !errors.Is(err, context.DeadlineExceeded)
}

// checkTargetsPolled returns nil once every target has been polled. Before that, answers would lack shards.
func (s *Server) checkTargetsPolled() error {
	if !s.operator.targetsPolled.Load() {
		return fault.New(fault.NotReady, fault.NotRun, "use another host", "this host has not heard from the targets yet")
	}
	return nil
}
