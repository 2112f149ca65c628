package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/forward"
	"github.com/knapweedrouter/knapweedrouter/internal/hostlimits"
	"github.com/knapweedrouter/knapweedrouter/internal/ingress"
	"github.com/knapweedrouter/knapweedrouter/internal/records"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
)

const (
	// replyMargin is how long before a request's deadline its final answer is sent.
	replyMargin = 5 * time.Millisecond
	// maxBodyBytes limits request bodies when the configuration sets no limit.
	maxBodyBytes = 8 << 20
	// notReadyRetry is the Retry-After value while this host has no configuration.
	notReadyRetry = 200 * time.Millisecond
)

// errCallerLeft ends a request that waited for the configuration, and whose caller has left meanwhile.
var errCallerLeft = fault.New(fault.Overloaded, fault.NotRun, "repeat the request", "the caller left before the request was sent")

// CallerHeaders reads and writes the headers exchanged with callers.
type CallerHeaders interface {
	// RequestID returns the caller's request ID, or "" if there is none.
	RequestID(header http.Header) string
	// Timeout returns the caller's timeout, if it states one.
	Timeout(header http.Header) (time.Duration, bool)
	// SetParts sets the signatures of the parts in an answer and the number of missing shards.
	SetParts(header http.Header, signatures []string, missing int)
	// SetRetryAfter sets the time after which a refused request may be retried.
	SetRetryAfter(header http.Header, after time.Duration)
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// callerHandler serves requests from callers.
type callerHandler struct {
	headers  CallerHeaders
	engine   *forward.Engine
	observer *observer
	stopper  *stopper
	delegate *delegator
	guard    *ingress.Guard
	shares   hostlimits.Shares
	// started is the start time of the process.
	started time.Time
}

// ServeHTTP implements http.Handler.
func (h *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if err := h.stopper.refusal(); err != nil {
		h.refuse(w, r, err)
		return
	}
	state, waited := h.awaitRoutingState(r)
	if state == nil {
		h.refuse(w, r, fault.New(fault.NotReady, fault.NotRun, "use another host",
			"this host does not have the configuration yet").WithRetryAfter(notReadyRetry))
		return
	}
	route := state.Table.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		h.refuse(w, r, fault.New(fault.NotFound, fault.NotRun, "use a host name and path of the configuration", "no route"))
		return
	}
	if limit := state.Table.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		h.refuse(w, r, fault.New(fault.TooLarge, fault.NotRun, "send shorter headers", "the headers have more than %d bytes", limit))
		return
	}
	deadline := arrived.Add(h.timeout(r.Header, route) - replyMargin)
	body, err := ingress.ReadBody(r, bodyLimit(state.Table.Limits), deadline)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	if waited && ingress.HasLeft(r) {
		h.refuse(w, r, errCallerLeft)
		return
	}
	request := forward.Request{
		Request: &exchange.Request{
			ID:     h.headers.RequestID(r.Header),
			Method: r.Method,
			URI:    r.RequestURI,
			Host:   r.Host,
			Header: endToEndHeaders(r.Header),
			Body:   body,
		},
		Route:      route,
		Generation: state.Table.Generation,
		Arrived:    arrived,
		Deadline:   deadline,
		Memory:     ingress.Account(r),
	}
	if !route.Repeatable {
		request.Left = r.Context().Done()
	}
	if err := h.stopper.refusalOf(h.timeNeeded(&request)); err != nil {
		h.refuse(w, r, err)
		return
	}
	ctx, cancel := h.callerContext(r, route)
	defer cancel()
	if h.delegate.handOver(ctx, r.Context(), w, &request) {
		return
	}
	h.execute(ctx, w, &request)
}

// timeNeeded returns the time that the request may take.
func (h *callerHandler) timeNeeded(request *forward.Request) time.Duration {
	return min(time.Until(request.Deadline), h.engine.ExpectedTime(request.Route))
}

// execute executes the request on this host and writes the answer. It returns the instances that said that they leave.
func (h *callerHandler) execute(ctx context.Context, w http.ResponseWriter, request *forward.Request) []evidence.Instance {
	outcome := h.engine.Do(ctx, *request)
	defer outcome.Release()
	h.writeOutcome(w, request, outcome)
	return outcome.Leaving
}

// restoreRequest rebuilds a request delegated by another host, or returns the reason why this host declines it.
func (h *callerHandler) restoreRequest(message *gatherRequest) (*forward.Request, string) {
	if h.stopper.isStopping() {
		return nil, "this host is stopping"
	}
	if message.Allowed <= 0 {
		return nil, "the query waited on its way until its time was over"
	}
	state := h.engine.RoutingState()
	if state == nil || state.Table.Generation < max(message.Generation, h.delegate.minGeneration()) {
		return nil, "this host has an older configuration"
	}
	route := state.Table.Match(message.Host, escapedPath(message.URI))
	if route == nil || route.Repeatable != message.Repeatable {
		return nil, "the route is another one in this host's configuration"
	}
	now := time.Now()
	return &forward.Request{
		Request: &exchange.Request{
			ID:     message.ID,
			Method: message.Method,
			URI:    message.URI,
			Host:   message.Host,
			Header: message.Header,
			Body:   message.Body,
		},
		Route:      route,
		Generation: state.Table.Generation,
		Arrived:    now.Add(-message.Since),
		Deadline:   now.Add(message.Allowed),
	}, ""
}

