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

// connectionKeeper is a target client that can end the connections to targets that have left the catalogue.
type connectionKeeper interface{ KeepOnly(targets []model.Target) }

// pollStatuses asks every target for its report, again and again.
func (s *Server) pollStatuses(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		if catalogue := s.Catalogue(); catalogue != nil {
			if keeper, ok := s.ports.Targets.(connectionKeeper); ok {
				keeper.KeepOnly(catalogue.Targets)
			}
			s.pollOnce(ctx, catalogue.Targets)
			s.operator.polled.Store(true)
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
			asked := time.Now()
			status, err := s.ports.Targets.Status(ctx, target)
			switch {
			case err == nil:
				s.inventory.Put(status)
				s.guard.seen(status)
				s.observeStatus(status, asked)
			case s.gates != nil && isUnreachable(err):
				s.gates.observeUnreachable(target.ID)
			}
		})
	}
	pollers.Wait()
	s.guard.forget(targets)
}

// isUnreachable tells whether the target refuses connections. A report that only takes long says nothing: the target may be
// busy.
func isUnreachable(err error) bool {
	refused := errors.Is(err, targetclient.ErrNotSent) || errors.Is(err, targetclient.ErrLost)
	return refused && !errors.Is(err, context.DeadlineExceeded)
}

// heardFromTargets returns nil once every target was asked for its report. Before that, answers would miss shards.
func (s *Server) heardFromTargets() error {
	if !s.operator.polled.Load() {
		return fault.New(fault.NotReady, fault.NotRun, "use another host", "this host has not heard from the targets yet")
	}
	return nil
}
