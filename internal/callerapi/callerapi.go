// Package callerapi implements the HTTP API for callers.
package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/query"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
)

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	Search         model.SearchID  `json:"search"`
	Query          json.RawMessage `json:"query"`
	Limit          int             `json:"limit"`
	DeadlineMS     int64           `json:"deadline_ms"`
	SoftDeadlineMS int64           `json:"soft_deadline_ms"`
	MinCoverage    float64         `json:"min_coverage"`
	Mode           string          `json:"mode"`
	Snapshot       string          `json:"snapshot"`
	MinSnapshot    string          `json:"min_snapshot"`
}

// SearchReply is the body of the response to POST /v1/search.
type SearchReply struct {
	QueryID  string                          `json:"query_id"`
	Snapshot string                          `json:"snapshot"`
	Versions map[model.IndexID]model.Version `json:"versions"`
	Coverage coverage.Coverage               `json:"coverage"`
	Hits     []model.Hit                     `json:"hits"`
}

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Error *fault.Error `json:"error"`
}

// Searcher executes searches.
type Searcher interface {
	Search(ctx context.Context, catalogue *model.Catalogue, request query.Request) (query.Result, error)
}

// Catalogues provides the current catalogue and the readiness of this host.
type Catalogues interface {
	// Catalogue returns the catalogue in force, or nil if none has been received yet.
	Catalogue() *model.Catalogue
	// Ready returns nil if this host accepts new work, or the refusal to send otherwise.
	Ready() error
}

// API handles the HTTP requests of callers.
type API struct {
	logger     *zap.Logger
	searcher   Searcher
	catalogues Catalogues
	observer   *observer
	executor   Executor
	admission  execute.Admission

	authenticator authenticator
}

// New returns an API that registers its metrics in set and records its queries in recorder.
func New(logger *zap.Logger, searcher Searcher, catalogues Catalogues, set *metrics.Set, recorder *explain.Recorder) *API {
	return &API{
		logger:     logger,
		searcher:   searcher,
		catalogues: catalogues,
		observer:   newObserver(set, recorder, newAnswerLog(logger)),
	}
}

// Handler returns the HTTP handler with all routes.
func (a *API) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/search", a.observer.observe("search", a.search))
	a.routeExecute(router)
	router.GET("/readyz", a.ready)
	return router
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := a.catalogues.Ready(); err != nil {
		writeError(w, fault.As(err))
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

func (a *API) search(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	reply, err := a.answer(w, r)
	if err != nil {
		writeError(w, fault.As(err))
		return
	}
	reply.QueryID = explain.FromContext(r.Context()).ID()
	observeAnswer(w, reply)
	writeJSON(w, http.StatusOK, reply)
}

// answer authenticates the caller, decodes the request, waits for its admission and runs the search.
func (a *API) answer(w http.ResponseWriter, r *http.Request) (reply SearchReply, err error) {
	if err := a.catalogues.Ready(); err != nil {
		return SearchReply{}, err
	}
	catalogue := a.catalogues.Catalogue()
	caller, err := a.authenticator.authenticate(catalogue, r)
	if err != nil {
		return SearchReply{}, err
	}
	request, err := decodeSearch(w, r)
	if err != nil {
		return SearchReply{}, err
	}
	observeRequest(r, caller.ID, string(request.Search), request.DeadlineMS)
	if !slices.Contains(caller.Searches, request.Search) {
		return SearchReply{}, fault.New(fault.Forbidden, fault.NotRun,
			"ask the operators to grant the search", "caller %s may not use search %q", caller.ID, request.Search)
	}
	end, err := a.admit(r, catalogue, caller, &request)
	if err != nil {
		return SearchReply{}, err
	}
	defer func() { end(err) }()
	result, err := a.searcher.Search(r.Context(), catalogue, query.Request{
		Caller:       caller.ID,
		Search:       request.Search,
		Query:        request.Query,
		Limit:        request.Limit,
		Deadline:     time.Duration(request.DeadlineMS) * time.Millisecond,
		SoftDeadline: time.Duration(request.SoftDeadlineMS) * time.Millisecond,
		MinCoverage:  request.MinCoverage,
		Mode:         scatter.Mode(request.Mode),
		Snapshot:     request.Snapshot,
		MinSnapshot:  request.MinSnapshot,
	})
	if err != nil {
		return SearchReply{}, err
	}
	return SearchReply{
		Snapshot: result.Snapshot,
		Versions: result.Versions,
		Coverage: result.Coverage,
		Hits:     result.Hits,
	}, nil
}

func decodeSearch(w http.ResponseWriter, r *http.Request) (SearchRequest, error) {
	var request SearchRequest
	if err := decodeBody(w, r, &request); err != nil {
		return request, err
	}
	if err := request.checkNames(); err != nil {
		return request, err
	}
	request.Query = compact(request.Query)
	if request.DeadlineMS <= 0 || request.DeadlineMS > model.MaxDeadline.Milliseconds() {
		return request, fault.New(fault.BadRequest, fault.NotRun,
			"send deadline_ms from 1 to 10000", "deadline_ms is %d", request.DeadlineMS)
	}
	if request.SoftDeadlineMS < 0 || request.SoftDeadlineMS > request.DeadlineMS {
		return request, fault.New(fault.BadRequest, fault.NotRun,
			"send soft_deadline_ms from 0 to deadline_ms", "soft_deadline_ms is %d", request.SoftDeadlineMS)
	}
	if request.MinCoverage < 0 || request.MinCoverage > 1 {
		return request, fault.New(fault.BadRequest, fault.NotRun,
			"send min_coverage from 0 to 1", "min_coverage is %g", request.MinCoverage)
	}
	if !slices.Contains([]scatter.Mode{"", scatter.Fast, scatter.Full}, scatter.Mode(request.Mode)) {
		return request, fault.New(fault.BadRequest, fault.NotRun,
			`send mode "fast" or "full"`, "mode is %q", request.Mode)
	}
	if request.Snapshot != "" && request.MinSnapshot != "" {
		return request, fault.New(fault.BadRequest, fault.NotRun,
			"send snapshot or min_snapshot, not both", "both snapshot and min_snapshot are given")
	}
	if request.Limit <= 0 || request.Limit > model.MaxResultLimit {
		return request, fault.New(fault.BadRequest, fault.NotRun,
			"send limit from 1 to 1000", "limit is %d", request.Limit)
	}
	return request, nil
}

func (r SearchRequest) checkNames() error {
	if len(r.Snapshot) > maxTokenBytes || len(r.MinSnapshot) > maxTokenBytes {
		return fault.New(fault.BadRequest, fault.NotRun, "send the token as it was received", "a snapshot token is too long")
	}
	return checkName("search", string(r.Search))
}

func writeError(w http.ResponseWriter, err *fault.Error) {
	observeRefusal(w, err)
	writeJSON(w, err.HTTPStatus(), ErrorReply{Error: err})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the caller has disconnected
}
