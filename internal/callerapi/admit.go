package callerapi

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// SetAdmission sets the admission control that orders searches and enforces the limits of their callers. It must be called
// before Handler.
func (a *API) SetAdmission(admission execute.Admission) { a.admission = admission }

// admit waits until the search may run, and reduces its deadlines by the time that it waited.
func (a *API) admit(
	r *http.Request, catalogue *model.Catalogue, caller model.Caller, request *SearchRequest,
) (end func(error), err error) {
	if a.admission == nil {
		return func(error) {}, nil
	}
	deadline := time.Now().Add(time.Duration(request.DeadlineMS) * time.Millisecond)
	// This context isn't passed on to the search, which at its deadline still returns the results received so far.
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	end, err = a.admission.Admit(ctx, caller, string(request.Search), searchCost(catalogue, request.Search))
	if err != nil {
		return nil, err
	}
	request.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	request.SoftDeadlineMS = min(request.SoftDeadlineMS, request.DeadlineMS)
	return end, nil
}

// searchCost returns the number of initial target attempts of a search: one for each group of its indexes.
func searchCost(catalogue *model.Catalogue, id model.SearchID) float64 {
	groups := 0
	for _, search := range catalogue.Searches {
		if search.ID != id {
			continue
		}
		for _, index := range catalogue.Indexes {
			if slices.Contains(search.Indexes, index.ID) {
				groups += len(index.Groups)
			}
		}
	}
	return float64(max(1, groups))
}
