package gateway

import (
	"net/http"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/ingress"
	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
)

// newGuard returns the guard of a listener.
func newGuard(requests *membudget.Account, connections int, h *callerHandler) *ingress.Guard {
	return ingress.New(ingress.Config{
		Requests:    requests,
		Connections: connections,
		HeadBytes:   h.headBytes,
		Refusal:     h.refusal,
		Closed:      ingress.CountClosed(h.observer.metrics),
	})
}

// headBytes returns the limit of the configuration for a request's head, or 0 if there is none.
func (h *callerHandler) headBytes() int {
	if state := h.engine.RoutingState(); state != nil {
		return state.Table.Limits.HeaderBytes
	}
	return 0
}

// refusal returns the answer to a request whose head was not read to its end.
func (h *callerHandler) refusal(err *fault.Error) ingress.Refusal {
	header := http.Header{"Content-Type": {"text/plain"}}
	if after := err.RetryAfter(); after > 0 {
		h.headers.SetRetryAfter(header, after)
	}
	h.observer.countRefusal(err)
	return ingress.Refusal{Status: statusOf(err), Header: header, Body: []byte(err.Error() + "\n")}
}
