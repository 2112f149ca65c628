// Package records merges the records of several shards. It is pure.
package records

import (
	"bytes"
	"slices"
)

// Size is the length of a record in bytes. Trailing bytes of a part that do not form a full record are ignored.
const Size = 16

// Top returns the up to limit greatest records of all parts, in descending order. Equal records are not deduplicated.
func Top(parts [][]byte, limit int) []byte {
	var all [][]byte
	for _, part := range parts {
		for len(part) >= Size {
			all = append(all, part[:Size])
			part = part[Size:]
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(all) > limit {
		all = all[:limit]
	}
	return slices.Concat(all...)
}
