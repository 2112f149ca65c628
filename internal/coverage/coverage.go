// Package coverage computes which part of a snapshot an answer covers. It is pure.
package coverage

import "github.com/knapweedrouter/knapweedrouter/internal/model"

// Part is one shard of one index.
type Part struct {
	Index model.IndexID `json:"index"`
	model.Shard
}

// Coverage states which shards of a snapshot answered.
type Coverage struct {
	Answered int `json:"answered"`
	Total    int `json:"total"`
	// Fraction is the share of the key space that answered, from 0 to 1.
	Fraction float64 `json:"fraction"`
	Missing  []Part  `json:"missing"`
}

// Compute returns the coverage of an answer. answered tells whether a part's reply counts.
func Compute(parts []Part, answered func(int) bool) Coverage {
	result := Coverage{Total: len(parts), Missing: []Part{}}
	var keys, covered uint64
	for i, part := range parts {
		keys += uint64(part.Len())
		if !answered(i) {
			result.Missing = append(result.Missing, part)
			continue
		}
		result.Answered++
		covered += uint64(part.Len())
	}
	if keys > 0 {
		result.Fraction = float64(covered) / float64(keys)
	}
	return result
}
