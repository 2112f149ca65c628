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

// link is a TargetClient that reaches the stand-ins in memory, with the delays, connection limits and connect times of
// the deployment.
type link struct {
	world *world
	from  model.DataCentreID

	mu    sync.Mutex
	pools map[model.TargetID]*connections
}

type connections struct {
	free  int
	open  int
	limit int
	ready chan struct{}
}

func newLink(w *world, from model.DataCentreID) *link {
	return &link{world: w, from: from, pools: map[model.TargetID]*connections{}}
}

// Search implements targetclient.TargetClient.
func (l *link) Search(ctx context.Context, t model.Target, r targetclient.SearchRequest) (targetclient.SearchReply, error) {
	return carry(ctx, l, t, func(ctx context.Context, s *target.Target) (targetclient.SearchReply, error) {
		return s.Search(ctx, r)
	})
}

// Execute implements targetclient.TargetClient.
func (l *link) Execute(ctx context.Context, t model.Target, r targetclient.ExecuteRequest) (targetclient.ExecuteReply, error) {
	return carry(ctx, l, t, func(ctx context.Context, s *target.Target) (targetclient.ExecuteReply, error) {
		return s.Execute(ctx, r)
	})
}

// Cancel implements targetclient.TargetClient.
func (l *link) Cancel(ctx context.Context, t model.Target, attempt model.AttemptID) error {
	if err := ctxtime.Sleep(ctx, l.delay(t)); err != nil {
		return err
	}
	l.world.targets[t.ID].Cancel(attempt)
	return nil
}

// Status implements targetclient.TargetClient.
func (l *link) Status(ctx context.Context, t model.Target) (model.TargetStatus, error) {
	if err := ctxtime.Sleep(ctx, 2*l.delay(t)); err != nil {
		return model.TargetStatus{}, err
	}
	if !l.world.targets[t.ID].Available() {
		return model.TargetStatus{}, targetclient.ErrNotSent
	}
	return l.world.targets[t.ID].Status(), nil
}

func (l *link) delay(t model.Target) time.Duration {
	if t.DataCentre == l.from {
		return localDelay
	}
	return milliseconds(l.world.deployment.DelayBetweenMS)
}

// carry takes a connection, brings the request over, runs it and brings the reply back. When the context ends during
// the work the connection is closed, and the target goes on until the attempt's deadline or a cancel request.
func carry[R any](ctx context.Context, l *link, t model.Target, run func(context.Context, *target.Target) (R, error)) (R, error) {
	var none R
	if err := l.take(ctx, t); err != nil {
		return none, targetclient.ErrNotSent
	}
	if err := ctxtime.Sleep(ctx, l.delay(t)); err != nil {
		l.put(t, false)
		return none, targetclient.ErrLost
	}
	type outcome struct {
		reply R
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		reply, err := run(context.WithoutCancel(ctx), l.world.targets[t.ID])
		time.Sleep(l.delay(t))
		done <- outcome{reply, err}
	}()
	select {
	case o := <-done:
		l.put(t, true)
		return o.reply, o.err
	case <-ctx.Done():
		l.put(t, false)
		return none, targetclient.ErrSilent
	}
}

func (l *link) pool(t model.Target) *connections {
	if l.pools[t.ID] == nil {
		limit := max(1, t.Connections/len(l.world.hosts))
		l.pools[t.ID] = &connections{limit: limit, ready: make(chan struct{}, limit)}
	}
	return l.pools[t.ID]
}

// take gets a free connection, opens one, or waits for one.
func (l *link) take(ctx context.Context, t model.Target) error {
	l.mu.Lock()
	p := l.pool(t)
	if p.free > 0 {
		p.free--
		l.mu.Unlock()
		return ctx.Err()
	}
	if p.open < p.limit {
		p.open++
		l.mu.Unlock()
		if err := ctxtime.Sleep(ctx, milliseconds(t.ConnectTimeMS)); err != nil {
			l.put(t, false)
			return err
		}
		return nil
	}
	l.mu.Unlock()
	select {
	case <-p.ready:
		return l.take(ctx, t)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// put returns a connection, or closes it.
func (l *link) put(t model.Target, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(t)
	if whole {
		p.free++
	} else {
		p.open--
	}
	select {
	case p.ready <- struct{}{}:
	default:
	}
}
