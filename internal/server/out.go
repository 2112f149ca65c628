package server

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const outPoll = 100 * time.Millisecond

// followOut turns this host not-ready while operators have taken it or its data centre out of service, and ready again
// afterwards. Work in progress is finished, and after the balancer's wait new work is refused as not run.
func (s *Server) followOut(ctx context.Context) {
	for ; ctx.Err() == nil; ctxtime.Sleep(ctx, outPoll) {
		if catalogue := s.Catalogue(); catalogue != nil {
			out := isHostOut(catalogue, s.settings.HostID, s.settings.DataCentre)
			if s.stopper.setOut(out) {
				s.logger.Info("service of this host changed", zap.Bool("out", out),
					zap.Uint64("generation", uint64(catalogue.Generation)))
			}
		}
	}
}

// setOut records whether the host is out of service and tells whether that is new.
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
