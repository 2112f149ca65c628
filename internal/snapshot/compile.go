package snapshot

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// compile returns the versions of an index that the reports name, ordered by version and checksum.
func compile(index model.IndexID, reports []model.TargetStatus) []version {
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
		v.finish()
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
	if a.MapSum < b.MapSum {
		return -1
	}
	return 1
}

func addReport(found map[Pin]*version, target model.TargetID, held model.IndexStatus) {
	shards := slices.Clone(held.ShardMap)
	slices.SortFunc(shards, model.CompareShards)
	if !dividesKeySpace(shards) {
		return
	}
	pin := Pin{Index: held.Index, Version: held.Version, MapSum: MapSum(shards)}
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

// finish orders the replicas and counts them.
func (v *version) finish() {
	for i := range v.parts {
		part := &v.parts[i]
		slices.Sort(part.Replicas)
		part.Replicas = slices.Compact(part.Replicas)
		if i == 0 || len(part.Replicas) < v.replicas {
			v.replicas = len(part.Replicas)
		}
		if len(part.Replicas) > 0 {
			v.keys += uint64(part.Len())
		}
	}
}

// dividesKeySpace tells whether ordered shards with distinct ids cover every key exactly once.
func dividesKeySpace(shards []model.Shard) bool {
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

// MapSum returns the checksum of a shard map that is ordered by key.
func MapSum(shards []model.Shard) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var keys [12]byte
	for _, shard := range shards {
		binary.BigEndian.PutUint32(keys[0:], shard.Low)
		binary.BigEndian.PutUint32(keys[4:], shard.High)
		binary.BigEndian.PutUint32(keys[8:], uint32(len(shard.ID)))
		_, _ = digest.Write(keys[:]) // a digest's Write never fails
		_, _ = digest.WriteString(string(shard.ID))
	}
	return digest.Sum64()
}
