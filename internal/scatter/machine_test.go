package scatter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const ms = time.Millisecond

// world is a fleet of fake targets whose index changes its version and shard map, and whose replies go wrong. It is the
// Picker, too.
type world struct {
	rng      *rand.Rand
	reports  []model.TargetStatus
	refuse   float64 // probability that a target takes no attempt
	budget   int
	damage   float64 // probability that a reply goes wrong
	newer    *snapshot.Directory
	pending  []delivery
	attempts map[int]*sent
}

type sent struct {
	action    Action
	cancelled bool
}

// delivery is an event on its way to the machine. genuine is what the target really read, whatever the reply says.
type delivery struct {
	at      time.Duration
	attempt int
	reply   *targetclient.SearchReply
	failure Failure
	genuine coverage.Part
	version model.Version
}

func (w *world) Pick(_ time.Duration, part *snapshot.Part, kind Kind, exclude []model.TargetID) (model.TargetID, Verdict) {
	var open []model.TargetID
	for _, target := range part.Replicas {
		if !slices.Contains(exclude, target) && w.rng.Float64() >= w.refuse {
			open = append(open, target)
		}
	}
	if len(open) == 0 {
		return "", NoTarget
	}
	if kind.Extra() {
		if w.budget == 0 {
			return "", NoBudget
		}
		w.budget--
	}
	return open[w.rng.IntN(len(open))], Picked
}

func (w *world) HedgeDelay(*snapshot.Part) time.Duration { return 5 * ms }
func (w *world) Backoff(retry int) time.Duration         { return time.Duration(retry) * ms }
func (w *world) Newer(present snapshot.Snapshot) (snapshot.Snapshot, bool) {
	return w.newer.Newer(present)
}

// answer makes the events that an attempt leads to: a true reply, a failure, or a damaged, doubled or late reply.
func (w *world) answer(now time.Duration, action Action) {
	what := action.What
	d := delivery{at: now + time.Duration(1+w.rng.IntN(12))*ms, attempt: action.Attempt.ID, genuine: what.Part, version: what.Version}
	if w.rng.Float64() >= w.damage {
		w.deliver(d)
		return
	}
	switch w.rng.IntN(9) {
	case 0: // no event at all
		return
	case 1: // late
		d.at += 100 * ms
	case 2: // the target serves another version
		d.version++
	case 3: // the target serves another partitioning of the version
		d.genuine.High -= 7
	case 4: // the reply of another attempt at another shard
		d.genuine.ID, d.genuine.Low = "other", d.genuine.High
	case 5:
		w.deliver(d)
		d.at += ms // twice
	case 6:
		d.genuine.Index = "crossed"
	default:
		d.failure = []Failure{
			FailedNotSent, FailedShed, FailedDraining, FailedDeadline, FailedVersionGone, FailedVersionGone, FailedMismatch,
			FailedSilent, FailedLost,
		}[w.rng.IntN(9)]
	}
	w.deliver(d)
}

func (w *world) deliver(d delivery) {
	if d.failure == "" {
		d.reply = &targetclient.SearchReply{
			Index: d.genuine.Index, Shard: d.genuine.ID, Version: d.version, KeyRange: d.genuine.KeyRange,
			Hits: []model.Hit{{Index: d.genuine.Index, ID: string(d.genuine.ID), Fields: map[string]string{"v": fmt.Sprint(d.version)}}},
		}
	}
	w.pending = append(w.pending, d)
}

// run drives a machine to its end. It returns the deliveries that came before the end.
func (w *world) run(t require.TestingT, m *Machine, deadline time.Duration) []delivery {
	var now time.Duration
	var delivered []delivery
	w.carryOut(t, now, m, m.Tick(now))
	for !m.Done() {
		at := slices.IndexFunc(w.pending, func(d delivery) bool { return d.at == w.earliest() })
		if at < 0 || w.pending[at].at >= m.Wake() {
			require.LessOrEqual(t, now, m.Wake())
			now = max(now, m.Wake())
			require.LessOrEqual(t, now, deadline)
			w.carryOut(t, now, m, m.Tick(now))
			continue
		}
		d := w.pending[at]
		w.pending = slices.Delete(w.pending, at, at+1)
		now = d.at
		delivered = append(delivered, d)
		if d.failure != "" {
			w.carryOut(t, now, m, m.Fail(now, d.attempt, d.failure))
		} else {
			w.carryOut(t, now, m, m.Reply(now, d.attempt, d.reply))
		}
	}
	return delivered
}

func (w *world) earliest() time.Duration {
	earliest := never
	for _, d := range w.pending {
		earliest = min(earliest, d.at)
	}
	return earliest
}

func (w *world) carryOut(t require.TestingT, now time.Duration, m *Machine, actions []Action) {
	for _, action := range actions {
		id := action.Attempt.ID
		if action.Type == Cancel {
			require.False(t, w.attempts[id].cancelled, "cancelled twice")
			w.attempts[id].cancelled = true
			continue
		}
		require.Contains(t, action.What.Replicas, action.Attempt.Target)
		require.Nil(t, w.attempts[id], "sent twice")
		w.attempts[id] = &sent{action: action}
		require.LessOrEqual(t, len(w.attempts), m.MaxAttempts())
		w.answer(now, action)
	}
}

func reports(version model.Version, shards, replicas int) []model.TargetStatus {
	var result []model.TargetStatus
	for _, index := range []model.IndexID{"a", "b"} {
		var shardMap []model.Shard
		for s := range shards {
			keys := model.KeyRange{Low: uint32(model.KeySpace * s / shards), High: uint32(model.KeySpace * (s + 1) / shards)}
			shardMap = append(shardMap, model.Shard{ID: model.ShardID(fmt.Sprint("s", s)), KeyRange: keys})
		}
		for s := range shards * replicas {
			result = append(result, model.TargetStatus{
				Target: model.TargetID(fmt.Sprint(index, s)),
				Indexes: []model.IndexStatus{{
					Index: index, Version: version, ShardMap: shardMap, Held: []model.ShardID{shardMap[s%shards].ID},
				}},
			})
		}
	}
	return result
}

