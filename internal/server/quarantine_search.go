package server

import (
	"context"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/query"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

var (
	_ query.Observer     = (*guard)(nil)
	_ callerapi.Searcher = guardedSearcher{}
)

// AttemptStarted implements query.Observer.
func (g *guard) AttemptStarted(a query.AttemptStart) {
	g.Started(a.Attempt, a.Target, a.Caller, a.Fingerprint)
}

// AttemptEnded implements query.Observer.
func (g *guard) AttemptEnded(a query.AttemptEnd) {
	var err error
	if a.Failure == scatter.FailedLost {
		err = targetclient.ErrLost
	}
	g.Ended(a.Attempt, a.Target, a.ReplyIncarnation, err)
}

// guardedSearcher refuses searches that are known to crash targets, and runs suspect searches alone.
type guardedSearcher struct {
	next  callerapi.Searcher
	guard *guard
}

// Search implements callerapi.Searcher.
func (s guardedSearcher) Search(ctx context.Context, catalogue *model.Catalogue, request query.Request) (query.Result, error) {
	deadline := time.Now().Add(request.Deadline)
	bounded, cancel := context.WithDeadline(ctx, deadline)
	alone, end, err := s.guard.Admit(bounded, request.Caller, request.Fingerprint())
	cancel()
	if err != nil {
		return query.Result{}, err
	}
	complete := false
	defer func() { end(complete) }()
	request.Suspect = alone
	request.Deadline = time.Until(deadline)
	result, err := s.next.Search(ctx, catalogue, request)
	complete = err == nil && result.Coverage.Answered == result.Coverage.Total
	return result, err
}
