package configstate

import (
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Replica is a host's copy of a replicated document. Its generation never decreases.
type Replica[D, C any] struct {
	format     Format[D, C]
	document   D
	generation model.Generation
	records    []Record[C] // the newest changes, without gaps; the content of large ones is dropped

	// base and segments hold a complete document for hosts too far behind to catch up by changes.
	base     Base
	segments map[SegmentID][]byte

	// pending is a newer head that can't be applied until all segments of its base have been received.
	pending          Head[C]
	receivedSegments map[SegmentID][]byte
}

// NewReplica returns an empty replica.
func NewReplica[D, C any](format Format[D, C]) *Replica[D, C] {
	return &Replica[D, C]{format: format}
}

// Document returns the document in force. It must not be modified.
func (r *Replica[D, C]) Document() D { return r.document }

// Generation returns the generation in force, or 0 before the first one.
func (r *Replica[D, C]) Generation() model.Generation { return r.generation }

// Records returns the recent changes, newest last.
func (r *Replica[D, C]) Records() []Record[C] { return r.records }

// ApplyHead applies a head received from another host or the store. A head that is not newer than the document in
// force has no effect. If its changes do not reach back to the current generation, the head stays pending until the
// segments returned by MissingSegments have been added.
func (r *Replica[D, C]) ApplyHead(head Head[C]) error {
	if head.Generation <= r.generation {
		return nil
	}
	if r.generation > 0 {
		if records, ok := head.RecordsAfter(r.generation); ok {
			return r.applyRecords(records)
		}
	}
	if head.Generation <= r.pending.Generation || len(head.Base.Segments) == 0 {
		return nil
	}
	received := map[SegmentID][]byte{}
	for _, id := range head.Base.Segments {
		if content, ok := r.Segment(id); ok {
			received[id] = content
		} else if content, ok := r.receivedSegments[id]; ok {
			received[id] = content
		}
	}
	r.pending = head
	r.receivedSegments = received
	return r.applyPending()
}

func (r *Replica[D, C]) applyRecords(records []Record[C]) error {
	document := r.document
	for _, record := range records {
		next, err := r.format.Apply(document, record.Generation, *record.Change)
		if err != nil {
			return err
		}
		document = next
	}
	return r.setDocument(document, records[len(records)-1].Generation, append(slices.Clone(r.records), records...))
}

// setDocument puts a document in force. It keeps the latest of its changes, whose content may be dropped.
func (r *Replica[D, C]) setDocument(document D, generation model.Generation, records []Record[C]) error {
	kept, err := latestRecords(records, maxKeptBytes)
	if err != nil {
		return err
	}
	r.document = document
	r.generation = generation
	r.records = kept
	if r.pending.Generation <= generation {
		r.pending = Head[C]{}
		r.receivedSegments = nil
	}
	return nil
}

// MissingSegments returns the segments needed to apply the pending head.
func (r *Replica[D, C]) MissingSegments() []SegmentID {
	var missing []SegmentID
	for _, id := range r.pending.Base.Segments {
		if _, ok := r.receivedSegments[id]; !ok {
			missing = append(missing, id)
		}
	}
	return missing
}

// AddSegment adds the content of a missing segment. Any other content is ignored.
func (r *Replica[D, C]) AddSegment(content []byte) error {
	id := HashSegment(content)
	if !slices.Contains(r.pending.Base.Segments, id) {
		return nil
	}
	r.receivedSegments[id] = content
	return r.applyPending()
}

// applyPending applies the pending head if no segment is missing.
func (r *Replica[D, C]) applyPending() error {
	if len(r.MissingSegments()) > 0 {
		return nil
	}
	head, segments := r.pending, r.receivedSegments
	r.pending = Head[C]{}
	r.receivedSegments = nil
	document, err := r.format.Restore(head, segments)
	if err != nil {
		return err
	}
	r.base = head.Base
	r.segments = segments
	return r.setDocument(document, head.Generation, head.Records)
}

// UpdateFor returns a head that brings a host of a lower generation up to date, either with the changes since then or
// with a base. It returns false if the host is up to date.
func (r *Replica[D, C]) UpdateFor(generation model.Generation) (Head[C], bool, error) {
	if generation >= r.generation {
		return Head[C]{}, false, nil
	}
	if generation > 0 {
		if records, ok := recordsAfter(r.records, generation, r.generation); ok {
			return Head[C]{Generation: r.generation, Records: records}, true, nil
		}
	}
	records, ok := recordsAfter(r.records, r.base.Generation, r.generation)
	if !ok || len(r.base.Segments) == 0 {
		var err error
		if r.base, r.segments, err = r.format.buildBase(r.generation, r.document); err != nil {
			return Head[C]{}, false, err
		}
		records = nil
	}
	return Head[C]{Generation: r.generation, Base: r.base, Records: records}, true, nil
}

// Segment returns the content of a segment of this replica's base.
func (r *Replica[D, C]) Segment(id SegmentID) ([]byte, bool) {
	content, ok := r.segments[id]
	return content, ok
}
