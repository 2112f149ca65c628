package bench

import (
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Result holds the measurements of one system in one run.
type Result struct {
	Queries        int            `json:"queries"`
	Answered       int            `json:"answered"`
	RefusedNotRun  int            `json:"refused_not_run"`
	OutcomeUnknown int            `json:"outcome_unknown"`
	P50MS          float64        `json:"p50_ms"`
	P99MS          float64        `json:"p99_ms"`
	P999MS         float64        `json:"p999_ms"`
	CoverageMean   float64        `json:"coverage_mean"`
	TargetAttempts int            `json:"target_attempts"`
	ExtraLoad      float64        `json:"extra_load"`
	Violations     map[string]int `json:"violations"`
}

// Report is the JSON object that a run prints as its last line.
type Report struct {
	Scenario   string `json:"scenario"`
	Seed       uint64 `json:"seed"`
	Deployment string `json:"deployment"`
	Baseline   Result `json:"baseline"`
	Router     Result `json:"router"`
}

const (
	histogramMaxUS  = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// newResult computes the measurements from the requests of the callers that keep to their limits and send no poison
// queries. The extra load covers the searches of all callers.
func newResult(env *environment, requests []*request, reverts int) Result {
	v := newVerifier(env, requests)
	result := Result{Violations: v.run()}
	result.Violations["config_reverted"] = reverts
	latencies := hdrhistogram.New(1, histogramMaxUS, histogramDigits)
	coverageSum, searches, shards := 0.0, 0, 0
	for _, r := range requests {
		if r.caller == callerOverLimit || r.caller == callerPoison {
			continue
		}
		result.Queries++
		result.count(r)
		if !r.isSearch {
			continue
		}
		if r.answer.reply != nil || r.answer.err.Execution != fault.NotRun {
			_ = latencies.RecordValue(r.latency.Microseconds()) // latencies never exceed the histogram's maximum
		}
		if r.answer.reply != nil {
			searches++
			coverageSum += r.answer.reply.Coverage.Fraction
		}
	}
	shards, result.TargetAttempts = v.attempts()
	if searches > 0 {
		result.CoverageMean = coverageSum / float64(searches)
	}
	if shards > 0 {
		result.ExtraLoad = float64(result.TargetAttempts)/float64(shards) - 1
	}
	result.P50MS = float64(latencies.ValueAtQuantile(50)) / 1000
	result.P99MS = float64(latencies.ValueAtQuantile(99)) / 1000
	result.P999MS = float64(latencies.ValueAtQuantile(99.9)) / 1000
	return result
}

func (r *Result) count(q *request) {
	switch {
	case q.answer.reply != nil || q.answer.done:
		r.Answered++
	case q.answer.err.Execution == fault.NotRun:
		r.RefusedNotRun++
	case q.answer.err.Execution == fault.OutcomeUnknown:
		r.OutcomeUnknown++
	}
}

// attempts returns the number of shards that the executed searches cover and the number of search attempts at targets.
func (v *verifier) attempts() (shards, attempts int) {
	for _, r := range v.requests {
		if r.isSearch && v.ran[r.id] > 0 {
			for _, index := range v.indexes(r.search) {
				shards += len(index.Groups)
			}
		}
	}
	for _, records := range v.records {
		for _, r := range records {
			if r.Operation == "search" && !isPoison(r.Payload) {
				attempts++
			}
		}
	}
	return shards, attempts
}

func versionText(v model.Version) string { return strconv.FormatUint(uint64(v), 10) }
