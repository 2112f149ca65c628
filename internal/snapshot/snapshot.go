// Package snapshot chooses the version of each index that a query reads. It is pure.
package snapshot

import (
	"cmp"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Part is one shard of a snapshot with the replicas that hold it, ordered by target id.
type Part struct {
	coverage.Part
	Version  model.Version
	Replicas []model.TargetID
}

// Snapshot is one version of each index of a search. It is shared between queries and must not be changed.
type Snapshot struct {
	Versions map[model.IndexID]model.Version
	// Pins name the snapshot in a token, one per index that has a known version, ordered by index.
	Pins []Pin
	// Parts holds every shard of every index. An index without any known version is one part without replicas, so that
	// coverage counts it as missing.
	Parts []Part
}

// Pin names one version of an index together with its shard map.
type Pin struct {
	Index   model.IndexID `msgpack:"i"`
	Version model.Version `msgpack:"v"`
	// MapSum is the checksum of the shard map: a version that was repartitioned is another snapshot.
	MapSum uint64 `msgpack:"m"`
}

// minReplicas is the number of replicas of every shard that makes a version safe to choose: one may be lost.
const minReplicas = 2

// Directory lists the snapshots that a set of reports allows for one search. It does not change after New, so queries
// share it.
type Directory struct {
	indexes  []model.IndexID
	versions map[model.IndexID][]version
	newest   Snapshot
}

// New compiles the reports of the eligible targets. A report with a shard map that does not divide the whole key space
// is ignored, because coverage could not be stated for it.
func New(indexes []model.IndexID, reports []model.TargetStatus) *Directory {
	d := &Directory{indexes: slices.Clone(indexes), versions: map[model.IndexID][]version{}}
	slices.Sort(d.indexes)
	d.indexes = slices.Compact(d.indexes)
	for _, index := range d.indexes {
		d.versions[index] = compile(index, reports)
	}
	d.newest = d.choose(nil)
	return d
}

// Choose returns the newest snapshot whose every shard has enough replicas; if there is none, the newest one with a
// replica for every shard; if there is none either, the one that covers the most keys.
func (d *Directory) Choose() Snapshot { return d.newest }

// NotOlder returns the snapshot that Choose would return among those that are not older than the token in any index.
// The error is of kind Unavailable, not run, if no report names such a version yet.
func (d *Directory) NotOlder(floor Token) (Snapshot, error) {
	chosen := d.choose(floor.Pins)
	for _, pin := range floor.Pins {
		if _, wanted := slices.BinarySearch(d.indexes, pin.Index); wanted && chosen.Versions[pin.Index] < pin.Version {
			return Snapshot{}, fault.New(fault.Unavailable, fault.NotRun, "repeat the request after a second",
				"no target is known to hold index %s at version %d or newer", pin.Index, pin.Version)
		}
	}
	return chosen, nil
}

// Exact returns the snapshot that the token names. The error is of kind SnapshotGone, not run, if no target holds one of
// its versions with the same shard map, and of kind BadRequest if the token is of a search with other indexes.
func (d *Directory) Exact(token Token) (Snapshot, error) {
	if !slices.EqualFunc(d.indexes, token.Pins, func(i model.IndexID, p Pin) bool { return i == p.Index }) {
		return Snapshot{}, fault.New(fault.BadRequest, fault.NotRun,
			"use the token only with the search whose answer gave it", "the snapshot token is of another search")
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

// Newer returns a snapshot that differs from the present one, is older in no index and has a replica for every shard.
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
		best, found := best(d.versions[index], lowest(floor, index))
		if !found {
			b.addUnknown(index)
			continue
		}
		b.add(best)
	}
	return b.snapshot
}

func lowest(floor []Pin, index model.IndexID) model.Version {
	for _, pin := range floor {
		if pin.Index == index {
			return pin.Version
		}
	}
	return 0
}

func best(versions []version, floor model.Version) (version, bool) {
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
	pin      Pin
	parts    []Part
	replicas int    // the smallest number of replicas of a shard
	keys     uint64 // keys of the shards that have a replica
}

// compareVersions orders versions by preference. The checksum decides last, so that every host prefers the same one of
// two maps of a version.
func compareVersions(a, b version) int {
	if rank := cmp.Compare(min(a.replicas, minReplicas), min(b.replicas, minReplicas)); rank != 0 {
		return rank
	}
	if a.replicas == 0 && a.keys != b.keys {
		return cmp.Compare(a.keys, b.keys)
	}
	return cmp.Or(
		cmp.Compare(a.pin.Version, b.pin.Version),
		cmp.Compare(a.replicas, b.replicas),
		cmp.Compare(a.pin.MapSum, b.pin.MapSum),
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

// addUnknown adds an index of which no version is known.
func (b *builder) addUnknown(index model.IndexID) {
	whole := model.Shard{KeyRange: model.KeyRange{High: model.KeySpace}}
	b.snapshot.Parts = append(b.snapshot.Parts, Part{Part: coverage.Part{Index: index, Shard: whole}})
}
