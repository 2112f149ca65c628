package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
)

const (
	// hostStopTimeout bounds a planned stop: 2 s until the load balancer has noticed, and the searches in progress.
	hostStopTimeout = 6 * time.Second
	// steadyDuration is the time under load before the stop and after the restart.
	steadyDuration = 500 * time.Millisecond
)

// restart performs a planned stop of a host under load and starts it again. No search may be cut off.
func (c *checker) restart(ctx context.Context) (string, error) {
	host := c.env.Hosts[0]
	op, err := c.execute(ctx, host, c.env.Catalogue.Services[0].ID)
	if err != nil {
		return "", err
	}
	load := c.env.startLoad(ctx, c.client)
	stopped, back, err := c.stopAndStart(ctx, host)
	outcomes := load.finish()
	if err != nil {
		return "", err
	}
	answers, err := c.checkLoad(outcomes)
	if err != nil {
		return "", err
	}
	if err := c.resend(ctx, c.env.Hosts[1], op); err != nil {
		return "", fmt.Errorf("operation executed before the stop: %w", err)
	}
	if err := c.checkRanOnce([]operation{op}); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s stopped in %d ms and was ready %d ms after its start, its ledger was preserved; %s",
		host.Settings.HostID, stopped.Milliseconds(), back.Milliseconds(), answers), nil
}

func (c *checker) stopAndStart(ctx context.Context, host *Host) (stopped, back time.Duration, err error) {
	if err := ctxtime.Sleep(ctx, steadyDuration); err != nil {
		return 0, 0, err
	}
	began := time.Now()
	host.stop()
	select {
	case <-host.done:
	case <-time.After(hostStopTimeout):
		return 0, 0, fmt.Errorf("%s did not stop within %s", host.Settings.HostID, hostStopTimeout)
	}
	stopped = time.Since(began)
	if host.err != nil {
		return 0, 0, fmt.Errorf("%s: %w", host.Settings.HostID, host.err)
	}
	began = time.Now()
	c.env.startHost(host)
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.client.awaitReady(ready, []*Host{host}); err != nil {
		return 0, 0, err
	}
	back = time.Since(began)
	return stopped, back, ctxtime.Sleep(ctx, steadyDuration)
}
