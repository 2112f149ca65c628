// Package query carries out one query: it sends the attempts that the decision packages ask for and collects replies.
package query

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/inventory"
	"github.com/knapweedrouter/knapweedrouter/internal/merge"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// Request is a search request of a caller.
type Request struct {
	Search model.SearchID
	Query  json.RawMessage
	Limit  int
	// Deadline is the time that the caller waits.
	Deadline    time.Duration
	MinCoverage float64
}

// Result is the answer to a search request.
type Result struct {
	Versions map[model.IndexID]model.Version
	Coverage coverage.Coverage
	Hits     []model.Hit
}

// Engine answers searches. It is safe for concurrent use.
type Engine struct {
	client      targetclient.TargetClient
	inventory   *inventory.Inventory
	incarnation model.Incarnation
	sequence    atomic.Uint64
}

// New returns an engine.
func New(client targetclient.TargetClient, reports *inventory.Inventory, incarnation model.Incarnation) *Engine {
	return &Engine{client: client, inventory: reports, incarnation: incarnation}
}

// Search scatters the request to every shard of the search's snapshot and gathers one answer.
func (e *Engine) Search(ctx context.Context, catalogue *model.Catalogue, request Request) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Deadline)
	defer cancel()
	chosen, targets, err := e.choose(catalogue, request.Search)
	if err != nil {
		return Result{}, err
	}
	replies := make([]*targetclient.SearchReply, len(chosen.Parts))
	var group conc.WaitGroup
	for i, part := range chosen.Parts {
		group.Go(func() { replies[i] = e.attempt(ctx, part, targets, request) })
	}
	group.Wait()
	return assemble(chosen, replies, request)
}

func (e *Engine) choose(catalogue *model.Catalogue, id model.SearchID) (snapshot.Snapshot, map[model.TargetID]model.Target, error) {
	for _, search := range catalogue.Searches {
		if search.ID != id {
			continue
		}
		targets := map[model.TargetID]model.Target{}
		var reports []model.TargetStatus
		for _, target := range catalogue.Targets {
			targets[target.ID] = target
			if report, ok := e.inventory.Get(target.ID); ok {
				reports = append(reports, report)
			}
		}
		return snapshot.New(search.Indexes, reports).Choose(), targets, nil
	}
	return snapshot.Snapshot{}, nil, fault.New(fault.NotFound, fault.NotRun,
		"name a search of the catalogue", "there is no search %q", id)
}

// attempt asks one replica for a part. It returns nil if no valid reply arrived.
func (e *Engine) attempt(ctx context.Context, part snapshot.Part, targets map[model.TargetID]model.Target, request Request) *targetclient.SearchReply {
	if len(part.Replicas) == 0 {
		return nil
	}
	target := targets[part.Replicas[rand.IntN(len(part.Replicas))]]
	deadline, _ := ctx.Deadline()
	reply, err := e.client.Search(ctx, target, targetclient.SearchRequest{
		Attempt:    model.AttemptID{Incarnation: e.incarnation, Sequence: e.sequence.Add(1)},
		Index:      part.Index,
		Shard:      part.ID,
		Version:    part.Version,
		Query:      request.Query,
		Limit:      request.Limit,
		DeadlineMS: time.Until(deadline).Milliseconds(),
	})
	if err != nil || reply.KeyRange != part.KeyRange {
		return nil
	}
	return &reply
}

func assemble(chosen snapshot.Snapshot, replies []*targetclient.SearchReply, request Request) (Result, error) {
	parts := make([]coverage.Part, len(chosen.Parts))
	var lists [][]model.Hit
	for i, part := range chosen.Parts {
		parts[i] = part.Part
		if replies[i] != nil {
			lists = append(lists, replies[i].Hits)
		}
	}
	reached := coverage.Compute(parts, func(i int) bool { return replies[i] != nil })
	if reached.Fraction < request.MinCoverage {
		return Result{}, fault.New(fault.CoverageBelowMinimum, fault.Ran,
			"ask with a longer deadline or a lower minimum coverage",
			"%d of %d shards answered in time", reached.Answered, reached.Total).WithCoverage(reached.Fraction)
	}
	return Result{Versions: chosen.Versions, Coverage: reached, Hits: merge.Top(lists, request.Limit)}, nil
}
