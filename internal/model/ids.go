// Package model holds the identifiers and value types that the other packages share.
package model

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// HostID names a host, the machine that runs one knapweedrouter process. It comes from the settings.
type HostID string

// DataCentreID names a data centre.
type DataCentreID string

// RegionID names a region, a set of data centres.
type RegionID string

// CallerID names the catalogue entry of a caller.
type CallerID string

// TargetID names a target, a back-end server.
type TargetID string

// IndexID names an index.
type IndexID string

// ShardID names a shard within one version of an index.
type ShardID string

// SearchID names a search: a fixed list of indexes that one query reads.
type SearchID string

// ServiceID names a service of targets that execute operations.
type ServiceID string

// Version numbers the published versions of one index. It only grows.
type Version uint64

// Generation numbers the accepted configurations. It only grows.
type Generation uint64

// Incarnation tells two runs of the same host or target apart. A later run has a higher value.
type Incarnation uint64

// AttemptID names one attempt at one target. It is unique over all hosts, because the incarnation names the host's run.
type AttemptID struct {
	Incarnation Incarnation
	Sequence    uint64
}

// String returns the wire form of the id.
func (a AttemptID) String() string {
	return fmt.Sprintf("%016x-%016x", uint64(a.Incarnation), a.Sequence)
}

// MarshalText returns the wire form of the id.
func (a AttemptID) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText reads the wire form of the id.
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

// KeySpace is the number of hash keys that the shards of an index divide among them.
const KeySpace = 1 << 16

// KeyRange is a half-open range of hash keys, Low included, High excluded.
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
