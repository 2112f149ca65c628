package query

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/concurrency"
	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/gate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
)

// TestTokenRepeatsAnswer guards against a repeated stock query with another result, and against a pinned query that reads
// another version once its own is gone.
func TestTokenRepeatsAnswer(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		first := w.search(t, request())
		w.publish("a", firstVer+1, groups, true)
		w.poll()
		pinned := request()
		pinned.Snapshot = first.Snapshot
		again := w.search(t, pinned)
		require.Equal(t, first.Hits, again.Hits)
		require.Equal(t, first.Versions, again.Versions)
		newer := w.search(t, request())
		require.EqualValues(t, firstVer+1, newer.Versions["a"])
		floor := request()
		floor.MinSnapshot = newer.Snapshot
		require.Equal(t, newer.Versions, w.search(t, floor).Versions)
		w.publish("a", firstVer+2, groups, false)
		w.poll()
		_, err := w.engine.Search(context.Background(), w.catalogue, pinned)
		require.True(t, fault.IsKind(err, fault.SnapshotGone), "%v", err)
		require.Equal(t, fault.NotRun, fault.As(err).Execution)
	})
}

// TestRestartAtNewerSnapshot guards against a partial answer when every target has moved on to a new version.
func TestRestartAtNewerSnapshot(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		w.search(t, request())
		w.publish("a", firstVer+1, groups+1, false) // the reports still name the old version
		result := w.search(t, request())
		require.EqualValues(t, firstVer+1, result.Versions["a"])
		require.EqualValues(t, 1, result.Coverage.Fraction)
		require.NoError(t, honest(result, request().Limit))
	})
}

// TestCoverageBelowMinimum guards against a refusal that hides the coverage, or claims that nothing ran (P6).
func TestCoverageBelowMinimum(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		for r := range replicas {
			w.targets[model.TargetID("a-0-"+string(rune('0'+r)))].SetState(model.TargetDraining)
		}
		r := request()
		r.MinCoverage = 1
		_, err := w.engine.Search(context.Background(), w.catalogue, r)
		require.True(t, fault.IsKind(err, fault.CoverageBelowMinimum), "%v", err)
		require.Equal(t, fault.Ran, fault.As(err).Execution)
		require.InDelta(t, 0.875, *fault.As(err).Coverage, 0.001)
		for _, id := range w.catalogue.Targets {
			w.targets[id.ID].SetState(model.TargetDraining)
		}
		_, err = w.engine.Search(context.Background(), w.catalogue, r)
		require.Equal(t, fault.NotRun, fault.As(err).Execution, "%v", err)
	})
}

// TestHedgeCoversSilentAttempt guards against a query that waits for its deadline because one attempt got no answer.
func TestHedgeCoversSilentAttempt(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		for i := range 400 {
			if i%20 == 0 {
				silent := w.catalogue.Targets[i/20*7%len(w.targets)] // the hits spread over the groups
				w.targets[silent.ID].Inject(target.FaultSilent, 1)
			}
			started := time.Now()
			require.EqualValues(t, 1, w.search(t, request()).Coverage.Fraction, "query %d", i)
			require.Less(t, time.Since(started), 60*ms)
		}
		w.engine.Wait()
	})
}

// TestStragglerStaysWithinBudget guards against a tail as long as the straggler's latency, and against more than 5 % of
// extra attempts.
func TestStragglerStaysWithinBudget(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		w.targets["a-1-0"].SetSlowdown(10)
		w.targets["b-2-1"].SetSlowdown(10)
		const queries = 600
		var latencies []time.Duration
		for range queries {
			started := time.Now()
			require.EqualValues(t, 1, w.search(t, request()).Coverage.Fraction)
			latencies = append(latencies, time.Since(started))
		}
		w.engine.Wait()
		slices.Sort(latencies)
		extra := float64(len(w.records()))/(queries*2*groups) - 1
		t.Logf("p50 %v, p99 %v, extra load %.4f", latencies[queries/2], latencies[queries*99/100], extra)
		require.Less(t, latencies[queries*99/100], 25*ms)
		require.LessOrEqual(t, extra, 0.06, "5 % and the first burst")
	})
}

// TestStartDoesNotDoubleAttempts guards against a host that hedges most of its first attempts, because it takes the first
// latency that it sees for the usual one or knows none.
func TestStartDoesNotDoubleAttempts(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		for _, x := range w.targets {
			x.SetSlowdown(4)
		}
		for range 5 {
			w.search(t, request())
		}
		w.engine.Wait()
		require.LessOrEqual(t, len(w.records()), 5*2*groups*105/100)
	})
}

