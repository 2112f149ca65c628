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

// TestSameAnswerAsNaiveWithoutFailures guards against an engine that loses or changes hits on its way.
func TestSameAnswerAsNaiveWithoutFailures(t *testing.T) {
	for seed := range uint64(10) {
		inWorld(t, nil, func(w *world) {
			rng := rand.New(rand.NewPCG(seed, 1))
			if seed%2 == 1 {
				w.publish("a", firstVer+1, 1+rng.IntN(9), true)
				w.poll()
			}
			want := w.naive(rng, request())
			got := w.search(t, request())
			require.Equal(t, want.Hits, got.Hits)
			require.Equal(t, want.Versions, got.Versions)
			require.Equal(t, want.Coverage, got.Coverage)
			require.NoError(t, honest(got, request().Limit))
		})
	}
}

// disturb makes replies go wrong and versions change while queries run.
func (w *world) disturb(rng *rand.Rand) {
	faults := []target.Fault{
		target.FaultCrossed, target.FaultWrongVersion, target.FaultTruncated, target.FaultSilent, target.FaultReset,
	}
	for _, described := range w.catalogue.Targets {
		t := w.targets[described.ID]
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
		w.publish("a", firstVer+1, 5, false) // before the first attempts arrive, and not in the reports
	}
	for version := range model.Version(rng.IntN(3)) {
		wait := time.Duration(rng.IntN(40)) * ms / 2
		shards, keep := 1+rng.IntN(8), rng.IntN(2) == 0
		time.AfterFunc(wait, func() { w.publish("a", firstVer+2+version, shards, keep) })
	}
}

// TestHonestAnswersUnderFailures guards P1, P2 and P5 from end to end: whatever fails, the hits are exactly those of the
// versions and key ranges that the answer states. The naive version mixes versions or overstates its coverage.
func TestHonestAnswersUnderFailures(t *testing.T) {
	naiveLies, answers, restarts := 0, 0, 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(nil)
			w.disturb(rand.New(rand.NewPCG(seed, 2)))
			if honest(w.naive(rand.New(rand.NewPCG(seed, 3)), wholeRequest()), wholeRequest().Limit) != nil {
				naiveLies++
			}
			time.Sleep(time.Minute)
		})
		inWorld(t, nil, func(w *world) {
			w.disturb(rand.New(rand.NewPCG(seed, 2)))
			for i := range 4 {
				r := wholeRequest()
				r.Mode = []scatter.Mode{scatter.Fast, scatter.Full}[i%2]
				result, query := w.explained(t, r)
				require.NoError(t, honest(result, r.Limit), "seed %d query %d", seed, i)
				answers++
				if query.Snapshot().Restarted {
					restarts++
				}
				w.poll()
			}
		})
	}
	require.Greater(t, naiveLies, 20, "the failures do not disturb the naive version")
	require.Greater(t, restarts, 3, "no query had to restart")
	t.Logf("naive: %d of 60 answers false; engine: 0 of %d, %d restarts", naiveLies, answers, restarts)
}

// TestHonestAnswersOverHTTP guards the same over HTTP connections that fall silent, break and carry damaged replies.
func TestHonestAnswersOverHTTP(t *testing.T) {
	for seed := range uint64(12) {
		inWorld(t, nil, func(w *world) {
			network := targettest.NewNetwork(w.targets)
			network.ConnectTime = ms
			client := targetclient.NewHTTPOver(4, network.Dial)
			w.engine = New(zap.NewNop(), w.config(client))
			rng := rand.New(rand.NewPCG(seed, 4))
			w.search(t, wholeRequest())
			w.disturb(rng)
			for _, x := range w.targets {
				x.Inject(target.FaultTruncated, 1)
			}
			for range 3 {
				w.targets[w.catalogue.Targets[rng.IntN(len(w.targets))].ID].SilenceConnections()
				result := w.search(t, wholeRequest())
				require.NoError(t, honest(result, wholeRequest().Limit), "seed %d", seed)
				w.poll()
			}
			w.engine.Wait()
			client.Close()
			network.Close()
		})
	}
}
