package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/evidencestore"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/forward"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
)

const (
	// linesPerSecond and lineBurst limit the rate of log lines about requests.
	linesPerSecond = 60
	lineBurst      = 240
	// sampleEvery: one in this many ordinary requests is logged.
	sampleEvery = 64
	// maxLoggedBytes bounds the parts of a log line that a caller sent. Real ones are far shorter.
	maxLoggedBytes = 256
	// summaryInterval is the interval between summaries of each route's requests.
	summaryInterval = 10 * time.Second
)

// observer logs and counts the outcome of requests. It implements forward.Observer.
type observer struct {
	logger     *zap.Logger
	metrics    *metrics.Set
	logLimiter *rate.Limiter
	// markLeaving takes a target out of the routing state. It is set before the first request.
	markLeaving func(evidence.Instance)
	// records keeps the evidence of quarantined requests; it may be nil. It is set before the first request.
	records *evidencestore.Store

	mu sync.Mutex
	// ordinary counts the ordinary requests since the last summary. withheld counts the other requests that were not
	// logged because of the rate limit.
	ordinary, withheld int
	routes             map[string]*routeSummary
	// series holds the routes that have series.
	series map[string]bool
}

// routeSummary counts a route's requests since the last summary.
type routeSummary struct {
	answered, partial, failed, refused, attempts, extra, withoutBudget int
	slowest                                                            time.Duration
}

func newObserver(logger *zap.Logger) *observer {
	return &observer{
		logger:     logger,
		metrics:    metrics.NewSet(),
		logLimiter: rate.NewLimiter(linesPerSecond, lineBurst),
		routes:     map[string]*routeSummary{},
		series:     map[string]bool{},
	}
}

// RequestEnded implements forward.Observer.
func (o *observer) RequestEnded(t forward.Trace) {
	outcome := outcomeOf(&t)
	o.metrics.GetOrCreateCounter(requestsSeries(t.Route, outcome)).Inc()
	o.metrics.GetOrCreateHistogram(secondsSeries(t.Route)).Update(t.Took.Seconds())
	for i := range t.Attempts {
		a := &t.Attempts[i]
		o.metrics.GetOrCreateCounter(`knapweedrouter_attempts_total{kind="` + string(a.Kind) + `",failure="` + string(a.Failure) + `"}`).Inc()
	}
	o.metrics.GetOrCreateCounter("knapweedrouter_budget_refusals_total").Add(t.BudgetRefusals)
	o.metrics.GetOrCreateCounter("knapweedrouter_parts_missing_total").Add(max(0, t.Shards-t.Answered))
	if o.recordAndSample(&t) {
		o.logger.Info("request "+outcome, traceFields(&t)...)
	}
}

// recordAndSample adds the request to the route summary and reports whether to log it: every request that is not
// ordinary, within the rate limit, and a sample of the others.
func (o *observer) recordAndSample(t *forward.Trace) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addToSummary(t)
	if t.IsOrdinary() {
		o.ordinary++
		return o.ordinary%sampleEvery == 1 && o.logLimiter.Allow()
	}
	if !o.logLimiter.Allow() {
		o.withheld++
		return false
	}
	return true
}

func (o *observer) addToSummary(t *forward.Trace) {
	o.series[t.Route] = true
	s := o.routes[t.Route]
	if s == nil {
		s = &routeSummary{}
		o.routes[t.Route] = s
	}
	switch outcomeOf(t) {
	case outcomeAnswered:
		s.answered++
	case outcomePartial:
		s.partial++
	case outcomeFailed:
		s.failed++
	default:
		s.refused++
	}
	s.attempts += len(t.Attempts)
	for i := range t.Attempts {
		if t.Attempts[i].Kind.IsExtra() {
			s.extra++
		}
	}
	s.withoutBudget += t.BudgetRefusals
	s.slowest = max(s.slowest, t.Took)
}

func outcomeOf(t *forward.Trace) string {
	switch {
	case t.Failed:
		return outcomeFailed
	case t.Err != nil:
		return outcomeRefused
	case t.Answered < t.Shards:
		return outcomePartial
	}
	return outcomeAnswered
}

