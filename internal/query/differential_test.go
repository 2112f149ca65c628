package query

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient/targettest"
)

// TestSameAnswerAsNaiveWithoutFailures guards against an engine that loses or alters hits.
func TestSameAnswerAsNaiveWithoutFailures(t *testing.T) {
	for seed := range uint64(10) {
		withHarness(t, nil, func(h *harness) {
			rng := rand.New(rand.NewPCG(seed, 1))
			if seed%2 == 1 {
				h.publish("a", firstVer+1, 1+rng.IntN(9), true)
				h.pollStatus()
			}
			want := h.naive(rng, request())
			got := h.search(t, request())
			require.Equal(t, want.Hits, got.Hits)
			require.Equal(t, want.Versions, got.Versions)
			require.Equal(t, want.Coverage, got.Coverage)
			require.NoError(t, checkAnswer(got, request().Limit))
		})
	}
}

// injectFaults makes replies fail and versions change while queries run.
func (h *harness) injectFaults(rng *rand.Rand) {
	faults := []target.Fault{
		target.FaultCrossed, target.FaultWrongVersion, target.FaultTruncated, target.FaultSilent, target.FaultReset,
	}
	for _, described := range h.catalogue.Targets {
		t := h.targets[described.ID]
		switch rng.IntN(12) {
		case 0, 1, 2:
			t.Inject(faults[rng.IntN(len(faults))], 1+rng.IntN(3))
		case 3:
			t.SetSlowdown(float64(1 + rng.IntN(40)))
		case 4:
			t.Crash()
		case 5:
			t.SetState(model.TargetDraining)
		}
	}
	if rng.IntN(3) == 0 {
		h.publish("a", firstVer+1, 5, false) // before the first attempts arrive; the reports still name the old version
	}
	for version := range model.Version(rng.IntN(3)) {
		wait := time.Duration(rng.IntN(40)) * ms / 2
		shards, keep := 1+rng.IntN(8), rng.IntN(2) == 0
		time.AfterFunc(wait, func() { h.publish("a", firstVer+2+version, shards, keep) })
	}
}

// TestAnswersAreCorrectUnderFailures guards against answers that violate P1, P2 or P5 under failures: the hits must be
// exactly those of the versions and key ranges that the answer states. The naive implementation mixes versions or
// overstates its coverage.
func TestAnswersAreCorrectUnderFailures(t *testing.T) {
	naiveIncorrect, answers, restarts := 0, 0, 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(nil)
			h.injectFaults(rand.New(rand.NewPCG(seed, 2)))
			if checkAnswer(h.naive(rand.New(rand.NewPCG(seed, 3)), unlimitedRequest()), unlimitedRequest().Limit) != nil {
				naiveIncorrect++
			}
			time.Sleep(time.Minute)
		})
		withHarness(t, nil, func(h *harness) {
			h.injectFaults(rand.New(rand.NewPCG(seed, 2)))
			for i := range 4 {
				r := unlimitedRequest()
				r.Mode = []scatter.Mode{scatter.Fast, scatter.Full}[i%2]
				result, query := h.searchWithRecord(t, r)
				require.NoError(t, checkAnswer(result, r.Limit), "seed %d query %d", seed, i)
				answers++
				if query.Snapshot().Restarted {
					restarts++
				}
				h.pollStatus()
			}
		})
	}
	require.Greater(t, naiveIncorrect, 20, "the faults rarely affect the naive implementation")
	require.Greater(t, restarts, 3, "too few queries had to restart")
	t.Logf("naive: %d of 60 answers incorrect; engine: 0 of %d, %d restarts", naiveIncorrect, answers, restarts)
}

// TestAnswersAreCorrectOverFaultyHTTP guards against the same violations over HTTP connections that stop responding,
// break or deliver damaged replies.
func TestAnswersAreCorrectOverFaultyHTTP(t *testing.T) {
	for seed := range uint64(12) {
		withHarness(t, nil, func(h *harness) {
			network := targettest.NewNetwork(h.targets)
			network.ConnectTime = ms
			client := targetclient.NewHTTPWithDial(4, network.Dial)
			h.engine = New(zap.NewNop(), h.config(client))
			rng := rand.New(rand.NewPCG(seed, 4))
			h.search(t, unlimitedRequest())
			h.injectFaults(rng)
			for _, x := range h.targets {
				x.Inject(target.FaultTruncated, 1)
			}
			for range 3 {
				h.targets[h.catalogue.Targets[rng.IntN(len(h.targets))].ID].SilenceConnections()
				result := h.search(t, unlimitedRequest())
				require.NoError(t, checkAnswer(result, unlimitedRequest().Limit), "seed %d", seed)
				h.pollStatus()
			}
			h.engine.Wait()
			client.Close()
			network.Close()
		})
	}
}
