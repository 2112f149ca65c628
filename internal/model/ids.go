// Package model defines the identifiers and value types that are shared by the other packages.
package model

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// HostID identifies a host, a machine that runs one knapweedrouter process. It is set in the settings file.
type HostID string

// DataCentreID identifies a data centre.
type DataCentreID string

// RegionID identifies a region, a set of data centres.
type RegionID string

// CallerID identifies the catalogue entry of a caller.
type CallerID string

// TargetID identifies a target, a back-end server.
type TargetID string

// IndexID identifies an index.
type IndexID string

// ShardID identifies a shard within one version of an index.
type ShardID string

// SearchID identifies a search, a named list of indexes that are queried together.
type SearchID string

// ServiceID identifies a service, a set of interchangeable targets that execute operations.
type ServiceID string

// Version is the number of a published version of an index. It increases monotonically.
type Version uint64

// Generation is the number of an accepted configuration. It increases monotonically.
type Generation uint64

// Incarnation distinguishes successive runs of the same host or target. A later run has a higher value.
type Incarnation uint64

// AttemptID identifies one attempt at one target. It is unique across hosts because the incarnation identifies the run
// of the sending host.
type AttemptID struct {
	Incarnation Incarnation
	Sequence    uint64
}

// String returns the wire format of the ID.
func (a AttemptID) String() string {
	return fmt.Sprintf("%016x-%016x", uint64(a.Incarnation), a.Sequence)
}

// MarshalText returns the wire format of the ID.
func (a AttemptID) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText parses the wire format of the ID.
func (a *AttemptID) UnmarshalText(text []byte) error {
	incarnation, sequence, found := strings.Cut(string(text), "-")
	if !found {
		return fmt.Errorf("attempt id %q has no separator: send INCARNATION-SEQUENCE in hexadecimal", text)
	}
	in, err := strconv.ParseUint(incarnation, 16, 64)
	if err != nil {
		return fmt.Errorf("attempt id %q has no valid incarnation: send it in hexadecimal", text)
	}
	seq, err := strconv.ParseUint(sequence, 16, 64)
	if err != nil {
		return fmt.Errorf("attempt id %q has no valid sequence: send it in hexadecimal", text)
	}
	a.Incarnation = Incarnation(in)
	a.Sequence = seq
	return nil
}

// KeySpace is the number of hash keys that are partitioned among the shards of an index.
const KeySpace = 1 << 16

// KeyRange is the half-open range of hash keys [Low, High).
type KeyRange struct {
	Low  uint32 `json:"low" msgpack:"low"`
	High uint32 `json:"high" msgpack:"high"`
}

// Len returns the number of keys in the range.
func (r KeyRange) Len() uint32 {
	if r.High <= r.Low {
		return 0
	}
	return r.High - r.Low
}

// Shard is one shard of an index version.
type Shard struct {
	ID ShardID `json:"shard" msgpack:"shard"`
	KeyRange
}

// CompareShards orders shards by their key range.
func CompareShards(a, b Shard) int { return cmp.Compare(a.Low, b.Low) }
