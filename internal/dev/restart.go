package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
)

const (
	// stopLimit is the longest time for a planned stop: 2 s for the balancer, and the searches in progress.
	stopLimit = 6 * time.Second
	// steadyPeriod is the time under load before and after a stop.
	steadyPeriod = 500 * time.Millisecond
)

// restart stops a host as planned under load and starts it again. No search may be cut.
func (c *checker) restart(ctx context.Context) (string, error) {
	host := c.env.Hosts[0]
	op, err := c.execute(ctx, host, c.env.Catalogue.Services[0].ID)
	if err != nil {
		return "", err
	}
	load := c.env.startLoad(ctx, c.traffic)
	stopped, back, err := c.stopAndStart(ctx, host)
	outcomes := load.finish()
	if err != nil {
		return "", err
	}
	answers, err := c.checkLoad(outcomes)
	if err != nil {
		return "", err
	}
	if err := c.repeat(ctx, c.env.Hosts[1], op); err != nil {
		return "", fmt.Errorf("an operation from before the stop: %w", err)
	}
	if err := c.checkOnce([]operation{op}); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s stopped in %d ms and was ready again %d ms after its start, its ledger was kept; %s",
		host.Settings.HostID, stopped.Milliseconds(), back.Milliseconds(), answers), nil
}

func (c *checker) stopAndStart(ctx context.Context, host *Host) (stopped, back time.Duration, err error) {
	if err := ctxtime.Sleep(ctx, steadyPeriod); err != nil {
		return 0, 0, err
	}
	began := time.Now()
	host.stop()
	select {
	case <-host.done:
	case <-time.After(stopLimit):
		return 0, 0, fmt.Errorf("%s did not stop within %s", host.Settings.HostID, stopLimit)
	}
	stopped = time.Since(began)
	if host.err != nil {
		return 0, 0, fmt.Errorf("%s: %w", host.Settings.HostID, host.err)
	}
	began = time.Now()
	c.env.startHost(host)
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.traffic.awaitReady(ready, []*Host{host}); err != nil {
		return 0, 0, err
	}
	back = time.Since(began)
	return stopped, back, ctxtime.Sleep(ctx, steadyPeriod)
}
