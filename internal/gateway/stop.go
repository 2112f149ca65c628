package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/lastanswer"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
)

const (
	// balancerDelay is how long the load balancer may take to notice that this host is not ready.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is how long before the process would be killed it exits by itself.
	stopMargin = 400 * time.Millisecond
	// refuseMargin is how long before that exit new requests are refused, because most could not be answered in time.
	refuseMargin = 1200 * time.Millisecond
	// cutoffMargin is how long before that exit requests in progress get their final answer.
	cutoffMargin = 200 * time.Millisecond
	stopPoll     = 20 * time.Millisecond
	// idlePeriod is how long without a request until callers are assumed to have stopped using this host.
	idlePeriod = 600 * time.Millisecond
)

// stopper implements graceful shutdown: within the grace period, requests in progress get their answers and new ones are
// served or refused as not run.
type stopper struct {
	// gracePeriod is the time in ns from the stop signal to the kill.
	gracePeriod atomic.Int64
	stopping    atomic.Bool
	// cutoffAt is the monotime reading at which requests in progress get their final answer; set once stopping is.
	cutoffAt    atomic.Int64
	inFlight    atomic.Int64
	lastRequest atomic.Int64 // a monotime reading
	done        chan struct{}
	// cutoff ends with the cause errStopping when requests in progress must be answered.
	cutoff       context.Context
	cancelCutoff context.CancelCauseFunc
}

// errStopping is the error for requests refused while the host stops, and the cause of the cutoff.
var errStopping = fault.New(fault.Stopping, fault.NotRun, "use another host", "this host is stopping").WithRetryAfter(stoppingRetryAfter)

// stoppingRetryAfter is the Retry-After value during a stop: another host can take the request after it.
const stoppingRetryAfter = 20 * time.Millisecond

func newStopper(seconds float64) *stopper {
	s := &stopper{done: make(chan struct{})}
	s.cutoff, s.cancelCutoff = context.WithCancelCause(context.Background())
	s.setGracePeriod(seconds)
	return s
}

// setGracePeriod sets the time from the stop signal to the kill.
func (s *stopper) setGracePeriod(seconds float64) {
	s.gracePeriod.Store(int64(seconds * float64(time.Second)))
}

func (s *stopper) isStopping() bool { return s.stopping.Load() }

// refusal returns the error for new requests, or nil if they are accepted.
func (s *stopper) refusal() *fault.Error {
	return s.refusalOf(refuseMargin - cutoffMargin)
}

// refusalOf returns the error for a request that may take the given time, or nil if it can be answered before the cutoff.
// Another host can still take a request that is refused, but not one that is broken off while a target works on it.
func (s *stopper) refusalOf(needed time.Duration) *fault.Error {
	if s.isStopping() && monotime.Now()+needed > time.Duration(s.cutoffAt.Load()) {
		return errStopping
	}
	return nil
}

// enter counts a request in progress until the returned function is called.
func (s *stopper) enter() (leave func()) {
	s.inFlight.Add(1)
	s.lastRequest.Store(int64(monotime.Now()))
	return func() { s.inFlight.Add(-1) }
}

// withCutoff returns a context that also ends, with the cause errStopping, when requests in progress must be answered.
func (s *stopper) withCutoff(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(s.cutoff, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// track counts requests in progress. During a stop each response closes its connection, so that no caller sends a
// request on a connection that is about to be closed.
func (s *stopper) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer s.enter()()
		next.ServeHTTP(lastanswer.NewWriter(w, s.isStopping), r)
	})
}

// run takes the host out of service: it becomes not ready and announces that it is leaving, waits for the load balancer
// and for callers still using their connections, and then closes the listener and idle connections.
func (s *stopper) run(ctx context.Context, logger *zap.Logger, server *http.Server, leave func(context.Context)) {
	defer close(s.done)
	started := time.Now()
	s.lastRequest.Store(int64(monotime.Now()))
	s.cutoffAt.Store(int64(monotime.Now()) + s.gracePeriod.Load() - int64(stopMargin+cutoffMargin))
	s.stopping.Store(true)
	logger.Info("planned stop: not ready", zap.Int64("in_progress", s.inFlight.Load()))
	go leave(ctx)
	latest := started.Add(time.Duration(s.gracePeriod.Load()) - stopMargin)
	final := time.AfterFunc(time.Until(latest.Add(-cutoffMargin)), func() { s.cancelCutoff(errStopping) })
	defer final.Stop()
	for time.Now().Before(latest) && !s.isIdle(started) && ctx.Err() == nil {
		_ = ctxtime.Sleep(ctx, stopPoll) // the loop ends with the context
	}
	bounded, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	if err := server.Shutdown(bounded); err != nil {
		logger.Error("planned stop: requests are cut", zap.Int64("in_progress", s.inFlight.Load()), zap.Error(err))
		server.Close()
	}
	logger.Info("planned stop: done", zap.Duration("took", time.Since(started)))
}

// isIdle reports whether balancerDelay has passed and no request is in progress or was received recently.
func (s *stopper) isIdle(started time.Time) bool {
	now := time.Now()
	return now.Sub(started) >= balancerDelay && s.inFlight.Load() == 0 &&
		monotime.Now()-time.Duration(s.lastRequest.Load()) >= idlePeriod
}

// wait blocks until a graceful shutdown that has started is complete.
func (s *stopper) wait(ctx context.Context) {
	if !s.isStopping() {
		return
	}
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}
