package configstate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// MaxRecords is the number of recent changes kept in a head and on a host.
	MaxRecords = 64
	// maxInlineBytes bounds the size of the changes stored in a head, because each relay reads the head twice a
	// second.
	maxInlineBytes = 16 << 10
	// maxKeptBytes bounds the size of the changes that a host keeps, and sends to hosts that lack them, in one frame.
	maxKeptBytes = 256 << 10
	// maxSegmentBytes is well below the 1 MB limits of a store value and of a peer frame.
	maxSegmentBytes = 256 << 10
)

// Store keys.
const (
	HeadKey       = "head"
	FleetKey      = "fleet"
	segmentPrefix = "segment/"
)

// SegmentID is the SHA-256 hash of a segment's content in hexadecimal.
type SegmentID string

// HashSegment returns the id of the segment with the given content.
func HashSegment(content []byte) SegmentID {
	sum := sha256.Sum256(content)
	return SegmentID(hex.EncodeToString(sum[:]))
}

// Key returns the store key of the segment.
func (s SegmentID) Key() string { return segmentPrefix + string(s) }

// Base refers to a complete document of an earlier generation.
type Base struct {
	Generation model.Generation `json:"generation"`
	Segments   []SegmentID      `json:"segments,omitempty"`
}

// Record is an accepted change.
type Record[C any] struct {
	ID         string           `json:"id"`
	Generation model.Generation `json:"generation"`
	// Change is nil if the content was dropped to keep the head small.
	Change *C `json:"change,omitempty"`
}

// Head is the value stored under the key of a replicated document: a base and the changes made since. The generation
// of a head is the number of changes accepted so far.
type Head[C any] struct {
	Generation model.Generation `json:"generation"`
	Base       Base             `json:"base"`
	// Records are the recent changes, newest last. They may include changes from before the base.
	Records []Record[C] `json:"records,omitempty"`
}

var errInvalidHead = errors.New("invalid configuration head; restore the key from the store's history")

// DecodeHead decodes and validates the value of a document's key.
func DecodeHead[C any](value []byte) (Head[C], error) {
	var head Head[C]
	if err := json.Unmarshal(value, &head); err != nil {
		return head, fmt.Errorf("%w: %w", errInvalidHead, err)
	}
	if head.Generation == 0 || head.Base.Generation > head.Generation {
		return head, fmt.Errorf("%w: generation %d, base %d", errInvalidHead, head.Generation, head.Base.Generation)
	}
	for i := 1; i < len(head.Records); i++ {
		if head.Records[i].Generation != head.Records[i-1].Generation+1 {
			return head, fmt.Errorf("%w: gap in the recent changes before generation %d", errInvalidHead, head.Records[i].Generation)
		}
	}
	if n := len(head.Records); n > 0 && head.Records[n-1].Generation != head.Generation {
		return head, fmt.Errorf("%w: the recent changes do not end at generation %d", errInvalidHead, head.Generation)
	}
	return head, nil
}

// Encode returns the value to store under the document's key.
func (h Head[C]) Encode() ([]byte, error) { return json.Marshal(h) }

// FindChange returns the generation of the recent change with the given id.
func (h Head[C]) FindChange(id string) (model.Generation, bool) {
	for _, record := range h.Records {
		if record.ID == id {
			return record.Generation, true
		}
	}
	return 0, false
}

// RecordsAfter returns the records after a generation, or false if any of them is missing or has lost its content.
func (h Head[C]) RecordsAfter(generation model.Generation) ([]Record[C], bool) {
	return recordsAfter(h.Records, generation, h.Generation)
}

func recordsAfter[C any](records []Record[C], after, until model.Generation) ([]Record[C], bool) {
	first := slices.IndexFunc(records, func(r Record[C]) bool { return r.Generation > after })
	if first < 0 {
		return nil, after >= until
	}
	tail := records[first:]
	if tail[0].Generation != after+1 {
		return nil, false
	}
	truncated := slices.ContainsFunc(tail, func(r Record[C]) bool { return r.Change == nil })
	return tail, !truncated
}

