package configstate

import (
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Replica is a host's copy of a replicated document. Its generation only grows.
type Replica[D, C any] struct {
	format     Format[D, C]
	document   D
	generation model.Generation
	records    []Record[C] // the newest changes, without a gap

	// base and segments are a whole document for hosts that lag too far behind for changes.
	base     Base
	segments map[SegmentID][]byte

	// pending waits for the segments of its base.
	pending  Head[C]
	received map[SegmentID][]byte
}

// NewReplica returns an empty replica.
func NewReplica[D, C any](format Format[D, C]) *Replica[D, C] {
	return &Replica[D, C]{format: format}
}

// Document returns the document in force. It must not be changed.
func (r *Replica[D, C]) Document() D { return r.document }

// Generation returns the generation in force, 0 before the first.
func (r *Replica[D, C]) Generation() model.Generation { return r.generation }

// Records returns the recent changes, the newest last.
func (r *Replica[D, C]) Records() []Record[C] { return r.records }

// Offer applies a head that another host or the store has. A head that is not newer than the document in force changes
// nothing. If the changes do not reach back far enough, the head waits for the segments that Missing names.
func (r *Replica[D, C]) Offer(head Head[C]) error {
	if head.Generation <= r.generation {
		return nil
	}
	if r.generation > 0 {
		if records, ok := head.After(r.generation); ok {
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
		} else if content, ok := r.received[id]; ok {
			received[id] = content
		}
	}
	r.pending = head
	r.received = received
	return r.complete()
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
	kept := append(slices.Clone(r.records), records...)
	r.adopt(document, records[len(records)-1].Generation, kept)
	return nil
}

func (r *Replica[D, C]) adopt(document D, generation model.Generation, records []Record[C]) {
	r.document = document
	r.generation = generation
	if excess := len(records) - MaxRecords; excess > 0 {
		records = slices.Clone(records[excess:])
	}
	r.records = records
	if r.pending.Generation <= generation {
		r.pending = Head[C]{}
		r.received = nil
	}
}

// Missing returns the segments that the pending head waits for.
func (r *Replica[D, C]) Missing() []SegmentID {
	var missing []SegmentID
	for _, id := range r.pending.Base.Segments {
		if _, ok := r.received[id]; !ok {
			missing = append(missing, id)
		}
	}
	return missing
}

// AddSegment takes the content of a missing segment. Other contents are ignored.
func (r *Replica[D, C]) AddSegment(content []byte) error {
	id := SegmentOf(content)
	if !slices.Contains(r.pending.Base.Segments, id) {
		return nil
	}
	r.received[id] = content
	return r.complete()
}

// complete applies the pending head if no segment is missing.
func (r *Replica[D, C]) complete() error {
	if len(r.Missing()) > 0 {
		return nil
	}
	head, segments := r.pending, r.received
	r.pending = Head[C]{}
	r.received = nil
	document, err := r.format.Open(head, segments)
	if err != nil {
		return err
	}
	r.base = head.Base
	r.segments = segments
	r.adopt(document, head.Generation, head.Records)
	return nil
}

// UpdateFor returns a head with what a host of a lower generation needs: the changes after it, or a base. It returns
// false if there is nothing newer.
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
		if r.base, r.segments, err = r.format.base(r.generation, r.document); err != nil {
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
