package query

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/inventory"
	"github.com/knapweedrouter/knapweedrouter/internal/merge"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/corpus"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	ms       = time.Millisecond
	groups   = 4
	replicas = 3
	firstVer = 7
)

// harness runs an engine against stand-ins for the targets of two indexes, in virtual time.
type harness struct {
	catalogue *model.Catalogue
	targets   map[model.TargetID]*target.Target
	reports   *inventory.Inventory
	client    *target.Client
	engine    *Engine
}

func withHarness(t *testing.T, change func(*Config), check func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(change)
		check(h)
		h.engine.Wait()
		time.Sleep(time.Minute) // lets the timers of the stand-ins expire
	})
}

func newHarness(change func(*Config)) *harness {
	h := &harness{
		catalogue: &model.Catalogue{Searches: []model.Search{{ID: "all", Indexes: []model.IndexID{"a", "b"}}}},
		targets:   map[model.TargetID]*target.Target{},
		reports:   inventory.New(),
	}
	for _, index := range []model.IndexID{"a", "b"} {
		described := model.Index{ID: index}
		for g := range groups {
			group := model.Group{ID: fmt.Sprint(g)}
			for r := range replicas {
				id := model.TargetID(fmt.Sprintf("%s-%d-%d", index, g, r))
				h.addTarget(id)
				group.Targets = append(group.Targets, id)
			}
			described.Groups = append(described.Groups, group)
		}
		h.catalogue.Indexes = append(h.catalogue.Indexes, described)
		h.publish(index, firstVer, groups, false)
	}
	h.pollStatus()
	h.client = target.NewClient(h.targets, func(model.Target) time.Duration { return ms })
	cfg := h.config(h.client)
	if change != nil {
		change(&cfg)
	}
	h.engine = New(zap.NewNop(), cfg)
	return h
}

func (h *harness) config(client targetclient.TargetClient) Config {
	return Config{
		Client: client, Inventory: h.reports, Host: "h", Incarnation: 1, Keys: snapshot.Keys{[]byte("key")}, Seed: 1,
	}
}

func (h *harness) addTarget(id model.TargetID) {
	described := model.Target{ID: id, Address: string(id), Slots: 4, ColdSlots: 1}
	h.catalogue.Targets = append(h.catalogue.Targets, described)
	h.targets[id] = target.New(target.Config{
		Target: described, Incarnation: 1, ServiceTime: 4 * ms, Seed: uint64(len(h.targets)),
	})
}

// publish installs a version with count shards on all targets of an index. Shard n belongs to group n modulo groups.
func (h *harness) publish(index model.IndexID, version model.Version, count int, keepOld bool) {
	shards := corpus.EvenShardMap(count)
	for id, t := range h.targets {
		var group, number int
		if _, err := fmt.Sscanf(string(id), string(index)+"-%d-%d", &group, &number); err != nil {
			continue
		}
		held := target.IndexVersion{Index: index, Version: version, ShardMap: shards}
		for n := range shards {
			if n%groups == group {
				held.Held = append(held.Held, shards[n].ID)
			}
		}
		indexes := []target.IndexVersion{held}
		if keepOld {
			for _, old := range t.Status().Indexes {
				indexes = append(indexes, target.IndexVersion{
					Index: old.Index, Version: old.Version, ShardMap: old.ShardMap, Held: old.Held,
				})
			}
		}
		t.SetIndexes(indexes)
	}
}

func (h *harness) pollStatus() {
	for _, t := range h.targets {
		h.reports.Put(t.Status())
	}
}

func request() Request {
	return Request{Caller: "c", Search: "all", Query: json.RawMessage(`{"text":""}`), Limit: 50, Deadline: 100 * ms}
}

// unlimitedRequest has a limit above the total number of hits, so that any lost hit is detected.
func unlimitedRequest() Request {
	r := request()
	r.Limit = 1000
	return r
}

func (h *harness) search(t require.TestingT, r Request) Result {
	result, _ := h.searchWithRecord(t, r)
	return result
}

// searchWithRecord searches and also returns the record of the query.
func (h *harness) searchWithRecord(t require.TestingT, r Request) (Result, *explain.Query) {
	query := explain.NewRecorder(1).Begin("search")
	result, err := h.engine.Search(explain.NewContext(context.Background(), query), h.catalogue, r)
	require.NoError(t, err)
	return result, query
}

// records returns the attempts received by all targets.
func (h *harness) records() []target.Record {
	var all []target.Record
	for _, t := range h.targets {
		all = append(all, t.Records()...)
	}
	return all
}

// checkAnswer returns an error unless the hits are exactly those of the stated versions in the key ranges that the
// coverage reports as answered.
func checkAnswer(result Result, limit int) error {
	var want [][]model.Hit
	for _, index := range []model.IndexID{"a", "b"} {
		documents := slices.Clone(corpus.Documents(index, result.Versions[index])) // the original is shared with the stand-ins
		documents = slices.DeleteFunc(documents, func(d corpus.Document) bool {
			return slices.ContainsFunc(result.Coverage.Missing, func(p coverage.Part) bool {
				return p.Index == index && d.Key >= p.Low && d.Key < p.High
			})
		})
		want = append(want, corpus.Search(documents, model.KeyRange{High: model.KeySpace}, "", limit))
	}
	got, expected := result.Hits, merge.Top(want, limit)
	if !slices.EqualFunc(got, expected, func(a, b model.Hit) bool {
		return merge.Compare(a, b) == 0 && a.Fields["version"] == b.Fields["version"]
	}) {
		return fmt.Errorf("versions %v, coverage %g: %d hits that differ from the %d expected",
			result.Versions, result.Coverage.Fraction, len(got), len(expected))
	}
	return nil
}

// naive queries a random replica of each shard of the newest version, waits for all of them and accepts any reply.
func (h *harness) naive(rng *rand.Rand, r Request) Result {
	client := target.NewClient(h.targets, func(model.Target) time.Duration { return ms })
	client.Unchecked = true
	var reports []model.TargetStatus
	for _, report := range h.reports.All() {
		reports = append(reports, report)
	}
	chosen := snapshot.New([]model.IndexID{"a", "b"}, reports).Choose()
	replies := make([]*targetclient.SearchReply, len(chosen.Parts))
	var wait conc.WaitGroup
	for i, part := range chosen.Parts {
		if len(part.Replicas) == 0 {
			continue
		}
		id := part.Replicas[rng.IntN(len(part.Replicas))]
		wait.Go(func() {
			reply, err := client.Search(context.Background(), model.Target{ID: id}, targetclient.SearchRequest{
				Attempt: model.AttemptID{Incarnation: 99, Sequence: uint64(i)}, Index: part.Index, Shard: part.ID,
				Version: part.Version, Query: r.Query, Limit: r.Limit, DeadlineMS: r.Deadline.Milliseconds(),
			})
			if err == nil {
				replies[i] = &reply
			}
		})
	}
	wait.Wait()
	result := Result{Versions: chosen.Versions}
	var lists [][]model.Hit
	parts := make([]coverage.Part, len(chosen.Parts))
	for i := range replies {
		parts[i] = chosen.Parts[i].Part
		if replies[i] != nil {
			lists = append(lists, replies[i].Hits)
		}
	}
	result.Coverage = coverage.Compute(parts, func(i int) bool { return replies[i] != nil })
	result.Hits = merge.Top(lists, r.Limit)
	return result
}
