// Package records merges the records of several shards. It is pure.
package records

import (
	"bytes"
	"slices"
)

// Size is the length of a record in bytes. A remainder of a part that is shorter is no record.
const Size = 16

// Top returns the greatest records of the parts, the greatest first, at most limit of them. Equal records all count.
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
