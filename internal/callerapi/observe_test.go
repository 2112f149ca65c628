package callerapi

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	zaptest "go.uber.org/zap/zaptest/observer"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/query"
)

type partialSearcher struct{}

func (partialSearcher) Search(context.Context, *model.Catalogue, query.Request) (query.Result, error) {
	return query.Result{Coverage: coverage.Coverage{Answered: 1, Total: 2, Fraction: 0.5}}, nil
}

type singleCallerCatalogue struct{}

func (singleCallerCatalogue) Catalogue() *model.Catalogue {
	sum := "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" // of "secret"
	return &model.Catalogue{Callers: []model.Caller{{ID: "c", TokenSHA256: []string{sum}, Searches: []model.SearchID{"s"}}}}
}

func (singleCallerCatalogue) Ready() error { return nil }

type fencedCatalogue struct{ singleCallerCatalogue }

func (fencedCatalogue) Ready() error {
	return fault.New(fault.CutOff, fault.NotRun, "use another host", "cut off")
}

// Guards against a host that accepts work or reports readiness to the load balancer although it may lack an accepted
// configuration change.
func TestFencedHostRefuses(t *testing.T) {
	handler := New(zap.NewNop(), partialSearcher{}, fencedCatalogue{}, metrics.NewSet(), explain.NewRecorder(16)).Handler()
	for _, request := range []*http.Request{
		httptest.NewRequest(http.MethodGet, "/readyz", nil),
		httptest.NewRequest(http.MethodPost, "/v1/search", strings.NewReader(`{"search":"s","limit":1,"deadline_ms":10}`)),
	} {
		request.Header.Set("Authorization", "Bearer secret")
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		require.Equal(t, http.StatusServiceUnavailable, response.Code)
		require.Contains(t, response.Body.String(), `"kind":"cut_off","execution":"not_run"`)
	}
}

// Guards against refusals or partial answers that are missing from the metrics or query records, and against undocumented
// metrics.
func TestAnswersAndRefusalsAreCountedAndRecorded(t *testing.T) {
	set := metrics.NewSet()
	recorder := explain.NewRecorder(16)
	handler := New(zap.NewNop(), partialSearcher{}, singleCallerCatalogue{}, set, recorder).Handler()
	var records []explain.Record
	for _, token := range []string{"secret", "wrong"} {
		body := strings.NewReader(`{"search":"s","limit":1,"deadline_ms":10}`)
		request := httptest.NewRequest(http.MethodPost, "/v1/search", body)
		request.Header.Set("Authorization", "Bearer "+token)
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		record, kept := recorder.Explain(response.Header().Get(HeaderQueryID))
		require.True(t, kept)
		records = append(records, record.(explain.Record))
	}
	require.Equal(t, 0.5, *records[0].Coverage)
	require.Equal(t, model.CallerID("c"), records[0].Caller)
	require.Equal(t, fault.Unauthenticated, records[1].Refusal.Kind)
	var text bytes.Buffer
	set.WritePrometheus(&text)
	for _, line := range []string{
		`knapweedrouter_caller_requests_total{operation="search"} 2`,
		`knapweedrouter_caller_refusals_total{operation="search",kind="unauthenticated",execution="not_run"} 1`,
		`knapweedrouter_caller_partial_answers_total 1`,
		`knapweedrouter_caller_coverage_count 1`,
		`knapweedrouter_caller_latency_seconds_count{operation="search"} 2`,
		`knapweedrouter_caller_in_flight 0`,
	} {
		require.Contains(t, text.String(), line+"\n")
	}
	documented, err := os.ReadFile("../../docs/operators/metrics.md")
	require.NoError(t, err)
	for _, name := range set.ListMetricNames() {
		base, _, _ := strings.Cut(name, "{")
		require.Contains(t, string(documented), "`"+base+"`")
	}
}

// Guards against a caller that floods the log with its refusals, and against a rate limit that suppresses the refusals of
// other callers.
func TestLogIsLimitedPerCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := zaptest.New(zap.InfoLevel)
		log := newAnswerLog(zap.New(core))
		refusal := fault.New(fault.RateLimited, fault.NotRun, "", "")
		for range 1000 {
			log.write(explain.Record{Caller: "careless", Refusal: refusal})
		}
		require.Equal(t, logBurst, lines.Len())
		log.write(explain.Record{Caller: "other", Refusal: refusal})
		require.Equal(t, logBurst+1, lines.Len())
		time.Sleep(time.Second)
		log.write(explain.Record{Caller: "careless", Refusal: refusal})
		require.Equal(t, int64(1000-logBurst), lines.All()[logBurst+1].ContextMap()["suppressed"])
	})
}

// Guards against undocumented kinds of refusals.
func TestRefusalsAreDocumented(t *testing.T) {
	documented, err := os.ReadFile("../../docs/operators/metrics.md")
	require.NoError(t, err)
	source, err := os.ReadFile("../fault/fault.go")
	require.NoError(t, err)
	kinds := regexp.MustCompile(`Kind = "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1)
	require.NotEmpty(t, kinds)
	for _, kind := range kinds {
		require.Contains(t, string(documented), "| `"+kind[1]+"` |")
	}
}
