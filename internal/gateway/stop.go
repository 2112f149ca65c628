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
	// balancerWait is the time that the balancer needs to notice that this host is not ready.
	balancerWait = 2500 * time.Millisecond
	// stopMargin is the time before the process would be killed at which it ends by itself.
	stopMargin = 400 * time.Millisecond
	// refuseMargin is the time before that end from which new requests are refused: most would not be answered in time.
	refuseMargin = 1200 * time.Millisecond
	// finalMargin is the time before that end at which requests in progress get their final answer.
	finalMargin = 200 * time.Millisecond
	stopPoll    = 20 * time.Millisecond
	// quietTime is the time without a request after which no caller is taken to use this host any more.
	quietTime = 600 * time.Millisecond
)

// stopper carries out a planned stop, which cuts no request.
type stopper struct {
	// allowed is the time in ns from the signal to the kill.
	allowed  atomic.Int64
	stopping atomic.Bool
	refusing atomic.Bool
	running  atomic.Int64
	lastSeen atomic.Int64 // as monotime reads it
	done     chan struct{}
	// final ends with the cause errStopping when requests in progress have to be answered.
	final    context.Context
	endFinal context.CancelCauseFunc
}

// errStopping is the refusal of a host that stops.
var errStopping = fault.New(fault.Stopping, fault.NotRun, "use another host", "this host is stopping").WithRetryAfter(minRetry)

// minRetry is the time after which another host can take a request.
const minRetry = 20 * time.Millisecond

func newStopper(seconds float64) *stopper {
	s := &stopper{done: make(chan struct{})}
	s.final, s.endFinal = context.WithCancelCause(context.Background())
	s.setAllowed(seconds)
	return s
}

// setAllowed sets the time from the signal to the kill.
func (s *stopper) setAllowed(seconds float64) { s.allowed.Store(int64(seconds * float64(time.Second))) }

func (s *stopper) isStopping() bool { return s.stopping.Load() }

// refusal returns the reason why this host takes no new request, or nil.
func (s *stopper) refusal() *fault.Error {
	if s.refusing.Load() {
		return errStopping
	}
	return nil
}

// wrap counts requests. While the host stops each answer closes its connection, so that no caller sends a request over a
// connection that this host is about to close.
func (s *stopper) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		s.lastSeen.Store(int64(monotime.Now()))
		next.ServeHTTP(lastanswer.Writer(w, s.isStopping), r)
	})
}

// run takes the host out of service: not ready and leaving, then a wait for the balancer and for callers that still use their
// connections, then the end of the listener and of idle connections.
func (s *stopper) run(ctx context.Context, logger *zap.Logger, server *http.Server, leave func(context.Context)) {
	defer close(s.done)
	started := time.Now()
	s.lastSeen.Store(int64(monotime.Now()))
	s.stopping.Store(true)
	logger.Info("planned stop: not ready", zap.Int64("in_progress", s.running.Load()))
	go leave(ctx)
	latest := started.Add(time.Duration(s.allowed.Load()) - stopMargin)
	refuse := time.AfterFunc(time.Until(latest.Add(-refuseMargin)), func() { s.refusing.Store(true) })
	defer refuse.Stop()
	final := time.AfterFunc(time.Until(latest.Add(-finalMargin)), func() { s.endFinal(errStopping) })
	defer final.Stop()
	for time.Now().Before(latest) && !s.isQuiet(started) && ctx.Err() == nil {
		_ = ctxtime.Sleep(ctx, stopPoll) // the loop ends with the context
	}
	bounded, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	if err := server.Shutdown(bounded); err != nil {
		logger.Error("planned stop: requests are cut", zap.Int64("in_progress", s.running.Load()), zap.Error(err))
		server.Close()
	}
	logger.Info("planned stop: done", zap.Duration("took", time.Since(started)))
}

// isQuiet tells whether the balancer has had its time and no request is in progress or came lately.
func (s *stopper) isQuiet(started time.Time) bool {
	now := time.Now()
	return now.Sub(started) >= balancerWait && s.running.Load() == 0 &&
		monotime.Now()-time.Duration(s.lastSeen.Load()) >= quietTime
}

// wait returns when a planned stop that has begun is complete.
func (s *stopper) wait(ctx context.Context) {
	if !s.isStopping() {
		return
	}
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}
