package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/control"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	headKey        = "head"
	storeRetryWait = 200 * time.Millisecond
)

// followConfiguration applies each new generation of the catalogue.
func (s *Server) followConfiguration(ctx context.Context) {
	var after store.Revision
	for ctx.Err() == nil {
		entry, err := s.ports.Store.Watch(ctx, headKey, after)
		if err != nil {
			pause(ctx, storeRetryWait)
			continue
		}
		catalogue, _, err := control.ReadCatalogue(ctx, s.ports.Store)
		if err != nil {
			s.logger.Error("configuration", zap.Error(err))
			pause(ctx, storeRetryWait)
			continue
		}
		after = entry.Revision
		s.apply(catalogue)
	}
}

func (s *Server) apply(catalogue *model.Catalogue) {
	if current := s.Catalogue(); current != nil && current.Generation >= catalogue.Generation {
		return
	}
	s.catalogue.Store(catalogue)
	s.operator.applied(catalogue.Generation)
	s.logger.Info("configuration in force", zap.Uint64("generation", uint64(catalogue.Generation)))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
