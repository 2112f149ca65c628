// Package corpus generates the documents that target stand-ins serve. The documents depend only on the index and its
// version, so a test can compute the expected answer.
package corpus

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Size is the number of documents in one index version.
const Size = 600

// scoreLevels is small so that equal scores are frequent and tests cover the tie-breaking.
const scoreLevels = 50

var words = []string{
	"wheel hub", "strap", "axle", "tyre", "buckle", "frame tube", "cradle foam", "hinge pin",
	"charging slot", "battery pack", "amp socket", "cable", "meter", "locker", "fuse", "charger",
}

// Document is one document of an index version.
type Document struct {
	model.Hit
	Key  uint32
	name string
}

type cacheKey struct {
	index   model.IndexID
	version model.Version
}

var cache sync.Map // maps cacheKey to []Document

// Documents returns the documents of an index version in descending order of score. The result is shared and must not be
// modified.
func Documents(index model.IndexID, version model.Version) []Document {
	key := cacheKey{index, version}
	if known, ok := cache.Load(key); ok {
		return known.([]Document)
	}
	documents := make([]Document, 0, Size)
	for i := range Size {
		documents = append(documents, document(index, version, i))
	}
	slices.SortFunc(documents, func(a, b Document) int { return Compare(a.Hit, b.Hit) })
	cache.Store(key, documents)
	return documents
}

func document(index model.IndexID, version model.Version, i int) Document {
	id := fmt.Sprintf("%s-%04d", index, i)
	// Scores depend on the version, so that the hits of two versions differ.
	score := xxhash.Sum64String(fmt.Sprintf("%s@%d", id, version)) % scoreLevels
	hit := model.Hit{
		Index: index,
		ID:    id,
		Score: float64(score) / scoreLevels,
		Fields: map[string]string{
			"name":    words[i%len(words)],
			"version": fmt.Sprint(version),
		},
	}
	key := uint32(xxhash.Sum64String(id) % model.KeySpace)
	return Document{Hit: hit, Key: key, name: hit.Fields["name"]}
}

// Search returns the best hits whose key lies in the range and whose name contains the text, in the documents' order.
func Search(documents []Document, keys model.KeyRange, text string, limit int) []model.Hit {
	hits := make([]model.Hit, 0, limit)
	for i := range documents {
		if len(hits) == limit {
			break
		}
		d := &documents[i]
		if d.Key >= keys.Low && d.Key < keys.High && strings.Contains(d.name, text) {
			hits = append(hits, d.Hit)
		}
	}
	return hits
}

// Compare orders hits by descending score, then by index and ID.
func Compare(a, b model.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Index, b.Index), cmp.Compare(a.ID, b.ID))
}

// EvenShardMap divides the key space evenly among count shards.
func EvenShardMap(count int) []model.Shard {
	shards := make([]model.Shard, 0, count)
	for i := range count {
		low := uint32(model.KeySpace * i / count)
		high := uint32(model.KeySpace * (i + 1) / count)
		id := model.ShardID(fmt.Sprintf("s%02d", i))
		shards = append(shards, model.Shard{ID: id, KeyRange: model.KeyRange{Low: low, High: high}})
	}
	return shards
}