// Format defines how the changes of a document are applied and how the document is split into segments.
type Format[D, C any] struct {
	// Apply returns the document that results from a change, without modifying the given one.
	Apply func(document D, generation model.Generation, change C) (D, error)
	// Split divides the document into segments of at most 256 KiB. It is deterministic, so that all hosts compute the
	// same segments for the same document.
	Split func(document D) ([][]byte, error)
	// Join reassembles a document from its segments.
	Join func(generation model.Generation, segments [][]byte) (D, error)
}

// Proposal is the next head of a document before its acceptance.
type Proposal[D, C any] struct {
	Head     Head[C]
	Document D
	// Segments must be in the store before the head is written.
	Segments map[SegmentID][]byte
}

// Next builds the head that results from a change. It creates a new base when the retained changes no longer reach
// back to the current one.
func (f Format[D, C]) Next(head Head[C], document D, id string, change C) (Proposal[D, C], error) {
	generation := head.Generation + 1
	next, err := f.Apply(document, generation, change)
	if err != nil {
		return Proposal[D, C]{}, err
	}
	record := Record[C]{ID: id, Generation: generation, Change: &change}
	records, err := latestRecords(append(slices.Clone(head.Records), record), maxInlineBytes)
	if err != nil {
		return Proposal[D, C]{}, err
	}
	proposal := Proposal[D, C]{Document: next, Head: Head[C]{Generation: generation, Base: head.Base, Records: records}}
	if _, complete := proposal.Head.RecordsAfter(head.Base.Generation); complete && len(head.Base.Segments) > 0 {
		return proposal, nil
	}
	proposal.Head.Base, proposal.Segments, err = f.buildBase(generation, next)
	return proposal, err
}

// First builds the head of generation 1 from a complete document.
func (f Format[D, C]) First(id string, document D) (Proposal[D, C], error) {
	base, segments, err := f.buildBase(1, document)
	head := Head[C]{Generation: 1, Base: base, Records: []Record[C]{{ID: id, Generation: 1}}}
	return Proposal[D, C]{Head: head, Document: document, Segments: segments}, err
}

// buildBase splits a document into the segments of a new base.
func (f Format[D, C]) buildBase(generation model.Generation, document D) (Base, map[SegmentID][]byte, error) {
	contents, err := f.Split(document)
	if err != nil {
		return Base{}, nil, err
	}
	base := Base{Generation: generation}
	segments := map[SegmentID][]byte{}
	for _, content := range contents {
		id := HashSegment(content)
		base.Segments = append(base.Segments, id)
		segments[id] = content
	}
	return base, segments, nil
}

// latestRecords returns a copy of the latest MaxRecords changes. The content of the oldest ones is dropped until the remaining content has
// at most the given size.
func latestRecords[C any](all []Record[C], maxBytes int) ([]Record[C], error) {
	records := slices.Clone(all[max(0, len(all)-MaxRecords):])
	size := 0
	for i := len(records) - 1; i >= 0; i-- {
		if size <= maxBytes {
			encoded, err := json.Marshal(records[i].Change)
			if err != nil {
				return nil, err
			}
			size += len(encoded)
		}
		if size > maxBytes {
			records[i].Change = nil
		}
	}
	return records, nil
}

// Restore applies a head's records to its base. segments must hold the content of every segment of the base.
func (f Format[D, C]) Restore(head Head[C], segments map[SegmentID][]byte) (D, error) {
	var zero D
	contents := make([][]byte, 0, len(head.Base.Segments))
	for _, id := range head.Base.Segments {
		content, ok := segments[id]
		if !ok || HashSegment(content) != id {
			return zero, fmt.Errorf("segment %s is missing or corrupt; fetch it again", id)
		}
		contents = append(contents, content)
	}
	document, err := f.Join(head.Base.Generation, contents)
	if err != nil {
		return zero, err
	}
	records, ok := head.RecordsAfter(head.Base.Generation)
	if !ok {
		return zero, fmt.Errorf("%w: changes after base generation %d are missing", errInvalidHead, head.Base.Generation)
	}
	for _, record := range records {
		document, err = f.Apply(document, record.Generation, *record.Change)
		if err != nil {
			return zero, err
		}
	}
	return document, nil
}
