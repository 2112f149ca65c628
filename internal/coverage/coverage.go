// Package coverage computes which part of a snapshot an answer covers. It is pure: no I/O, clock or goroutines.
package coverage

import (
	"fmt"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Part identifies one shard of one index.
type Part struct {
	Index model.IndexID `json:"index"`
	model.Shard
}

// Coverage states how much of a snapshot an answer covers, and which shards are missing.
type Coverage struct {
	Answered int `json:"answered"`
	Total    int `json:"total"`
	// Fraction is the fraction of the key space that was answered, from 0 to 1. It is 1 only if nothing is missing.
	Fraction float64 `json:"fraction"`
	Missing  []Part  `json:"missing"`
}

// Compute returns the coverage of an answer. answered reports whether the reply of the part with the given index is
// included.
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

// Fraction returns the covered fraction of the keys, from 0 to 1. Without any keys it is 0, because nothing was
// searched.
func Fraction(covered, keys uint64) float64 {
	if keys == 0 {
		return 0
	}
	return float64(covered) / float64(keys)
}

// Check returns an error if the coverage is inconsistent with the parts of the snapshot: if a missing part is not in
// the snapshot or is listed twice, or if the counts or the fraction do not follow from the missing parts.
func (c Coverage) Check(parts []Part) error {
	missing := make(map[Part]bool, len(c.Missing))
	for _, part := range c.Missing {
		if missing[part] {
			return fmt.Errorf("part %s/%s is listed twice as missing", part.Index, part.ID)
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
		return fmt.Errorf("coverage states %d of %d parts (%g), but its missing parts imply %d of %d (%g)",
			c.Answered, c.Total, c.Fraction, recomputed.Answered, recomputed.Total, recomputed.Fraction)
	}
	return nil
}
