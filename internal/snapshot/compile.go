package snapshot

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// compileVersions returns the versions of an index that the reports name, sorted by version and shard map checksum.
func compileVersions(index model.IndexID, reports []model.TargetStatus) []version {
	found := map[Pin]*version{}
	for _, report := range reports {
		for _, held := range report.Indexes {
			if held.Index == index {
				addReport(found, report.Target, held)
			}
		}
	}
	versions := make([]version, 0, len(found))
	for _, v := range found {
		v.countReplicas()
		versions = append(versions, *v)
	}
	slices.SortFunc(versions, func(a, b version) int { return comparePins(a.pin, b.pin) })
	return versions
}

func comparePins(a, b Pin) int {
	if a.Version != b.Version {
		if a.Version < b.Version {
			return -1
		}
		return 1
	}
	if a.MapChecksum < b.MapChecksum {
		return -1
	}
	return 1
}

// addReport adds the target to the replicas of the shards that it holds, unless the shard map of its report does not
// partition the key space.
func addReport(found map[Pin]*version, target model.TargetID, held model.IndexStatus) {
	shards := slices.Clone(held.ShardMap)
	slices.SortFunc(shards, model.CompareShards)
	if !partitionsKeySpace(shards) {
		return
	}
	pin := Pin{Index: held.Index, Version: held.Version, MapChecksum: MapChecksum(shards)}
	v, ok := found[pin]
	if !ok {
		v = newVersion(pin, shards)
		found[pin] = v
	}
	for i := range v.parts {
		if slices.Contains(held.Held, v.parts[i].ID) {
			v.parts[i].Replicas = append(v.parts[i].Replicas, target)
		}
	}
}

func newVersion(pin Pin, shards []model.Shard) *version {
	v := &version{pin: pin, parts: make([]Part, len(shards))}
	for i, shard := range shards {
		v.parts[i] = Part{Part: coverage.Part{Index: pin.Index, Shard: shard}, Version: pin.Version}
	}
	return v
}

// countReplicas sorts and deduplicates the replicas of each part, and updates the replica and key counts.
func (v *version) countReplicas() {
	for i := range v.parts {
		part := &v.parts[i]
		slices.Sort(part.Replicas)
		part.Replicas = slices.Compact(part.Replicas)
		if i == 0 || len(part.Replicas) < v.fewestReplicas {
			v.fewestReplicas = len(part.Replicas)
		}
		if len(part.Replicas) > 0 {
			v.coveredKeys += uint64(part.Len())
		}
	}
}

// partitionsKeySpace reports whether the shards, sorted by key, have distinct IDs and cover every key exactly once.
func partitionsKeySpace(shards []model.Shard) bool {
	ids := make(map[model.ShardID]bool, len(shards))
	next := uint32(0)
	for _, shard := range shards {
		if shard.Low != next || shard.High <= shard.Low || ids[shard.ID] {
			return false
		}
		ids[shard.ID] = true
		next = shard.High
	}
	return next == model.KeySpace
}

// MapChecksum returns the checksum of a shard map that is sorted by key.
func MapChecksum(shards []model.Shard) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var keys [12]byte
	for _, shard := range shards {
		binary.BigEndian.PutUint32(keys[0:], shard.Low)
		binary.BigEndian.PutUint32(keys[4:], shard.High)
		binary.BigEndian.PutUint32(keys[8:], uint32(len(shard.ID)))
		_, _ = digest.Write(keys[:]) // never fails
		_, _ = digest.WriteString(string(shard.ID))
	}
	return digest.Sum64()
}
