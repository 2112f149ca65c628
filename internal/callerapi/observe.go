package callerapi

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// HeaderQueryID is the response header that contains the query ID, also in refusals. Operators use it to explain a query.
const HeaderQueryID = "X-Query-Id"

// latencyBounds are the upper bounds of the latency buckets in seconds. They are denser around 80 ms, the latency that
// callers expect.
var latencyBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10}

// coverageBounds are the upper bounds of the coverage buckets. Only the last bucket contains complete answers.
var coverageBounds = []float64{0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1}

// observer maintains the metrics, query records and logs of caller requests. docs/operators/metrics.md lists the metrics.
type observer struct {
	set      *metrics.Set
	recorder *explain.Recorder
	log      *answerLog
	inFlight atomic.Int64
	coverage *metrics.PrometheusHistogram
	partial  *metrics.Counter
}

func newObserver(set *metrics.Set, recorder *explain.Recorder, log *answerLog) *observer {
	o := &observer{
		set:      set,
		recorder: recorder,
		log:      log,
		coverage: set.NewPrometheusHistogramExt("knapweedrouter_caller_coverage", coverageBounds),
		partial:  set.NewCounter("knapweedrouter_caller_partial_answers_total"),
	}
	set.NewGauge("knapweedrouter_caller_in_flight", func() float64 { return float64(o.inFlight.Load()) })
	return o
}

// observe wraps the handler of an operation with metrics, recording and logging.
func (o *observer) observe(operation string, handle httprouter.Handle) httprouter.Handle {
	label := fmt.Sprintf(`{operation=%q}`, operation)
	requests := o.set.NewCounter("knapweedrouter_caller_requests_total" + label)
	latency := o.set.NewPrometheusHistogramExt("knapweedrouter_caller_latency_seconds"+label, latencyBounds)
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		started := time.Now()
		requests.Inc()
		o.inFlight.Add(1)
		defer o.inFlight.Add(-1)
		query := o.recorder.Begin(operation)
		w.Header().Set(HeaderQueryID, query.ID())
		observed := &observedWriter{ResponseWriter: w, observer: o, operation: operation, query: query}
		handle(observed, r.WithContext(explain.NewContext(r.Context(), query)), params)
		o.recorder.End(query)
		latency.UpdateDuration(started)
		o.log.write(query.Snapshot())
	}
}

// observedWriter gives the functions that write a response access to the observer and the query record.
type observedWriter struct {
	http.ResponseWriter
	observer  *observer
	operation string
	query     *explain.Query
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *observedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// observeRefusal counts and records a refusal.
func observeRefusal(w http.ResponseWriter, err *fault.Error) {
	observed, ok := w.(*observedWriter)
	if !ok {
		return
	}
	name := fmt.Sprintf(`knapweedrouter_caller_refusals_total{operation=%q,kind=%q,execution=%q}`,
		observed.operation, err.Kind, err.Execution)
	observed.observer.set.GetOrCreateCounter(name).Inc()
	observed.query.Update(func(r *explain.Record) { r.Refusal = err })
}

// observeAnswer counts and records the answer to a search.
func observeAnswer(w http.ResponseWriter, reply SearchReply) {
	observed, ok := w.(*observedWriter)
	if !ok {
		return
	}
	fraction := reply.Coverage.Fraction
	observed.observer.coverage.Update(fraction)
	if fraction < 1 {
		observed.observer.partial.Inc()
	}
	observed.query.Update(func(r *explain.Record) { r.Coverage, r.Versions = &fraction, reply.Versions })
}

// observeRequest records the caller, subject and deadline of a request.
func observeRequest(r *http.Request, caller model.CallerID, subject string, deadlineMS int64) {
	explain.FromContext(r.Context()).Update(func(record *explain.Record) {
		record.Caller, record.Subject, record.DeadlineMS = caller, subject, deadlineMS
	})
}
