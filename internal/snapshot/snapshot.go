// Package snapshot chooses the version of each index that a query reads. It is pure: no I/O, clock or goroutines.
package snapshot

import (
	"cmp"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Part is one shard of a snapshot with the replicas that hold it, sorted by target ID.
type Part struct {
	coverage.Part
	Version  model.Version
	Replicas []model.TargetID
}

// Snapshot is one version of each index of a search. It is shared between queries and must not be modified.
type Snapshot struct {
	Versions map[model.IndexID]model.Version
	// Pins identify the snapshot in a token: one per index with a known version, sorted by index.
	Pins []Pin
	// Parts holds every shard of every index. An index without a known version is represented by a single part without
	// replicas, so that coverage counts it as missing.
	Parts []Part
}

// Pin identifies one version of an index together with its shard map.
type Pin struct {
	Index   model.IndexID `msgpack:"i"`
	Version model.Version `msgpack:"v"`
	// MapChecksum is the checksum of the shard map. A version that was repartitioned is a different snapshot.
	MapChecksum uint64 `msgpack:"m"`
}

// minReplicas is the number of replicas per shard from which a version is preferred as safe, because one of them may be
// lost.
const minReplicas = 2

// Directory holds the snapshots of one search that a set of reports allows. It is immutable after New, so queries share
// it.
type Directory struct {
	indexes  []model.IndexID
	versions map[model.IndexID][]version
	newest   Snapshot
}

// New builds a directory from the reports of the eligible targets. A report whose shard map does not partition the
// whole key space is ignored, because coverage could not be computed for it.
func New(indexes []model.IndexID, reports []model.TargetStatus) *Directory {
	d := &Directory{indexes: slices.Clone(indexes), versions: map[model.IndexID][]version{}}
	slices.Sort(d.indexes)
	d.indexes = slices.Compact(d.indexes)
	for _, index := range d.indexes {
		d.versions[index] = compileVersions(index, reports)
	}
	d.newest = d.choose(nil)
	return d
}

// Choose returns for each index the newest version of which every shard has at least minReplicas replicas; failing
// that, the newest of which every shard has a replica; failing that, the one that covers the most keys.
func (d *Directory) Choose() Snapshot { return d.newest }

// ChooseNotOlder returns the snapshot that Choose would return if versions older than those of the token did not exist.
// If no report names such a version yet, the error is of kind Unavailable and states that the request did not run.
func (d *Directory) ChooseNotOlder(floor Token) (Snapshot, error) {
	chosen := d.choose(floor.Pins)
	for _, pin := range floor.Pins {
		if _, wanted := slices.BinarySearch(d.indexes, pin.Index); wanted && chosen.Versions[pin.Index] < pin.Version {
			return Snapshot{}, fault.New(fault.Unavailable, fault.NotRun, "repeat the request after a second",
				"no target is known to hold index %s at version %d or newer", pin.Index, pin.Version)
		}
	}
	return chosen, nil
}

// ChooseExact returns the snapshot that the token identifies. The error is of kind SnapshotGone if no target holds one
// of its versions with the same shard map, and of kind BadRequest if the token belongs to a search with other indexes.
// Both state that the request did not run.
func (d *Directory) ChooseExact(token Token) (Snapshot, error) {
	if !slices.EqualFunc(d.indexes, token.Pins, func(i model.IndexID, p Pin) bool { return i == p.Index }) {
		return Snapshot{}, fault.New(fault.BadRequest, fault.NotRun,
			"use the token only with the search that returned it", "the snapshot token belongs to another search")
	}
	b := newBuilder(len(token.Pins))
	for _, pin := range token.Pins {
		at := slices.IndexFunc(d.versions[pin.Index], func(v version) bool { return v.pin == pin })
		if at < 0 {
			return Snapshot{}, fault.New(fault.SnapshotGone, fault.NotRun, "repeat the request without the snapshot",
				"no target holds index %s at version %d any more", pin.Index, pin.Version)
		}
		b.add(d.versions[pin.Index][at])
	}
	return b.snapshot, nil
}

// Newer returns a snapshot that differs from the present one, has no older version of any index and has a replica of
// every shard.
func (d *Directory) Newer(present Snapshot) (Snapshot, bool) {
	chosen := d.choose(present.Pins)
	if slices.Equal(chosen.Pins, present.Pins) || len(chosen.Pins) != len(d.indexes) {
		return Snapshot{}, false
	}
	for _, pin := range present.Pins {
		if chosen.Versions[pin.Index] < pin.Version {
			return Snapshot{}, false
		}
	}
	for _, part := range chosen.Parts {
		if len(part.Replicas) == 0 {
			return Snapshot{}, false
		}
	}
	return chosen, true
}

func (d *Directory) choose(floor []Pin) Snapshot {
	b := newBuilder(len(d.indexes))
	for _, index := range d.indexes {
		best, found := preferredVersion(d.versions[index], minVersion(floor, index))
		if !found {
			b.addUnknown(index)
			continue
		}
		b.add(best)
	}
	return b.snapshot
}

func minVersion(floor []Pin, index model.IndexID) model.Version {
	for _, pin := range floor {
		if pin.Index == index {
			return pin.Version
		}
	}
	return 0
}

func preferredVersion(versions []version, floor model.Version) (version, bool) {
	var chosen version
	found := false
	for _, v := range versions {
		if v.pin.Version >= floor && (!found || compareVersions(v, chosen) > 0) {
			chosen, found = v, true
		}
	}
	return chosen, found
}

// version is one version of an index with one shard map.
type version struct {
	pin            Pin
	parts          []Part
	fewestReplicas int    // number of replicas of the shard that has the fewest
	coveredKeys    uint64 // number of keys in shards that have a replica
}

// compareVersions orders versions by preference. The checksum is the last criterion, so that all hosts prefer the same
// one of two shard maps of a version.
func compareVersions(a, b version) int {
	if rank := cmp.Compare(min(a.fewestReplicas, minReplicas), min(b.fewestReplicas, minReplicas)); rank != 0 {
		return rank
	}
	if a.fewestReplicas == 0 && a.coveredKeys != b.coveredKeys {
		return cmp.Compare(a.coveredKeys, b.coveredKeys)
	}
	return cmp.Or(
		cmp.Compare(a.pin.Version, b.pin.Version),
		cmp.Compare(a.fewestReplicas, b.fewestReplicas),
		cmp.Compare(a.pin.MapChecksum, b.pin.MapChecksum),
	)
}

type builder struct{ snapshot Snapshot }

func newBuilder(indexes int) *builder {
	return &builder{snapshot: Snapshot{
		Versions: make(map[model.IndexID]model.Version, indexes),
		Pins:     make([]Pin, 0, indexes),
	}}
}

func (b *builder) add(v version) {
	b.snapshot.Versions[v.pin.Index] = v.pin.Version
	b.snapshot.Pins = append(b.snapshot.Pins, v.pin)
	b.snapshot.Parts = append(b.snapshot.Parts, v.parts...)
}

// addUnknown adds an index without a known version.
func (b *builder) addUnknown(index model.IndexID) {
	whole := model.Shard{KeyRange: model.KeyRange{High: model.KeySpace}}
	b.snapshot.Parts = append(b.snapshot.Parts, Part{Part: coverage.Part{Index: index, Shard: whole}})
}
