package gateway

import (
	"net/http"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/forward"
)

const (
	// startupGrace is how long after process start the first configuration is expected to arrive.
	startupGrace = 2 * time.Second
	// maxConfigurationWait, and configurationWaitFraction of the caller's timeout, bound how long a request waits for a
	// configuration. One that is on its way arrives within some tenths of a second, and a refusal would cost the caller
	// one of its few attempts.
	maxConfigurationWait      = 700 * time.Millisecond
	configurationWaitFraction = 0.3
	// defaultTimeout is assumed for callers that state no timeout.
	defaultTimeout = time.Second
)

// awaitRoutingState returns the configuration and targets for a request that has just arrived, and whether it waited for them. It returns
// nil if this host does not have them and does not expect them in time.
func (h *callerHandler) awaitRoutingState(r *http.Request) (state *forward.RoutingState, waited bool) {
	state, changed := h.engine.Watch()
	if h.isCurrent(state) {
		return state, false
	}
	if state == nil && time.Since(h.started) > startupGrace {
		return nil, false
	}
	allowed, ok := h.headers.Timeout(r.Header)
	if !ok {
		allowed = defaultTimeout
	}
	timer := time.NewTimer(min(maxConfigurationWait, time.Duration(configurationWaitFraction*float64(allowed))))
	defer timer.Stop()
	for {
		select {
		case <-changed:
		case <-timer.C:
			return nil, true
		case <-r.Context().Done():
			return nil, true
		case <-h.stopper.cutoff.Done():
			return nil, true
		}
		state, changed = h.engine.Watch()
		if h.isCurrent(state) {
			return state, true
		}
	}
}

// isCurrent reports whether state is at least as new as any configuration whose effect callers of this host have seen.
func (h *callerHandler) isCurrent(state *forward.RoutingState) bool {
	return state != nil && state.Table.Generation >= h.delegate.minGeneration()
}
