package dev

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/deployment"
	"github.com/knapweedrouter/knapweedrouter/internal/merge"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/fleet"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// searchAll searches the first target of each group that is not skipped and returns the correct outcome.
func searchAll(t *testing.T, e *Environment, skip map[int]bool) outcome {
	query, err := json.Marshal(searchQuery{Text: queryText, Marker: "m"})
	require.NoError(t, err)
	var lists [][]model.Hit
	var parts []coverage.Part
	for i, group := range e.Catalogue.Indexes[0].Groups {
		target := e.Targets[group.Targets[0]]
		held := target.Status().Indexes[0]
		parts = append(parts, coverage.Part{Index: held.Index, Shard: held.ShardMap[i]})
		if skip[i] {
			continue
		}
		reply, err := target.Search(context.Background(), targetclient.SearchRequest{
			Attempt: model.AttemptID{Sequence: uint64(i)}, Index: held.Index, Shard: held.Held[0],
			Version: held.Version, Query: query, Limit: queryLimit, DeadlineMS: 10_000,
		})
		require.NoError(t, err)
		lists = append(lists, reply.Hits)
	}
	return outcome{marker: "m", host: &Host{Settings: settings.Settings{HostID: "h"}}, reply: callerapi.SearchReply{
		Versions: map[model.IndexID]model.Version{e.Catalogue.Indexes[0].ID: indexVersion},
		Coverage: coverage.Compute(parts, func(i int) bool { return !skip[i] }),
		Hits:     merge.Top(lists, queryLimit),
	}}
}

// Guards against a verifier that accepts an answer that is wrong, belongs to another version, or covers less than it
// claims.
func TestVerifierRejectsFalseAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, err := deployment.Load("cargavoz")
		require.NoError(t, err)
		e := &Environment{Catalogue: d.Catalogue("127.0.0.1", 1)}
		e.Targets = fleet.New(fleet.Config{Catalogue: e.Catalogue, Version: indexVersion, ServiceTime: time.Millisecond})
		partial := searchAll(t, e, map[int]bool{3: true, 7: true})
		require.NoError(t, newVerifier(e).check(partial))

		falseCoverage := partial
		falseCoverage.reply.Coverage.Answered, falseCoverage.reply.Coverage.Missing = 10, nil
		require.ErrorContains(t, newVerifier(e).check(falseCoverage), "other hits")

		wrongVersion := partial
		wrongVersion.reply.Versions = map[model.IndexID]model.Version{"slots": indexVersion + 1}
		require.ErrorContains(t, newVerifier(e).check(wrongVersion), "other hits")

		cut := partial
		cut.reply.Hits = cut.reply.Hits[:5]
		require.ErrorContains(t, newVerifier(e).check(cut), "other hits")

		invented := partial
		invented.marker = "another marker"
		require.ErrorContains(t, newVerifier(e).check(invented), "targets of 0 ran")
	})
}
