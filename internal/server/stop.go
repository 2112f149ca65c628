package server

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/lastanswer"
)

const (
	// balancerWait is the time that the balancer needs to notice that this host is not ready.
	balancerWait = 2 * time.Second
	// finishTimeout bounds the wait for requests in progress. The longest deadline of a request is 10 s.
	finishTimeout = 30 * time.Second
	// handOverTimeout bounds the hand-over of state to other hosts.
	handOverTimeout = 5 * time.Second
	// quietTime is the time without a request after which no caller is taken to use this host any more.
	quietTime = 250 * time.Millisecond
	// quietTimeout bounds the wait for it.
	quietTimeout = 3 * time.Second
	stopPoll     = 10 * time.Millisecond
)

type stopPhase int

const (
	serving stopPhase = iota
	leaving
	refusing
)

// stopper counts the requests in progress and refuses new ones while the host stops.
type stopper struct {
	mu       sync.Mutex
	phase    stopPhase
	running  int
	lastSeen time.Time
	// outSince is the time at which operators took the host out of service; zero while it is in service.
	outSince time.Time
}

// current returns the phase that is in force: that of a planned stop, or of a host that is out of service.
func (s *stopper) current() stopPhase {
	switch {
	case s.outSince.IsZero():
		return s.phase
	case time.Since(s.outSince) < balancerWait:
		return max(s.phase, leaving)
	}
	return refusing
}

// wrap counts the requests of callers. While the host stops, each answer closes its connection, so that no caller sends
// a request over a connection that this host is about to close.
func (s *stopper) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			s.serveProbe(w, r, next)
			return
		}
		phase, reason := s.enter()
		if phase != serving {
			w.Header().Set("Connection", "close")
		}
		if phase == refusing {
			refuse(w, refusalOf(r, reason))
			return
		}
		defer s.leave()
		next.ServeHTTP(lastanswer.Writer(w, func() bool { return s.ready() != nil }), r)
	})
}

// serveProbe answers the balancer.
func (s *stopper) serveProbe(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if err := s.ready(); err != nil {
		w.Header().Set("Connection", "close")
		refuse(w, err)
		return
	}
	next.ServeHTTP(w, r)
}

// enter counts a request, unless it is to be refused for the reason.
func (s *stopper) enter() (phase stopPhase, reason *fault.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSeen = time.Now()
	phase = s.current()
	if phase != refusing {
		s.running++
	}
	return phase, s.reason()
}

func (s *stopper) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *stopper) set(phase stopPhase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = phase
}

// ready returns the reason why this host takes no new work, or nil.
func (s *stopper) ready() *fault.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reason()
}

// reason runs under the mutex.
func (s *stopper) reason() *fault.Error {
	switch {
	case s.phase != serving:
		return errStopping()
	case !s.outSince.IsZero():
		return errOut()
	}
	return nil
}

func (s *stopper) inProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *stopper) isQuiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastSeen) >= quietTime
}

// await waits until a condition holds, for a limited time.
func await(ctx context.Context, limit time.Duration, holds func() bool) bool {
	for start := time.Now(); !holds(); ctxtime.Sleep(ctx, stopPoll) {
		if time.Since(start) >= limit || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// stopHooks are the parts of a planned stop that other subsystems carry out, in this order.
type stopHooks struct {
	// handOver gives state to other hosts. New work is refused and none is in progress.
	handOver []func(ctx context.Context)
	// announceLeave tells the other hosts that this one has gone.
	announceLeave func()
}

// plannedStop takes the host out of service without cutting a request. The caller closes the listeners afterwards.
func (s *stopper) plannedStop(ctx context.Context, logger *zap.Logger, hooks stopHooks) {
	logger.Info("planned stop: not ready")
	s.set(leaving)
	ctxtime.Sleep(ctx, balancerWait)
	s.set(refusing)
	logger.Info("planned stop: refusing new work", zap.Int("in_progress", s.inProgress()))
	if !await(ctx, finishTimeout, func() bool { return s.inProgress() == 0 }) {
		logger.Error("planned stop: requests are still in progress", zap.Int("in_progress", s.inProgress()))
	}
	bounded, cancel := context.WithTimeout(ctx, handOverTimeout)
	for _, handOver := range hooks.handOver {
		handOver(bounded)
	}
	cancel()
	if hooks.announceLeave != nil {
		hooks.announceLeave()
	}
	await(ctx, quietTimeout, s.isQuiet)
	logger.Info("planned stop: done")
}

func errStopping() *fault.Error {
	return fault.New(fault.Stopping, fault.NotRun, "use another host", "this host is stopping")
}

func errOut() *fault.Error {
	return fault.New(fault.NotReady, fault.NotRun, "use another host", "operators have taken this host out of service")
}

func refuse(w http.ResponseWriter, err *fault.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(err.HTTPStatus())
	_ = json.NewEncoder(w).Encode(callerapi.ErrorReply{Error: err}) // the caller has gone when this fails
}
