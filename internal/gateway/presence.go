package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// presenceTTL is the time after which a host that does not renew its registration is taken to have left.
	presenceTTL     = 9 * time.Second
	presenceRenewal = presenceTTL / 3
	presenceTimeout = time.Second
	presenceRetry   = time.Second
)

// hostRecord is what a host registers in the store.
type hostRecord struct {
	DataCentre  model.DataCentreID `json:"data_centre"`
	Incarnation model.Incarnation  `json:"incarnation"`
}

// presence keeps this host registered under a lease, so that the hosts know among how many they divide shared budgets.
type presence struct {
	logger *zap.Logger
	feed   store.Feed
	host   model.HostID
	record hostRecord

	lease store.LeaseID
}

// run keeps the registration until the context ends.
func (p *presence) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := presenceRenewal
		if err := p.keep(ctx); err != nil && ctx.Err() == nil {
			p.logger.Warn("host registration not renewed", zap.Error(err))
			pause = presenceRetry
		}
		_ = ctxtime.Sleep(ctx, pause) // the loop ends with the context
	}
}

// keep renews the lease, or registers under a new one.
func (p *presence) keep(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, presenceTimeout)
	defer cancel()
	if p.lease != 0 {
		err := p.feed.Renew(bounded, p.lease)
		if !errors.Is(err, store.ErrLeaseEnded) {
			return err
		}
		p.logger.Info("host registration lapsed", zap.Uint64("lease", uint64(p.lease)))
		p.lease = 0
	}
	lease, err := p.feed.Grant(bounded, presenceTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(p.record)
	if err != nil {
		return err
	}
	if err := p.feed.Put(bounded, hostPrefix+string(p.host), value, lease); err != nil {
		return err
	}
	p.lease = lease
	return nil
}
