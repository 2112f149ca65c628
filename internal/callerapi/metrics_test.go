package callerapi

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/query"
)

type halfSearcher struct{}

func (halfSearcher) Search(context.Context, *model.Catalogue, query.Request) (query.Result, error) {
	return query.Result{Coverage: coverage.Coverage{Answered: 1, Total: 2, Fraction: 0.5}}, nil
}

type oneCaller struct{}

func (oneCaller) Catalogue() *model.Catalogue {
	sum := "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" // of "secret"
	return &model.Catalogue{Callers: []model.Caller{{ID: "c", TokenSHA256: []string{sum}, Searches: []model.SearchID{"s"}}}}
}

// Guards against refusals or partial answers that no metric counts, and against metrics that the documentation lacks.
func TestMetricsCountAnswersAndRefusals(t *testing.T) {
	set := metrics.NewSet()
	handler := New(zap.NewNop(), halfSearcher{}, oneCaller{}, set).Handler()
	for _, token := range []string{"secret", "wrong"} {
		body := strings.NewReader(`{"search":"s","limit":1,"deadline_ms":10}`)
		request := httptest.NewRequest(http.MethodPost, "/v1/search", body)
		request.Header.Set("Authorization", "Bearer "+token)
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}
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
