// Package snapshot chooses the version of each index that a query reads. It is pure.
package snapshot

import (
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Part is one shard of a snapshot with the replicas that hold it.
type Part struct {
	coverage.Part
	Version  model.Version
	Replicas []model.TargetID
}

// Snapshot is one version of each index of a search.
type Snapshot struct {
	Versions map[model.IndexID]model.Version
	Parts    []Part
}

// minReplicas is the number of replicas of every shard that makes a version safe to choose: one may be lost.
const minReplicas = 2

// Choose returns the newest snapshot whose every shard has enough replicas among the reports; if there is none, the
// newest one with a replica for every shard; if there is none either, the one that covers the most keys.
func Choose(indexes []model.IndexID, reports []model.TargetStatus) Snapshot {
	result := Snapshot{Versions: map[model.IndexID]model.Version{}}
	for _, index := range indexes {
		candidates := candidates(index, reports)
		if len(candidates) == 0 {
			continue
		}
		best := slices.MaxFunc(candidates, compareCandidates)
		result.Versions[index] = best.version
		result.Parts = append(result.Parts, best.parts...)
	}
	return result
}

type candidate struct {
	version  model.Version
	parts    []Part
	replicas int // the smallest number of replicas of a shard
	keys     uint64
}

func compareCandidates(a, b candidate) int {
	if rank := min(a.replicas, minReplicas) - min(b.replicas, minReplicas); rank != 0 {
		return rank
	}
	if a.replicas == 0 && a.keys != b.keys {
		if a.keys > b.keys {
			return 1
		}
		return -1
	}
	if a.version > b.version {
		return 1
	}
	return -1
}

func candidates(index model.IndexID, reports []model.TargetStatus) []candidate {
	maps := map[model.Version][]model.Shard{}
	holders := map[model.Version]map[model.ShardID][]model.TargetID{}
	for _, report := range reports {
		for _, held := range report.Indexes {
			if held.Index != index {
				continue
			}
			maps[held.Version] = held.ShardMap
			if holders[held.Version] == nil {
				holders[held.Version] = map[model.ShardID][]model.TargetID{}
			}
			for _, shard := range held.Held {
				holders[held.Version][shard] = append(holders[held.Version][shard], report.Target)
			}
		}
	}
	var result []candidate
	for version, shards := range maps {
		result = append(result, newCandidate(index, version, shards, holders[version]))
	}
	return result
}

func newCandidate(index model.IndexID, version model.Version, shards []model.Shard, holders map[model.ShardID][]model.TargetID) candidate {
	c := candidate{version: version, replicas: minReplicas}
	for _, shard := range shards {
		replicas := holders[shard.ID]
		slices.Sort(replicas)
		c.replicas = min(c.replicas, len(replicas))
		if len(replicas) > 0 {
			c.keys += uint64(shard.Len())
		}
		c.parts = append(c.parts, Part{
			Part:     coverage.Part{Index: index, Shard: shard},
			Version:  version,
			Replicas: replicas,
		})
	}
	return c
}