// callerContext returns a context that ends when the caller disconnects or the host stops. A request that may not be
// repeated is not aborted by a disconnect: its target may complete it anyway, and aborting it would leave the outcome unknown. See
// forward.Request.Left.
func (h *callerHandler) callerContext(r *http.Request, route *routing.Route) (context.Context, func()) {
	parent := r.Context()
	if !route.Repeatable {
		parent = context.WithoutCancel(parent)
	}
	return h.stopper.withCutoff(parent)
}

// timeout returns the time within which the caller must get its final answer.
func (h *callerHandler) timeout(header http.Header, route *routing.Route) time.Duration {
	if allowed, ok := h.headers.Timeout(header); ok {
		return min(allowed, route.Timeout)
	}
	return route.Timeout
}

// headerBytes returns the least size that the request line and headers have on the wire. Spaces after a colon and carriage returns are
// not counted, because a caller may leave them out.
func headerBytes(r *http.Request) int {
	const lineEnd, separators = 1, 2
	lines, size := headSize(r.Header)
	requestLine := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + lineEnd
	return requestLine + len("Host:") + len(r.Host) + lineEnd + size + lines*separators
}

// bodyLimit returns the limit of a request's body in bytes.
func bodyLimit(limits routing.ClientLimits) int64 {
	if limits.BodyBytes > 0 {
		return limits.BodyBytes
	}
	return maxBodyBytes
}

// endToEndHeaders returns the headers without the hop-by-hop ones.
func endToEndHeaders(header http.Header) http.Header {
	kept := header.Clone()
	for _, names := range header.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}

// writeOutcome writes the outcome of a request.
func (h *callerHandler) writeOutcome(w http.ResponseWriter, request *forward.Request, outcome forward.Outcome) {
	switch {
	case outcome.Err != nil:
		h.writeError(w, outcome.Err)
	case outcome.Failure != nil && !request.Route.Repeatable && promisesNotRun(outcome.Failure.Status):
		h.writeError(w, fault.New(fault.TargetFailed, fault.OutcomeUnknown, "repeat the request if it may run twice",
			"a target answered %d without stating that the request did not run", outcome.Failure.Status))
	case outcome.Failure != nil:
		h.writeReply(w, outcome.Failure)
	case len(request.Route.Shards) > 0:
		h.writeGathered(w, request.Route, outcome.Replies)
	default:
		h.writeReply(w, outcome.Replies[0])
	}
}

// promisesNotRun reports whether a caller takes the status for a promise that its request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeReply writes a target's reply unchanged.
func (h *callerHandler) writeReply(w http.ResponseWriter, reply *exchange.Reply) {
	header := w.Header()
	for name, values := range endToEndHeaders(reply.Header) {
		header[name] = values
	}
	h.writeBody(w, reply.Status, reply.Body)
}

// writeGathered writes the merged answer of several shards.
func (h *callerHandler) writeGathered(w http.ResponseWriter, route *routing.Route, replies []*exchange.Reply) {
	var signatures []string
	var parts [][]byte
	for _, reply := range replies {
		if reply != nil {
			signatures = append(signatures, reply.Signature)
			parts = append(parts, reply.Body)
		}
	}
	h.headers.SetParts(w.Header(), signatures, len(replies)-len(signatures))
	w.Header().Set("Content-Type", "application/octet-stream")
	h.writeBody(w, http.StatusOK, records.Top(parts, route.TopRecords))
}

// refuse rejects a request before any target was asked.
func (h *callerHandler) refuse(w http.ResponseWriter, r *http.Request, err *fault.Error) {
	ingress.CloseIfUnread(w, r)
	h.observer.logRefusal(h.headers.RequestID(r.Header), r.Host, r.URL.Path, err)
	h.writeError(w, err)
}

// writeError writes an error response generated by this host.
func (h *callerHandler) writeError(w http.ResponseWriter, err *fault.Error) {
	if after := err.RetryAfter(); after > 0 {
		h.headers.SetRetryAfter(w.Header(), after)
	}
	h.observer.countRefusal(err)
	w.Header().Set("Content-Type", "text/plain")
	h.writeBody(w, statusOf(err), []byte(err.Error()+"\n"))
}

// statusOf returns the HTTP status of an error response. On this interface a valid request is never answered with a 4xx
// status, and 503 guarantees that the request did not run: an error without that guarantee is 502, whatever its kind.
func statusOf(err *fault.Error) int {
	status := err.HTTPStatus()
	if err.Kind == fault.Quarantined {
		status = http.StatusServiceUnavailable
	}
	if promisesNotRun(status) && err.Execution != fault.NotRun {
		return http.StatusBadGateway
	}
	return status
}

func (h *callerHandler) writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if w.Header().Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // suppress content sniffing: the reply has no Content-Type
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		h.observer.recordUnwritten(err)
	}
}