// naiveCoverage recomputes the coverage of a snapshot from what the targets really read.
func naiveCoverage(w *world, s snapshot.Snapshot, round int, delivered []delivery) float64 {
	var keys, covered uint64
	for i, part := range s.Parts {
		keys += uint64(part.Len())
		for _, d := range delivered {
			a := w.attempts[d.attempt].action.Attempt
			if d.reply != nil && a.Round == round && a.Part == i && d.genuine == part.Part && d.version == part.Version {
				covered += uint64(part.Len())
				break
			}
		}
	}
	return float64(covered) / float64(keys)
}

// TestAnswerIsOneSnapshotWithTrueCoverage guards P1 and P2: no answer mixes versions or partitionings, and its coverage
// is what a recomputation from the targets' work gives, while versions change and replies fail, cross, double or are late.
func TestAnswerIsOneSnapshotWithTrueCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			rng:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			reports:  reports(4, rapid.IntRange(1, 5).Draw(t, "shards"), rapid.IntRange(1, 3).Draw(t, "replicas")),
			refuse:   rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "refuse"),
			budget:   rapid.IntRange(0, 5).Draw(t, "budget"),
			damage:   rapid.SampledFrom([]float64{0, 0.2, 0.7}).Draw(t, "damage"),
			attempts: map[int]*sent{},
		}
		w.newer = snapshot.New([]model.IndexID{"a", "b"},
			append(slices.Clone(w.reports), reports(5, rapid.IntRange(1, 4).Draw(t, "new shards"), 2)...))
		cfg := Config{
			Snapshot:     snapshot.New([]model.IndexID{"a", "b"}, w.reports).Choose(),
			Pinned:       rapid.Bool().Draw(t, "pinned"),
			Mode:         rapid.SampledFrom([]Mode{Fast, Full}).Draw(t, "mode"),
			MinCoverage:  rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minimum"),
			SoftDeadline: 8 * ms,
			Deadline:     40 * ms,
			Suspect:      rapid.IntRange(0, 4).Draw(t, "suspect") == 0,
		}
		m := New(cfg, w)
		delivered := w.run(t, m, cfg.Deadline)
		result := m.Result()
		round := 0
		if !slices.Equal(result.Snapshot.Pins, cfg.Snapshot.Pins) {
			require.True(t, result.Restarted && !cfg.Pinned)
			round = 1
		}
		parts := make([]coverage.Part, len(result.Snapshot.Parts))
		for i, part := range result.Snapshot.Parts {
			parts[i] = part.Part
		}
		require.NoError(t, result.Coverage.Check(parts))
		require.Equal(t, naiveCoverage(w, result.Snapshot, round, delivered), result.Coverage.Fraction)
		for _, list := range result.Hits() {
			for _, hit := range list {
				require.Equal(t, fmt.Sprint(result.Snapshot.Versions[hit.Index]), hit.Fields["v"])
			}
		}
		requireSlotsAccounted(t, w, delivered)
		if cfg.Suspect {
			requireRanAlone(t, w, delivered)
		}
	})
}

// requireSlotsAccounted checks that every attempt that has not come back was cancelled.
func requireSlotsAccounted(t require.TestingT, w *world, delivered []delivery) {
	for id, s := range w.attempts {
		back := slices.ContainsFunc(delivered, func(d delivery) bool { return d.attempt == id })
		require.True(t, back || s.cancelled, "attempt %d goes on without need", id)
	}
}

// requireRanAlone checks that a suspect query sent one attempt first and no extra one.
func requireRanAlone(t require.TestingT, w *world, delivered []delivery) {
	for id, s := range w.attempts {
		require.Equal(t, First, s.action.Attempt.Kind)
		require.True(t, id == 0 || s.action.Attempt.Sent >= delivered[0].at && delivered[0].reply != nil)
	}
}

// TestHedgesAndRetriesNeedBudget guards against extra load without budget.
func TestHedgesAndRetriesNeedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 4).Draw(t, "budget")
		w := &world{
			rng:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)),
			damage:   0.5,
			budget:   budget,
			attempts: map[int]*sent{},
		}
		w.newer = snapshot.New([]model.IndexID{"a", "b"}, reports(4, 3, 3))
		m := New(Config{Snapshot: w.newer.Choose(), Mode: Full, Deadline: 50 * ms, MinCoverage: 1}, w)
		w.run(t, m, 50*ms)
		extra := 0
		for _, s := range w.attempts {
			if s.action.Attempt.Kind.Extra() {
				extra++
			}
		}
		require.LessOrEqual(t, extra, budget)
	})
}

// TestLostTargetStopsExtraAttempts guards against a request that crashes a target and is sent on to its replicas.
func TestLostTargetStopsExtraAttempts(t *testing.T) {
	w := &world{rng: rand.New(rand.NewPCG(1, 1)), budget: 100, attempts: map[int]*sent{}}
	w.newer = snapshot.New([]model.IndexID{"a"}, reports(4, 2, 3))
	m := New(Config{Snapshot: w.newer.Choose(), Mode: Full, Deadline: 50 * ms}, w)
	require.Len(t, m.Tick(0), 2)
	require.Empty(t, m.Fail(ms, 0, FailedLost))
	require.Empty(t, m.Tick(6*ms), "a hedge follows a lost target")
	require.Empty(t, m.Fail(7*ms, 1, FailedSilent))
	require.True(t, m.Done())
}