func traceFields(t *forward.Trace) []zap.Field {
	fields := []zap.Field{
		zap.String("id", clip(t.ID)),
		zap.String("route", t.Route),
		zap.Uint64("generation", uint64(t.Generation)),
		zap.Int("hosts", t.Hosts),
		millis("allowed_ms", t.Allowed),
		millis("took_ms", t.Took),
		zap.Int("answered", t.Answered),
		zap.Int("shards", t.Shards),
		zap.Array("attempts", attemptList(t.Attempts)),
	}
	if t.BudgetRefusals > 0 {
		fields = append(fields, zap.Int("without_budget", t.BudgetRefusals))
	}
	if !t.IsOrdinary() {
		fields = append(fields, zap.String("fingerprint", strconv.FormatUint(t.Fingerprint, 16)))
	}
	if t.Err != nil {
		fields = append(fields, zap.String("kind", string(t.Err.Kind)), zap.String("execution", string(t.Err.Execution)),
			zap.String("reason", t.Err.Message), millis("retry_after_ms", t.Err.RetryAfter()))
	}
	return fields
}

// clip bounds what a caller sent before it is logged.
func clip(text string) string { return text[:min(len(text), maxLoggedBytes)] }

func millis(name string, d time.Duration) zap.Field {
	return zap.Float64(name, float64(d.Microseconds())/1000)
}

// attemptList logs the attempts of interest: extra, failed and unfinished ones, or the only one.
type attemptList []forward.AttemptTrace

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l attemptList) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for i := range l {
		a := &l[i]
		if a.Kind == scatter.First && a.Failure == "" && a.Ended > 0 && len(l) > 1 {
			continue
		}
		if err := encoder.AppendObject((*attemptFields)(a)); err != nil {
			return err
		}
	}
	return nil
}

type attemptFields forward.AttemptTrace

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a *attemptFields) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("service", string(a.Service))
	encoder.AddString("target", string(a.Target))
	encoder.AddString("kind", string(a.Kind))
	encoder.AddFloat64("estimate_ms", float64(a.Estimate.Microseconds())/1000)
	encoder.AddFloat64("sent_ms", float64(a.Sent.Microseconds())/1000)
	if a.Ended > 0 {
		encoder.AddFloat64("ended_ms", float64(a.Ended.Microseconds())/1000)
	}
	if a.Failure != "" {
		encoder.AddString("failure", string(a.Failure))
		encoder.AddString("cause", a.Cause)
	}
	return nil
}

// countRefusal counts an error response generated by this host.
func (o *observer) countRefusal(err *fault.Error) {
	o.metrics.GetOrCreateCounter(`knapweedrouter_refusals_total{kind="` + string(err.Kind) + `",execution="` + string(err.Execution) + `"}`).Inc()
}

// countDelegated counts a query executed by an aggregator.
func (o *observer) countDelegated(status int) {
	o.metrics.GetOrCreateCounter(`knapweedrouter_queries_handed_on_total{status="` + strconv.Itoa(status) + `"}`).Inc()
}

// logRefusal logs a request rejected before any target was asked. Other requests have a trace.
func (o *observer) logRefusal(id, host, path string, err *fault.Error) {
	if o.logLimiter.Allow() {
		o.logger.Info("request refused", zap.String("id", clip(id)), zap.String("authority", clip(host)), zap.String("path", clip(path)),
			zap.String("kind", string(err.Kind)), zap.String("execution", string(err.Execution)), zap.String("reason", err.Message))
	}
}

// recordUnwritten records an answer that could not be written to the caller.
func (o *observer) recordUnwritten(err error) {
	o.metrics.GetOrCreateCounter("knapweedrouter_answers_unwritten_total").Inc()
	if o.logLimiter.Allow() {
		o.logger.Info("failed to write answer to caller", zap.Error(err))
	}
}

// recordStoreCall counts a store call.
func (o *observer) recordStoreCall(call, result string, took time.Duration) {
	o.metrics.GetOrCreateCounter(`knapweedrouter_store_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
	o.metrics.GetOrCreateHistogram(`knapweedrouter_store_call_seconds{call="` + call + `"}`).Update(took.Seconds())
}

// summarize logs the requests since the last summary and resets the counters. It drops the series of routes that are not routed any more.
func (o *observer) summarize(isRouted func(route string) bool) {
	o.dropSeries(isRouted)
	o.mu.Lock()
	routes, withheld, ordinary := o.routes, o.withheld, o.ordinary
	o.routes, o.withheld, o.ordinary = map[string]*routeSummary{}, 0, 0
	o.mu.Unlock()
	for name, s := range routes {
		o.logger.Info("route summary", zap.String("route", name), zap.Int("answered", s.answered), zap.Int("partial", s.partial),
			zap.Int("failed", s.failed), zap.Int("refused", s.refused), zap.Int("attempts", s.attempts), zap.Int("extra", s.extra),
			zap.Int("without_budget", s.withoutBudget), millis("slowest_ms", s.slowest))
	}
	if withheld > 0 || ordinary > 0 {
		o.logger.Info("request lines", zap.Int("ordinary", ordinary), zap.Int("withheld", withheld))
	}
}
