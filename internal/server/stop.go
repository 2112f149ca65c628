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
	// balancerWait is the time that the load balancer needs to notice that this host is not ready.
	balancerWait = 2 * time.Second
	// finishTimeout limits the wait for requests in progress. The longest request deadline is 10 s.
	finishTimeout = 30 * time.Second
	// handOverTimeout limits the hand-over of state to other hosts.
	handOverTimeout = 5 * time.Second
	// callerIdleTime is the time without a request after which callers are assumed to have stopped using this host.
	callerIdleTime = 250 * time.Millisecond
	// callerIdleTimeout limits the wait for callers to stop using this host.
	callerIdleTimeout = 3 * time.Second
	stopPollInterval  = 10 * time.Millisecond
)

// stopPhase is the phase of a host that stops or is taken out of service.
type stopPhase int

const (
	serving stopPhase = iota
	// leaving hosts are not ready, but still run the requests that they receive.
	leaving
	// refusing hosts refuse new requests.
	refusing
)

// stopper counts the requests in progress and refuses new ones while the host is stopping or out of service.
type stopper struct {
	mu          sync.Mutex
	phase       stopPhase
	running     int
	lastRequest time.Time
	// outSince is when the host was taken out of service; zero while it is in service.
	outSince time.Time
}

// currentPhase returns the later of the phase of a planned stop and the phase that results from being out of service. The
// mutex must be held.
func (s *stopper) currentPhase() stopPhase {
	switch {
	case s.outSince.IsZero():
		return s.phase
	case time.Since(s.outSince) < balancerWait:
		return max(s.phase, leaving)
	}
	return refusing
}

// wrap returns a handler that counts requests and refuses them once the host no longer accepts work. While the host is
// stopping, each response closes its connection, so that callers don't send requests on connections that this host is about
// to close.
func (s *stopper) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			s.serveProbe(w, r, next)
			return
		}
		phase, reason := s.begin()
		if phase != serving {
			w.Header().Set("Connection", "close")
		}
		if phase == refusing {
			writeRefusal(w, refusalFor(r, reason))
			return
		}
		defer s.end()
		next.ServeHTTP(lastanswer.NewWriter(w, func() bool { return s.ready() != nil }), r)
	})
}

// serveProbe answers readiness probes of the load balancer.
func (s *stopper) serveProbe(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if err := s.ready(); err != nil {
		w.Header().Set("Connection", "close")
		writeRefusal(w, err)
		return
	}
	next.ServeHTTP(w, r)
}

// begin counts a request unless the phase requires its refusal, and returns the phase and the reason for a refusal.
func (s *stopper) begin() (phase stopPhase, reason *fault.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequest = time.Now()
	phase = s.currentPhase()
	if phase != refusing {
		s.running++
	}
	return phase, s.reason()
}

func (s *stopper) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *stopper) setPhase(phase stopPhase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = phase
}

// ready returns nil if this host accepts new work, or the reason why not.
func (s *stopper) ready() *fault.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reason()
}

// reason returns why this host should get no new work, or nil. The mutex must be held.
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

func (s *stopper) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastRequest) >= callerIdleTime
}

// waitFor polls a condition until it holds, the limit expires or the context ends, and reports whether it holds.
func waitFor(ctx context.Context, limit time.Duration, condition func() bool) bool {
	for start := time.Now(); !condition(); ctxtime.Sleep(ctx, stopPollInterval) {
		if time.Since(start) >= limit || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// stopHooks are the steps of a planned stop that other subsystems perform, in this order.
type stopHooks struct {
	// handOver transfers state to other hosts. By then new work is refused, and requests in progress have ended or
	// finishTimeout has expired.
	handOver []func(ctx context.Context)
	// announceLeave notifies the other hosts that this host is leaving.
	announceLeave func()
}

// plannedStop takes the host out of service and waits for requests in progress to complete. The listeners are closed by
// its caller afterwards.
func (s *stopper) plannedStop(ctx context.Context, logger *zap.Logger, hooks stopHooks) {
	logger.Info("planned stop: not ready")
	s.setPhase(leaving)
	ctxtime.Sleep(ctx, balancerWait)
	s.setPhase(refusing)
	logger.Info("planned stop: refusing new work", zap.Int("in_progress", s.inProgress()))
	if !waitFor(ctx, finishTimeout, func() bool { return s.inProgress() == 0 }) {
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
	waitFor(ctx, callerIdleTimeout, s.isIdle)
	logger.Info("planned stop: done")
}

func errStopping() *fault.Error {
	return fault.New(fault.Stopping, fault.NotRun, "use another host", "this host is stopping")
}

func errOut() *fault.Error {
	return fault.New(fault.NotReady, fault.NotRun, "use another host", "operators have taken this host out of service")
}

func writeRefusal(w http.ResponseWriter, err *fault.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(err.HTTPStatus())
	_ = json.NewEncoder(w).Encode(callerapi.ErrorReply{Error: err}) // fails only if the caller has disconnected
}
