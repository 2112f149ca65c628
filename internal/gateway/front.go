package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/forward"
	"github.com/knapweedrouter/knapweedrouter/internal/records"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
)

const (
	// answerMargin is the time before a request's deadline at which its final answer leaves.
	answerMargin = 5 * time.Millisecond
	// maxBodyBytes bounds a request body where the configuration names no limit.
	maxBodyBytes = 8 << 20
	// notReadyRetry is the time after which a caller is asked to come back to a host without a configuration.
	notReadyRetry = 200 * time.Millisecond
)

// CallerDialect translates between the project's model and the headers that callers understand.
type CallerDialect interface {
	// RequestID returns the caller's id of the request; empty if it has none.
	RequestID(header http.Header) string
	// Allowed returns the time that the caller waits, if it says so.
	Allowed(header http.Header) (time.Duration, bool)
	// StateParts states the seals of the parts in an answer and the number of shards that are missing.
	StateParts(header http.Header, seals []string, missing int)
	// StateRetry states the time after which a refused request is worth repeating.
	StateRetry(header http.Header, after time.Duration)
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// front answers callers.
type front struct {
	dialect CallerDialect
	engine  *forward.Engine
	observe *observer
	stopper *stopper
	hop     *hop
	// started is the start of the process.
	started time.Time
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if err := f.stopper.refusal(); err != nil {
		f.refuse(w, r, err)
		return
	}
	world := f.world(r)
	if world == nil {
		f.refuse(w, r, fault.New(fault.NotReady, fault.NotRun, "use another host",
			"this host does not have the configuration yet").WithRetryAfter(notReadyRetry))
		return
	}
	route := world.Table.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		f.refuse(w, r, fault.New(fault.NotFound, fault.NotRun, "use a host name and path of the configuration", "no route"))
		return
	}
	if limit := world.Table.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		f.refuse(w, r, fault.New(fault.TooLarge, fault.NotRun, "send shorter headers", "the headers have more than %d bytes", limit))
		return
	}
	body, err := readBody(w, r, world.Table.Limits)
	if err != nil {
		f.refuse(w, r, err)
		return
	}
	request := forward.Request{
		Request: &exchange.Request{
			ID:     f.dialect.RequestID(r.Header),
			Method: r.Method,
			URI:    r.RequestURI,
			Host:   r.Host,
			Header: endToEnd(r.Header),
			Body:   body,
		},
		Route:      route,
		Generation: world.Table.Generation,
		Arrived:    arrived,
		Deadline:   arrived.Add(f.allowed(r.Header, route) - answerMargin),
	}
	ctx, cancel := f.callerContext(r, route)
	defer cancel()
	if f.hop.serve(ctx, w, &request) {
		return
	}
	f.carryOut(ctx, w, &request)
}

// carryOut carries the request out on this host and writes the answer.
func (f *front) carryOut(ctx context.Context, w http.ResponseWriter, request *forward.Request) {
	f.answer(w, request, f.engine.Do(ctx, *request))
}

// restore returns the request that another host has handed on, or the reason why this host does not carry it out.
func (f *front) restore(message *gatherRequest) (*forward.Request, string) {
	if f.stopper.isStopping() {
		return nil, "this host is stopping"
	}
	world := f.engine.World()
	if world == nil || world.Table.Generation < max(message.Generation, f.hop.least()) {
		return nil, "this host has an older configuration"
	}
	route := world.Table.Match(message.Host, pathOf(message.URI))
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
		Generation: world.Table.Generation,
		Arrived:    now.Add(-message.Since),
		Deadline:   now.Add(message.Allowed),
	}, ""
}

// callerContext returns the context that ends when the caller goes away or the host stops. A request that may not be repeated
// goes on to its end: its target may complete it anyway, and breaking it off would leave the outcome unknown.
func (f *front) callerContext(r *http.Request, route *routing.Route) (context.Context, func()) {
	parent := r.Context()
	if !route.Repeatable {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(f.stopper.final, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// allowed returns the time within which the caller gets its final answer.
func (f *front) allowed(header http.Header, route *routing.Route) time.Duration {
	if allowed, ok := f.dialect.Allowed(header); ok {
		return min(allowed, route.Timeout)
	}
	return route.Timeout
}

// headerBytes returns the length of the request line and the headers on the wire.
func headerBytes(r *http.Request) int {
	const lineEnds, separators = 2, 4
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineEnds + len("Host: ") + len(r.Host) + lineEnds
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + separators
		}
	}
	return total
}

func readBody(w http.ResponseWriter, r *http.Request, limits routing.ClientLimits) ([]byte, *fault.Error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = maxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, fault.NotRun, "send a shorter body", "the body has more than %d bytes", limit)
	}
	return nil, fault.Wrap(err, fault.BadRequest, fault.NotRun, "send the whole body", "the body is not whole")
}

// endToEnd returns the headers that concern more than one connection.
func endToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range header.Values("Connection") {
		kept.Del(name)
	}
	for _, name := range connectionHeaders {
		kept.Del(name)
	}
	return kept
}

// answer writes the outcome of a request.
func (f *front) answer(w http.ResponseWriter, request *forward.Request, outcome forward.Outcome) {
	switch {
	case outcome.Err != nil:
		f.reply(w, outcome.Err)
	case outcome.Failure != nil:
		f.pass(w, outcome.Failure)
	case len(request.Route.Shards) > 0:
		f.gather(w, request.Route, outcome.Replies)
	default:
		f.pass(w, outcome.Replies[0])
	}
}

// pass writes a target's reply unchanged.
func (f *front) pass(w http.ResponseWriter, reply *exchange.Reply) {
	header := w.Header()
	for name, values := range endToEnd(reply.Header) {
		header[name] = values
	}
	f.write(w, reply.Status, reply.Body)
}

// gather writes the answer from several shards.
func (f *front) gather(w http.ResponseWriter, route *routing.Route, replies []*exchange.Reply) {
	var seals []string
	var parts [][]byte
	for _, reply := range replies {
		if reply != nil {
			seals = append(seals, reply.Seal)
			parts = append(parts, reply.Body)
		}
	}
	f.dialect.StateParts(w.Header(), seals, len(replies)-len(seals))
	w.Header().Set("Content-Type", "application/octet-stream")
	f.write(w, http.StatusOK, records.Top(parts, route.TopRecords))
}

// refuse writes a refusal for which no target was asked.
func (f *front) refuse(w http.ResponseWriter, r *http.Request, err *fault.Error) {
	f.observe.refused(f.dialect.RequestID(r.Header), r.Host, r.URL.Path, err)
	f.reply(w, err)
}

// reply writes an answer of this host's own.
func (f *front) reply(w http.ResponseWriter, err *fault.Error) {
	if after := err.RetryAfter(); after > 0 {
		f.dialect.StateRetry(w.Header(), after)
	}
	f.observe.replied(err)
	w.Header().Set("Content-Type", "text/plain")
	f.write(w, statusOf(err), []byte(err.Error()+"\n"))
}

// statusOf returns the status of an answer of this host's own. On this interface a proper request is never answered with a
// client's error, and 503 promises that it did not run.
func statusOf(err *fault.Error) int {
	if err.Kind == fault.Quarantined {
		return http.StatusServiceUnavailable
	}
	return err.HTTPStatus()
}

func (f *front) write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if w.Header().Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // the reply has none, and none is guessed
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		f.observe.unwritten(err)
	}
}
