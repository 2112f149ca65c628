package bench

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// simulatedClient is a TargetClient that calls the stand-ins in memory and simulates the network delays, connection
// limits and connect times of the deployment.
type simulatedClient struct {
	env  *environment
	from model.DataCentreID

	mu    sync.Mutex
	pools map[model.TargetID]*connectionPool
}

// connectionPool counts the connections from one host to one target.
type connectionPool struct {
	free  int
	open  int
	limit int
	// released receives a value when a connection is returned or closed.
	released chan struct{}
}

func newSimulatedClient(env *environment, from model.DataCentreID) *simulatedClient {
	return &simulatedClient{env: env, from: from, pools: map[model.TargetID]*connectionPool{}}
}

// Search implements targetclient.TargetClient.
func (c *simulatedClient) Search(ctx context.Context, t model.Target, r targetclient.SearchRequest) (targetclient.SearchReply, error) {
	return roundTrip(ctx, c, t, func(ctx context.Context, s *target.Target) (targetclient.SearchReply, error) {
		return s.Search(ctx, r)
	})
}

// Execute implements targetclient.TargetClient.
func (c *simulatedClient) Execute(ctx context.Context, t model.Target, r targetclient.ExecuteRequest) (targetclient.ExecuteReply, error) {
	return roundTrip(ctx, c, t, func(ctx context.Context, s *target.Target) (targetclient.ExecuteReply, error) {
		return s.Execute(ctx, r)
	})
}

// Cancel implements targetclient.TargetClient.
func (c *simulatedClient) Cancel(ctx context.Context, t model.Target, attempt model.AttemptID) error {
	if err := ctxtime.Sleep(ctx, c.delay(t)); err != nil {
		return err
	}
	c.env.targets[t.ID].Cancel(attempt)
	return nil
}

// Status implements targetclient.TargetClient.
func (c *simulatedClient) Status(ctx context.Context, t model.Target) (model.TargetStatus, error) {
	if err := ctxtime.Sleep(ctx, 2*c.delay(t)); err != nil {
		return model.TargetStatus{}, err
	}
	if !c.env.targets[t.ID].Available() {
		return model.TargetStatus{}, targetclient.ErrNotSent
	}
	return c.env.targets[t.ID].Status(), nil
}

func (c *simulatedClient) delay(t model.Target) time.Duration {
	if t.DataCentre == c.from {
		return localDelay
	}
	return milliseconds(c.env.deployment.DelayBetweenMS)
}

// roundTrip acquires a connection, delays the request, runs it at the target and delays the reply. If the context ends
// meanwhile, the connection is closed, but the target continues until the attempt's deadline or a cancel request.
func roundTrip[R any](ctx context.Context, c *simulatedClient, t model.Target, run func(context.Context, *target.Target) (R, error)) (R, error) {
	var none R
	if err := c.acquire(ctx, t); err != nil {
		return none, targetclient.ErrNotSent
	}
	if err := ctxtime.Sleep(ctx, c.delay(t)); err != nil {
		c.release(t, false)
		return none, targetclient.ErrLost
	}
	type outcome struct {
		reply R
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		reply, err := run(context.WithoutCancel(ctx), c.env.targets[t.ID])
		time.Sleep(c.delay(t))
		done <- outcome{reply, err}
	}()
	select {
	case o := <-done:
		c.release(t, true)
		return o.reply, o.err
	case <-ctx.Done():
		c.release(t, false)
		return none, targetclient.ErrNoReply
	}
}

func (c *simulatedClient) pool(t model.Target) *connectionPool {
	if c.pools[t.ID] == nil {
		limit := max(1, t.Connections/len(c.env.hosts))
		c.pools[t.ID] = &connectionPool{limit: limit, released: make(chan struct{}, limit)}
	}
	return c.pools[t.ID]
}

// acquire takes an idle connection, opens a new one below the limit, or waits for one to be released.
func (c *simulatedClient) acquire(ctx context.Context, t model.Target) error {
	c.mu.Lock()
	p := c.pool(t)
	if p.free > 0 {
		p.free--
		c.mu.Unlock()
		return ctx.Err()
	}
	if p.open < p.limit {
		p.open++
		c.mu.Unlock()
		if err := ctxtime.Sleep(ctx, milliseconds(t.ConnectTimeMS)); err != nil {
			c.release(t, false)
			return err
		}
		return nil
	}
	c.mu.Unlock()
	select {
	case <-p.released:
		return c.acquire(ctx, t)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release returns a reusable connection to the pool and closes any other.
func (c *simulatedClient) release(t model.Target, reusable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(t)
	if reusable {
		p.free++
	} else {
		p.open--
	}
	select {
	case p.released <- struct{}{}:
	default:
	}
}
