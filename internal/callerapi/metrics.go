package callerapi

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

// latencyBounds are the upper bounds of the latency buckets in seconds. They are close together around the 80 ms that
// callers expect.
var latencyBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10}

// coverageBounds are the upper bounds of the coverage buckets. A whole answer is in the last one only.
var coverageBounds = []float64{0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1}

// meter counts what callers see. docs/operators/metrics.md lists the metrics.
type meter struct {
	set      *metrics.Set
	inFlight atomic.Int64
	coverage *metrics.PrometheusHistogram
	partial  *metrics.Counter
}

func newMeter(set *metrics.Set) *meter {
	m := &meter{
		set:      set,
		coverage: set.NewPrometheusHistogramExt("knapweedrouter_caller_coverage", coverageBounds),
		partial:  set.NewCounter("knapweedrouter_caller_partial_answers_total"),
	}
	set.NewGauge("knapweedrouter_caller_in_flight", func() float64 { return float64(m.inFlight.Load()) })
	return m
}

// measure counts the requests of one operation.
func (m *meter) measure(operation string, handle httprouter.Handle) httprouter.Handle {
	label := fmt.Sprintf(`{operation=%q}`, operation)
	requests := m.set.NewCounter("knapweedrouter_caller_requests_total" + label)
	latency := m.set.NewPrometheusHistogramExt("knapweedrouter_caller_latency_seconds"+label, latencyBounds)
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		started := time.Now()
		requests.Inc()
		m.inFlight.Add(1)
		defer m.inFlight.Add(-1)
		handle(&measuredWriter{ResponseWriter: w, meter: m, operation: operation}, r, params)
		latency.UpdateDuration(started)
	}
}

// measuredWriter lets the functions that write an answer count it.
type measuredWriter struct {
	http.ResponseWriter
	meter     *meter
	operation string
}

// Unwrap lets http.ResponseController reach the connection.
func (w *measuredWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// countRefusal counts a refusal by kind and execution status.
func countRefusal(w http.ResponseWriter, err *fault.Error) {
	measured, ok := w.(*measuredWriter)
	if !ok {
		return
	}
	name := fmt.Sprintf(`knapweedrouter_caller_refusals_total{operation=%q,kind=%q,execution=%q}`,
		measured.operation, err.Kind, err.Execution)
	measured.meter.set.GetOrCreateCounter(name).Inc()
}

// countCoverage counts an answer with its coverage, from 0 to 1.
func countCoverage(w http.ResponseWriter, fraction float64) {
	measured, ok := w.(*measuredWriter)
	if !ok {
		return
	}
	measured.meter.coverage.Update(fraction)
	if fraction < 1 {
		measured.meter.partial.Inc()
	}
}
