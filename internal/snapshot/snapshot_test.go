package snapshot

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

func shardMap(count int) []model.Shard {
	shards := make([]model.Shard, count)
	for i := range shards {
		shards[i] = model.Shard{ID: model.ShardID(fmt.Sprintf("s%d", i)), KeyRange: model.KeyRange{
			Low: uint32(model.KeySpace * i / count), High: uint32(model.KeySpace * (i + 1) / count),
		}}
	}
	return shards
}

// drawReports generates reports of targets that hold random shards of up to four versions, each with up to three shard
// maps, and occasionally a shard map with a gap.
func drawReports(t *rapid.T, indexes []model.IndexID) []model.TargetStatus {
	reports := make([]model.TargetStatus, rapid.IntRange(0, 8).Draw(t, "targets"))
	for i := range reports {
		reports[i].Target = model.TargetID(fmt.Sprintf("t%d", i))
		for _, index := range indexes {
			for range rapid.IntRange(0, 3).Draw(t, "held versions") {
				shards := shardMap(rapid.IntRange(1, 3).Draw(t, "shards"))
				held := model.IndexStatus{Index: index, Version: model.Version(rapid.IntRange(1, 4).Draw(t, "version"))}
				for _, shard := range shards {
					if rapid.Bool().Draw(t, "held") {
						held.Held = append(held.Held, shard.ID)
					}
				}
				if rapid.IntRange(0, 9).Draw(t, "gap") == 0 {
					shards[0].Low++
				}
				held.ShardMap = shards
				reports[i].Indexes = append(reports[i].Indexes, held)
			}
		}
	}
	return reports
}

// naiveReplicas counts the targets that hold a shard of exactly this version and shard map, directly from the reports.
func naiveReplicas(reports []model.TargetStatus, pin Pin, shard model.ShardID) int {
	holders := map[model.TargetID]bool{}
	for _, report := range reports {
		for _, held := range report.Indexes {
			same := held.Index == pin.Index && held.Version == pin.Version && MapChecksum(held.ShardMap) == pin.MapChecksum
			if same && slices.Contains(held.Held, shard) {
				holders[report.Target] = true
			}
		}
	}
	return len(holders)
}

// TestChooseFollowsReports guards against a choice that mixes versions or shard maps, lists replicas that do not hold
// the shard, omits part of the key space, depends on the order of reports, or skips a newer safe version.
func TestChooseFollowsReports(t *testing.T) {
	indexes := []model.IndexID{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		reports := drawReports(t, indexes)
		chosen := New(indexes, reports).Choose()
		keys := map[model.IndexID]uint32{}
		fewestReplicas := map[model.IndexID]int{}
		for _, part := range chosen.Parts {
			require.Equal(t, chosen.Versions[part.Index], part.Version)
			require.Equal(t, keys[part.Index], part.Low)
			keys[part.Index] = part.High
			replicas := 0
			if at := slices.IndexFunc(chosen.Pins, func(p Pin) bool { return p.Index == part.Index }); at >= 0 {
				replicas = naiveReplicas(reports, chosen.Pins[at], part.ID)
			}
			require.Len(t, part.Replicas, replicas)
			if current, ok := fewestReplicas[part.Index]; !ok || replicas < current {
				fewestReplicas[part.Index] = replicas
			}
		}
		for _, index := range indexes {
			require.Equal(t, uint32(model.KeySpace), keys[index])
			requireNoNewerSafeVersion(t, reports, index, chosen.Versions[index], fewestReplicas[index])
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rng.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		require.Equal(t, chosen, New(indexes, reports).Choose())
	})
}

func requireNoNewerSafeVersion(t *rapid.T, reports []model.TargetStatus, index model.IndexID, chosen model.Version, fewestReplicas int) {
	for _, report := range reports {
		for _, held := range report.Indexes {
			if held.Index != index || held.ShardMap[0].Low != 0 {
				continue
			}
			replicas := minReplicas
			for _, shard := range held.ShardMap {
				pin := Pin{Index: index, Version: held.Version, MapChecksum: MapChecksum(held.ShardMap)}
				replicas = min(replicas, naiveReplicas(reports, pin, shard.ID))
			}
			require.False(t, replicas > fewestReplicas || replicas == minReplicas && held.Version > chosen,
				"version %d has %d replicas, version %d with %d was chosen", held.Version, replicas, chosen, fewestReplicas)
		}
	}
}

// TestTokenPinsSnapshot guards against a repeated query that reads another snapshot, a search that ignores
// min_snapshot, and a pinned snapshot that is silently replaced after it is gone.
func TestTokenPinsSnapshot(t *testing.T) {
	indexes := []model.IndexID{"a", "b"}
	keys := Keys{[]byte("old key")}
	rapid.Check(t, func(t *rapid.T) {
		before, after := New(indexes, drawReports(t, indexes)), New(indexes, drawReports(t, indexes))
		first := before.Choose()
		text, err := keys.Sign(first.Token())
		require.NoError(t, err)
		token, err := Keys{[]byte("new key"), keys[0]}.Verify(text)
		require.NoError(t, err)
		if len(first.Pins) == len(indexes) {
			again, err := before.ChooseExact(token)
			require.NoError(t, err)
			require.Equal(t, first, again)
			later, err := after.ChooseExact(token)
			require.True(t, err == nil || fault.IsKind(err, fault.SnapshotGone), "%v", err)
			require.True(t, err != nil || slices.Equal(later.Pins, first.Pins))
		}
		notOlder, err := after.ChooseNotOlder(token)
		newer, found := after.Newer(first)
		for _, pin := range token.Pins {
			require.True(t, err != nil || notOlder.Versions[pin.Index] >= pin.Version)
			require.True(t, !found || newer.Versions[pin.Index] >= pin.Version)
		}
		require.False(t, found && slices.Equal(newer.Pins, first.Pins))
	})
}

// TestTokenIsAuthentic guards against accepting altered tokens, and tokens signed with a key that is no longer valid.
func TestTokenIsAuthentic(t *testing.T) {
	keys := Keys{[]byte("key")}
	text, err := keys.Sign(Token{Pins: []Pin{{Index: "a", Version: 3, MapChecksum: 9}}})
	require.NoError(t, err)
	for i := range text {
		altered := []byte(text)
		altered[i] ^= 1
		_, err := keys.Verify(string(altered))
		require.True(t, fault.IsKind(err, fault.BadRequest), "altered at %d: %v", i, err)
	}
	_, err = Keys{[]byte("other")}.Verify(text)
	require.True(t, fault.IsKind(err, fault.BadRequest))
}