// TestNoExtraAttemptsWhereQueuesForm guards against hedges and retries that lengthen the queues of a target that sheds.
func TestNoExtraAttemptsWhereQueuesForm(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		w.search(t, request())
		now := w.engine.now()
		part := &w.engine.view.Load().searches["all"].directory.Choose().Parts[0]
		p := &picker{engine: w.engine, view: w.engine.view.Load(), caller: w.engine.caller("c"), rng: rand.New(rand.NewPCG(1, 1))}
		p.view.targets[part.Replicas[0]].evidence.Crowd(now)
		for range 3 {
			id, verdict := p.Pick(now, part, scatter.LateHedge, nil)
			require.Equal(t, scatter.Picked, verdict)
			require.NotEqual(t, part.Replicas[0], id)
		}
		p.view.targets[part.Replicas[1]].evidence.Crowd(now)
		_, verdict := p.Pick(now, part, scatter.LateHedge, nil)
		require.Equal(t, scatter.NoTarget, verdict, "most replicas have queues")
		_, verdict = p.Pick(now, part, scatter.First, nil)
		require.Equal(t, scatter.Picked, verdict)
	})
}

// observer keeps what it is told.
type observer struct {
	mu     sync.Mutex
	starts []AttemptStart
	ends   []AttemptEnd
}

func (o *observer) AttemptStarted(s AttemptStart) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts = append(o.starts, s)
}

func (o *observer) AttemptEnded(e AttemptEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ends = append(o.ends, e)
}

// TestSuspectCrashesOneTarget guards against a request that crashes targets and is sent to more than one of them while it
// runs alone; the observer learns of its end.
func TestSuspectCrashesOneTarget(t *testing.T) {
	o := &observer{}
	inWorld(t, func(c *Config) { c.Observer = o }, func(w *world) {
		for _, x := range w.targets {
			x.SetPoison("poison")
		}
		r := request()
		r.Query = json.RawMessage(`{"text":"poison"}`)
		r.Suspect = true
		w.search(t, r)
		w.engine.Wait()
		crashes := 0
		for _, x := range w.targets {
			crashes += x.Crashes()
		}
		require.Equal(t, 1, crashes)
		require.Len(t, o.ends, 1)
		require.Equal(t, scatter.FailedLost, o.ends[0].Failure)
		require.Equal(t, r.Fingerprint(), o.ends[0].Fingerprint)
		require.EqualValues(t, 1, o.ends[0].Incarnation)
		time.Sleep(2 * time.Second)
		w.poll()
		r.Query = json.RawMessage(`{"text":""}`)
		require.EqualValues(t, 1, w.search(t, r).Coverage.Fraction, "an innocent suspect gets its whole answer")
	})
}

// TestCrashingRequestIsNotSentOn guards against hedges and retries of a request that has lost a target: it reaches at
// most one target of each shard.
func TestCrashingRequestIsNotSentOn(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		for _, x := range w.targets {
			x.SetPoison("poison")
		}
		r := request()
		r.Query = json.RawMessage(`{"text":"poison"}`)
		w.search(t, r)
		w.engine.Wait()
		require.LessOrEqual(t, len(w.records()), 2*groups)
	})
}

// countingGate refuses one target and counts places that were not given back.
type countingGate struct {
	mu      sync.Mutex
	refused model.TargetID
	// cold is the target that is not warm.
	cold    model.TargetID
	taken   map[model.TargetID]int
	results map[gate.Result]int
}

func (g *countingGate) Eligible(model.TargetID) bool { return true }
func (g *countingGate) Warm(id model.TargetID) bool  { return id != g.cold }

func (g *countingGate) Acquire(id model.TargetID, _ time.Time) (gate.Release, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id == g.refused {
		return nil, false
	}
	g.taken[id]++
	return func(o gate.Outcome) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.taken[id]--
		g.results[o.Result]++
	}, true
}

