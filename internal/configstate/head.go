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
	// MaxRecords is the number of recent changes that a head and a host keep.
	MaxRecords = 64
	// maxInlineBytes bounds the recent changes in a head, because each relay reads the head twice a second.
	maxInlineBytes = 16 << 10
	// maxSegmentBytes is well under the 1 MB of a store value and of a frame.
	maxSegmentBytes = 256 << 10
)

// Keys of the store.
const (
	HeadKey       = "head"
	FleetKey      = "fleet"
	segmentPrefix = "segment/"
)

// SegmentID is the SHA-256 hash of a segment's content, in hexadecimal.
type SegmentID string

// SegmentOf returns the id of a content.
func SegmentOf(content []byte) SegmentID {
	sum := sha256.Sum256(content)
	return SegmentID(hex.EncodeToString(sum[:]))
}

// Key returns the store key of the segment.
func (s SegmentID) Key() string { return segmentPrefix + string(s) }

// Base refers to a whole document of an earlier generation.
type Base struct {
	Generation model.Generation `json:"generation"`
	Segments   []SegmentID      `json:"segments,omitempty"`
}

// Record is one accepted change.
type Record[C any] struct {
	ID         string           `json:"id"`
	Generation model.Generation `json:"generation"`
	// Change is nil when the record was shortened to its id because the head would be too large.
	Change *C `json:"change,omitempty"`
}

// Head is the value of a replicated document's key: a base and the changes after it. The generation of a head is the
// number of changes accepted so far.
type Head[C any] struct {
	Generation model.Generation `json:"generation"`
	Base       Base             `json:"base"`
	// Records are the recent changes, the newest last. They may reach back behind the base.
	Records []Record[C] `json:"records,omitempty"`
}

var errHead = errors.New("configuration head is not valid; restore the key from the store's history")

// DecodeHead reads the value of a key.
func DecodeHead[C any](value []byte) (Head[C], error) {
	var head Head[C]
	if err := json.Unmarshal(value, &head); err != nil {
		return head, fmt.Errorf("%w: %w", errHead, err)
	}
	if head.Generation == 0 || head.Base.Generation > head.Generation {
		return head, fmt.Errorf("%w: generation %d, base %d", errHead, head.Generation, head.Base.Generation)
	}
	for i := 1; i < len(head.Records); i++ {
		if head.Records[i].Generation != head.Records[i-1].Generation+1 {
			return head, fmt.Errorf("%w: the recent changes have a gap at generation %d", errHead, head.Records[i].Generation)
		}
	}
	if n := len(head.Records); n > 0 && head.Records[n-1].Generation != head.Generation {
		return head, fmt.Errorf("%w: the recent changes do not end at generation %d", errHead, head.Generation)
	}
	return head, nil
}

// Encode returns the value of the key.
func (h Head[C]) Encode() ([]byte, error) { return json.Marshal(h) }

// Find returns the generation of the change with the id.
func (h Head[C]) Find(id string) (model.Generation, bool) {
	for _, record := range h.Records {
		if record.ID == id {
			return record.Generation, true
		}
	}
	return 0, false
}

// After returns the records after a generation, or false if some of them are not there or shortened.
func (h Head[C]) After(generation model.Generation) ([]Record[C], bool) {
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
	shortened := slices.ContainsFunc(tail, func(r Record[C]) bool { return r.Change == nil })
	return tail, !shortened
}

// Format tells how the changes of a document are applied and how the document is cut into segments.
type Format[D, C any] struct {
	// Apply returns the document that a change leads to, without changing the given one.
	Apply func(document D, generation model.Generation, change C) (D, error)
	// Split cuts the document into segments of at most 256 KiB. The same document gives the same segments everywhere.
	Split func(document D) ([][]byte, error)
	// Join puts the segments together again.
	Join func(generation model.Generation, segments [][]byte) (D, error)
}

// Proposal is the next head of a document, not yet accepted.
type Proposal[D, C any] struct {
	Head     Head[C]
	Document D
	// Segments have to be in the store before the head is written.
	Segments map[SegmentID][]byte
}

// Next builds the head that a change leads to.
func (f Format[D, C]) Next(head Head[C], document D, id string, change C) (Proposal[D, C], error) {
	generation := head.Generation + 1
	next, err := f.Apply(document, generation, change)
	if err != nil {
		return Proposal[D, C]{}, err
	}
	record := Record[C]{ID: id, Generation: generation, Change: &change}
	records := append(slices.Clone(head.Records), record)
	if excess := len(records) - MaxRecords; excess > 0 {
		records = records[excess:]
	}
	records, err = shorten(records)
	if err != nil {
		return Proposal[D, C]{}, err
	}
	proposal := Proposal[D, C]{Document: next, Head: Head[C]{Generation: generation, Base: head.Base, Records: records}}
	if _, complete := proposal.Head.After(head.Base.Generation); complete && len(head.Base.Segments) > 0 {
		return proposal, nil
	}
	proposal.Head.Base, proposal.Segments, err = f.base(generation, next)
	return proposal, err
}

// First builds the head of generation 1 from a whole document.
func (f Format[D, C]) First(id string, document D) (Proposal[D, C], error) {
	base, segments, err := f.base(1, document)
	head := Head[C]{Generation: 1, Base: base, Records: []Record[C]{{ID: id, Generation: 1}}}
	return Proposal[D, C]{Head: head, Document: document, Segments: segments}, err
}

// base cuts a document into the segments of a new base.
func (f Format[D, C]) base(generation model.Generation, document D) (Base, map[SegmentID][]byte, error) {
	contents, err := f.Split(document)
	if err != nil {
		return Base{}, nil, err
	}
	base := Base{Generation: generation}
	segments := map[SegmentID][]byte{}
	for _, content := range contents {
		id := SegmentOf(content)
		base.Segments = append(base.Segments, id)
		segments[id] = content
	}
	return base, segments, nil
}

// shorten drops the content of the oldest changes until the rest fits into a head.
func shorten[C any](records []Record[C]) ([]Record[C], error) {
	size := 0
	for i := len(records) - 1; i >= 0; i-- {
		encoded, err := json.Marshal(records[i].Change)
		if err != nil {
			return nil, err
		}
		size += len(encoded)
		if size > maxInlineBytes {
			records[i].Change = nil
		}
	}
	return records, nil
}

// Open applies a head's records to its base. segments holds the content of each segment of the base.
func (f Format[D, C]) Open(head Head[C], segments map[SegmentID][]byte) (D, error) {
	var none D
	contents := make([][]byte, 0, len(head.Base.Segments))
	for _, id := range head.Base.Segments {
		content, ok := segments[id]
		if !ok || SegmentOf(content) != id {
			return none, fmt.Errorf("segment %s is missing or damaged; fetch it again", id)
		}
		contents = append(contents, content)
	}
	document, err := f.Join(head.Base.Generation, contents)
	if err != nil {
		return none, err
	}
	records, ok := head.After(head.Base.Generation)
	if !ok {
		return none, fmt.Errorf("%w: changes after the base of generation %d are missing", errHead, head.Base.Generation)
	}
	for _, record := range records {
		document, err = f.Apply(document, record.Generation, *record.Change)
		if err != nil {
			return none, err
		}
	}
	return document, nil
}
