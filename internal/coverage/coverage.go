// Package coverage computes which part of a snapshot an answer covers. It is pure.
package coverage

import (
	"fmt"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Part is one shard of one index.
type Part struct {
	Index model.IndexID `json:"index"`
	model.Shard
}

// Coverage states which shards of a snapshot answered.
type Coverage struct {
	Answered int `json:"answered"`
	Total    int `json:"total"`
	// Fraction is the share of the key space that answered, from 0 to 1. It is 1 only if nothing is missing.
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
	result.Fraction = Fraction(covered, keys)
	return result
}

// Fraction returns the share of keys covered, from 0 to 1. Without any keys it is 0, because nothing was searched.
func Fraction(covered, keys uint64) float64 {
	if keys == 0 {
		return 0
	}
	return float64(covered) / float64(keys)
}

// Check returns an error if the statement contradicts itself or the parts of the snapshot: a missing part that the
// snapshot lacks or that is listed twice, or counts and a fraction that do not follow from the missing parts.
func (c Coverage) Check(parts []Part) error {
	missing := make(map[Part]bool, len(c.Missing))
	for _, part := range c.Missing {
		if missing[part] {
			return fmt.Errorf("part %s/%s is listed as missing twice", part.Index, part.ID)
		}
		missing[part] = true
	}
	found := 0
	recomputed := Compute(parts, func(i int) bool {
		if missing[parts[i]] {
			found++
		}
		return !missing[parts[i]]
	})
	if found != len(c.Missing) {
		return fmt.Errorf("%d missing parts are not in the snapshot", len(c.Missing)-found)
	}
	if recomputed.Answered != c.Answered || recomputed.Total != c.Total || recomputed.Fraction != c.Fraction {
		return fmt.Errorf("coverage states %d of %d (%g), but its missing parts leave %d of %d (%g)",
			c.Answered, c.Total, c.Fraction, recomputed.Answered, recomputed.Total, recomputed.Fraction)
	}
	return nil
}
