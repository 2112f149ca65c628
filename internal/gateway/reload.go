package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// reloadInterval is the interval at which the settings file is checked for changes made without a signal.
const reloadInterval = 5 * time.Second

// reload loads the settings on each signal and at every reloadInterval, and applies them if they have changed. If they
// cannot be loaded, the previous ones stay in force.
func (g *Gateway) reload(ctx context.Context, signalled <-chan struct{}, load func() (Settings, error)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-signalled:
			g.logger.Info("reload asked for")
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s, err := load()
		if err != nil {
			g.logger.Error("settings not reloaded: the former ones stay in force", zap.Error(err))
			continue
		}
		if s != g.settings {
			g.apply(s)
		}
	}
}

// apply applies the settings that can change at run time.
func (g *Gateway) apply(s Settings) {
	live := g.settings
	live.ExtraRatio, live.ExtraSlack, live.StopSeconds = s.ExtraRatio, s.ExtraSlack, s.StopSeconds
	g.engine.SetBudget(s.ExtraRatio, s.ExtraSlack)
	g.stopper.setGracePeriod(s.StopSeconds)
	g.logger.Info("settings reloaded", zap.Float64("extra_ratio", s.ExtraRatio), zap.Float64("extra_slack", s.ExtraSlack),
		zap.Float64("stop_seconds", s.StopSeconds))
	if live != s {
		g.logger.Warn("other settings have changed too: they take effect at the next start", zap.Any("settings", s))
	}
	g.settings = s
}