// TestPlaceIsHeldUntilOwnReply guards against a slot that counts as free while its cancelled attempt still runs, against
// one that is never given back, and against work for a target that the gate refuses.
func TestPlaceIsHeldUntilOwnReply(t *testing.T) {
	g := &countingGate{refused: "a-0-0", taken: map[model.TargetID]int{}, results: map[gate.Result]int{}}
	inWorld(t, func(c *Config) { c.Gate = g }, func(w *world) {
		w.targets["a-1-0"].SetSlowdown(10)
		for range 100 {
			result := w.search(t, request())
			require.EqualValues(t, 1, result.Coverage.Fraction)
			for id, x := range w.targets {
				g.mu.Lock()
				require.GreaterOrEqual(t, g.taken[id], x.Status().InFlight, "%s", id)
				g.mu.Unlock()
			}
		}
		w.engine.Wait()
		for id, state := range w.engine.State().Targets {
			require.Zero(t, state.InFlight, id)
		}
		for id, taken := range g.taken {
			require.Zero(t, taken, id)
		}
		require.Empty(t, w.targets["a-0-0"].Records())
		require.Positive(t, g.results[gate.Cancelled])
	})
}

// TestExplainTellsAttemptsAndRefusals guards against a query whose course cannot be told afterwards.
func TestExplainTellsAttemptsAndRefusals(t *testing.T) {
	g := &countingGate{refused: "a-0-0", taken: map[model.TargetID]int{}, results: map[gate.Result]int{}}
	inWorld(t, func(c *Config) { c.Gate = g }, func(w *world) {
		w.targets["b-0-0"].Inject(target.FaultCrossed, 9)
		w.targets["b-0-1"].Inject(target.FaultCrossed, 9)
		w.targets["b-0-2"].Inject(target.FaultCrossed, 9)
		_, query := w.explained(t, request())
		w.engine.Wait()
		record := query.Snapshot()
		require.GreaterOrEqual(t, len(record.Attempts), 2*groups)
		results, roles := map[string]int{}, map[string]int{}
		for _, a := range record.Attempts {
			require.Positive(t, a.EndMS)
			results[a.Result]++
			roles[a.Role]++
		}
		require.Positive(t, results["ok"])
		require.Positive(t, results[string(scatter.FailedMismatch)])
		require.Positive(t, roles[string(scatter.Retry)])
		require.NotEmpty(t, record.Refusals)
		require.EqualValues(t, firstVer, record.Versions["a"])
		for range 100 {
			w.search(t, request())
		}
		require.LessOrEqual(t, len(query.Snapshot().Refusals), explain.MaxRefusals)
	})
}

// TestCallerThatLeavesCancelsItsAttempts guards against slots that stay busy for a caller that has gone, also if a cancel
// request overtakes its attempt: the hedges leave at the same moment as the caller.
func TestCallerThatLeavesCancelsItsAttempts(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		for _, x := range w.targets {
			x.SetSlowdown(20)
		}
		ctx, stop := context.WithCancel(context.Background())
		time.AfterFunc(10*ms, stop)
		started := time.Now()
		_, err := w.engine.Search(ctx, w.catalogue, request())
		require.Equal(t, fault.OutcomeUnknown, fault.As(err).Execution)
		require.Equal(t, 10*ms, time.Since(started))
		w.engine.Wait()
		require.LessOrEqual(t, time.Since(started), 35*ms)
	})
}

// TestCapacityFollowsTheSmallestGroup guards against admitting more queries than the group with the fewest places can take,
// so that the others' places are held by queries that wait.
func TestCapacityFollowsTheSmallestGroup(t *testing.T) {
	inWorld(t, func(*Config) {}, func(w *world) {
		before := w.engine.Capacity(w.catalogue, w.catalogue.Searches[0].ID)
		for _, id := range w.catalogue.Indexes[0].Groups[0].Targets {
			state := w.engine.currentView(w.catalogue, w.engine.now()).targets[id]
			state.mu.Lock()
			state.limiter = concurrency.Fixed(1)
			state.mu.Unlock()
		}
		after := w.engine.Capacity(w.catalogue, w.catalogue.Searches[0].ID)
		require.Less(t, after, before)
		require.Equal(t, len(w.catalogue.Indexes[0].Groups[0].Targets), after)
	})
}

// TestReturnedTargetGetsWork guards against a target that stays cold for ever because its replicas are warm, and against
// more than a small part of the attempts going to it.
func TestReturnedTargetGetsWork(t *testing.T) {
	g := &countingGate{cold: "a-0-0", taken: map[model.TargetID]int{}, results: map[gate.Result]int{}}
	inWorld(t, func(c *Config) { c.Gate = g }, func(w *world) {
		for range 400 {
			w.search(t, request())
		}
		w.engine.Wait()
		work := len(w.targets["a-0-0"].Records())
		require.Greater(t, work, 400/coldChoices/2)
		require.Less(t, work, 2*400/coldChoices)
	})
}
