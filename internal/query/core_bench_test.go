package query

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/inventory"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/corpus"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// newBenchEngine returns an engine for one index with three replicas of each shard.
func newBenchEngine(shards int) (*Engine, *model.Catalogue) {
	catalogue := &model.Catalogue{Searches: []model.Search{{ID: "all", Indexes: []model.IndexID{"a"}}}}
	reports := inventory.New()
	shardMap := corpus.EvenShardMap(shards)
	index := model.Index{ID: "a"}
	for _, shard := range shardMap {
		group := model.Group{ID: string(shard.ID)}
		for r := range 3 {
			id := model.TargetID(fmt.Sprintf("%s-%d", shard.ID, r))
			catalogue.Targets = append(catalogue.Targets, model.Target{ID: id, Slots: 6})
			group.Targets = append(group.Targets, id)
			reports.Put(model.TargetStatus{Target: id, Incarnation: 1, State: model.TargetReady, Slots: 6, Indexes: []model.IndexStatus{{
				Index: "a", Version: firstVer, ShardMap: shardMap, Held: []model.ShardID{shard.ID},
			}}})
		}
		index.Groups = append(index.Groups, group)
	}
	catalogue.Indexes = []model.Index{index}
	engine := New(zap.NewNop(), Config{
		Inventory: reports, Host: "h", Incarnation: 1, Keys: snapshot.Keys{[]byte("a key for the benchmark")},
	})
	return engine, catalogue
}

// benchReplies returns a reply with 20 sorted hits for each shard.
func benchReplies(shards int) []targetclient.SearchReply {
	replies := make([]targetclient.SearchReply, shards)
	for i, shard := range corpus.EvenShardMap(shards) {
		reply := targetclient.SearchReply{Index: "a", Shard: shard.ID, Version: firstVer, KeyRange: shard.KeyRange}
		for h := range 20 {
			reply.Hits = append(reply.Hits, model.Hit{Index: "a", ID: fmt.Sprintf("%d-%d", i, h), Score: float64(100 - h*(1+i%5))})
		}
		replies[i] = reply
	}
	return replies
}

// runDecisions makes every decision of one query without network or goroutines: snapshot, replica of each shard, reply
// validation, evidence, coverage, merge, token and record.
func runDecisions(engine *Engine, catalogue *model.Catalogue, recorder *explain.Recorder, replies []targetclient.SearchReply) (Result, error) {
	r := Request{Caller: "c", Search: "all", Query: []byte(`{"text":"hub"}`), Limit: 20, Deadline: time.Hour, Mode: scatter.Full}
	ctx := explain.NewContext(context.Background(), recorder.Begin("search"))
	now := engine.now()
	v := engine.currentView(catalogue, now)
	directory, _ := v.directory(r.Search)
	chosen, err := engine.chooseSnapshot(directory, r)
	if err != nil {
		return Result{}, err
	}
	q := engine.newQuery(ctx, v, chosen, r, now)
	for _, action := range q.machine.Tick(now) {
		q.attempts = append(q.attempts, q.newAttempt(action))
	}
	for i, a := range q.attempts {
		a.updateStats(engine.now(), "", 1)
		q.record.endAttempt(a.recordIndex, "")
		q.machine.Reply(engine.now(), i, &replies[i])
	}
	return q.result(ctx)
}

// BenchmarkDecisionCore measures the decisions of one query for several numbers of shards.
func BenchmarkDecisionCore(b *testing.B) {
	for _, shards := range []int{10, 30, 61} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			engine, catalogue := newBenchEngine(shards)
			recorder := explain.NewRecorder(512)
			replies := benchReplies(shards)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := runDecisions(engine, catalogue, recorder, replies); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestDecisionCoreReturnsCompleteAnswer guards against a benchmark that measures anything less than a complete answer.
func TestDecisionCoreReturnsCompleteAnswer(t *testing.T) {
	engine, catalogue := newBenchEngine(61)
	result, err := runDecisions(engine, catalogue, explain.NewRecorder(1), benchReplies(61))
	require.NoError(t, err)
	require.EqualValues(t, 1, result.Coverage.Fraction)
	require.Len(t, result.Hits, 20)
	require.NotEmpty(t, result.Snapshot)
}
