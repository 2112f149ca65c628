package server

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/control"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// outPollInterval is the interval at which the catalogue is checked for whether this host is in service. New work for the
// host ends within 3 s after it is taken out of service.
const outPollInterval = 100 * time.Millisecond

// watchOut makes this host not ready while operators have taken it or its data centre out of service, and ready again
// afterwards. Work in progress completes, and after balancerWait new work is refused as not run. The ledgers are handed over
// to another host; when this host returns, it starts with an empty ledger.
func (s *Server) watchOut(ctx context.Context, engine *execute.Engine, view control.View) {
	for ; ctx.Err() == nil; ctxtime.Sleep(ctx, outPollInterval) {
		catalogue := view.Catalogue()
		if catalogue == nil {
			continue
		}
		out := isHostOut(catalogue, s.settings.HostID, s.settings.DataCentre)
		if !s.stopper.setOut(out) {
			continue
		}
		s.logger.Info("service of this host changed", zap.Bool("out", out), zap.Uint64("generation", uint64(catalogue.Generation)))
		if out {
			s.handOverLedgers(ctx, engine, view)
		} else {
			engine.Reopen(model.Incarnation(time.Now().UnixNano()))
		}
	}
}

// setOut records whether the host is out of service and reports whether that has changed.
func (s *stopper) setOut(out bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if out == !s.outSince.IsZero() {
		return false
	}
	s.outSince = time.Time{}
	if out {
		s.outSince = time.Now()
	}
	return true
}

func isHostOut(c *model.Catalogue, host model.HostID, centre model.DataCentreID) bool {
	return slices.ContainsFunc(c.HostsOut, func(out model.HostOut) bool { return out.ID == host }) ||
		slices.ContainsFunc(c.DataCentresOut, func(out model.DataCentreOut) bool { return out.ID == centre })
}
