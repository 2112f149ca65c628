package control

import (
	"context"
	"errors"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// acceptRetryWait is the pause before the store is asked again for the outcome of a change.
const acceptRetryWait = 50 * time.Millisecond

// Acceptor accepts operators' changes into a store. It implements change.Acceptor.
type Acceptor struct{ Store store.Store }

// Accept calls the function Accept.
func (a Acceptor) Accept(ctx context.Context, c change.Change) (model.Generation, error) {
	return Accept(ctx, a.Store, c)
}

// Accept makes a change the next generation by one compare-and-swap of the key head. It returns the generation of the
// change, also if a change of the same id was accepted before. The catalogue that the change leads to is validated first.
//
// Errors are a *change.Conflict, or a *fault.Error of kind fault.Conflict (with outcome unknown: the record of this very
// change may have aged out), fault.InvalidCatalogue (the cause is of type model.Violations or *configstate.EditError),
// fault.BadRequest, or fault.StoreUnavailable; with execution fault.OutcomeUnknown the change may have been accepted, and
// calling Accept with the same change again tells.
func Accept(ctx context.Context, s store.Store, c change.Change) (model.Generation, error) {
	if c.ID == "" || len(c.Edits) == 0 {
		return 0, fault.New(fault.BadRequest, fault.NotRun, "give the change an id and at least one edit", "the change is empty")
	}
	if err := configstate.CheckEdits(c); err != nil {
		return 0, fault.Wrap(err, fault.InvalidCatalogue, fault.NotRun, "correct the edit", "an edit is not valid")
	}
	a := &acceptance{store: s, change: c, format: configstate.CatalogueFormat()}
	for {
		generation, done, err := a.attempt(ctx)
		if done {
			return generation, err
		}
		if waitErr := ctxtime.Sleep(ctx, acceptRetryWait); waitErr != nil {
			return 0, a.unavailable(waitErr)
		}
	}
}

// acceptance is one change on its way into the store.
type acceptance struct {
	store  store.Store
	format configstate.Format[*model.Catalogue, change.Change]
	change change.Change
	// sent tells that a write may still take effect, because its answer was lost.
	sent bool
}

// attempt reads the head and tries to write the next one. A repeated write after a lost answer has the same expected
// revision as the lost one unless another change was accepted, so at most one of them takes effect.
func (a *acceptance) attempt(ctx context.Context) (generation model.Generation, done bool, err error) {
	head, revision, err := readHead(ctx, a.store)
	if errors.Is(err, store.ErrUnavailable) {
		return 0, !a.sent, a.unavailable(err)
	}
	if err != nil {
		return 0, true, fault.Wrap(err, fault.Internal, a.execution(), "restore the key head of the store", "configuration head")
	}
	if generation, found := head.Find(a.change.ID); found {
		return generation, true, nil
	}
	if head.Generation != a.change.BasedOn {
		return 0, true, a.conflict(head)
	}
	value, segments, err := a.next(ctx, head)
	if errors.Is(err, store.ErrUnavailable) {
		return 0, !a.sent, a.unavailable(err)
	}
	if err != nil {
		return 0, true, err
	}
	if err := writeSegments(ctx, a.store, segments); err != nil {
		return 0, !a.sent, a.unavailable(err)
	}
	return a.write(ctx, head.Generation+1, revision, value)
}

func (a *acceptance) write(ctx context.Context, next model.Generation, revision store.Revision, value []byte) (model.Generation, bool, error) {
	_, err := a.store.CompareAndSwap(ctx, configstate.HeadKey, revision, value)
	switch {
	case err == nil:
		return next, true, nil
	case errors.Is(err, store.ErrConflict):
		return 0, false, nil // the next attempt finds this change or the one that won
	case errors.Is(err, store.ErrOutcomeUnknown):
		a.sent = true
		return 0, false, nil
	case errors.Is(err, store.ErrUnavailable):
		return 0, !a.sent, a.unavailable(err)
	default:
		return 0, true, fault.Wrap(err, fault.TooLarge, a.execution(), "split the change", "configuration head")
	}
}

// next returns the value and the new segments of the head that the change leads to.
func (a *acceptance) next(ctx context.Context, head configstate.Head[change.Change]) ([]byte, map[configstate.SegmentID][]byte, error) {
	current, err := readDocument(ctx, a.store, a.format, head)
	if err != nil {
		return nil, nil, err
	}
	proposal, err := a.format.Next(head, current, a.change.ID, a.change)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.InvalidCatalogue, a.execution(), "correct the edit", "the change can't be applied")
	}
	if violations := proposal.Document.Validate(); len(violations) > 0 {
		return nil, nil, fault.Wrap(violations, fault.InvalidCatalogue, a.execution(), "correct the values named",
			"the change leads to a catalogue with %d violations", len(violations))
	}
	value, err := proposal.Head.Encode()
	return value, proposal.Segments, err
}

func (a *acceptance) conflict(head configstate.Head[change.Change]) error {
	cause := &change.Conflict{Current: head.Generation, Yours: a.change, Theirs: accepted(head.Records, a.change.BasedOn)}
	if len(head.Records) > 0 && head.Records[0].Generation > a.change.BasedOn+1 {
		return fault.Wrap(cause, fault.Conflict, fault.OutcomeUnknown,
			"look whether the change is in force, and send it with a new id if not", "the change is based on an old generation")
	}
	return cause
}

// accepted returns the records after a generation as operators see them.
func accepted(records []configstate.Record[change.Change], after model.Generation) []change.Accepted {
	result := []change.Accepted{}
	for _, record := range records {
		if record.Generation <= after {
			continue
		}
		entry := change.Accepted{Change: change.Change{ID: record.ID}, Generation: record.Generation}
		if record.Change != nil {
			entry.Change = *record.Change
		}
		result = append(result, entry)
	}
	return result
}

func (a *acceptance) unavailable(cause error) error {
	return fault.Wrap(cause, fault.StoreUnavailable, a.execution(), "send the same change, with the same id, again later", "the store does not answer")
}

func (a *acceptance) execution() fault.Execution {
	if a.sent {
		return fault.OutcomeUnknown
	}
	return fault.NotRun
}

// readHead returns the head of the catalogue, or an empty one before the first change.
func readHead(ctx context.Context, s store.Store) (configstate.Head[change.Change], store.Revision, error) {
	var empty configstate.Head[change.Change]
	entry, err := s.Get(ctx, configstate.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return empty, 0, nil
	}
	if err != nil {
		return empty, 0, err
	}
	head, err := configstate.DecodeHead[change.Change](entry.Value)
	return head, entry.Revision, err
}

// readDocument returns the document of a head, reading its segments from the store.
func readDocument[D, C any](ctx context.Context, s store.Store, format configstate.Format[D, C], head configstate.Head[C]) (D, error) {
	var none D
	if head.Generation == 0 {
		return none, nil
	}
	segments := map[configstate.SegmentID][]byte{}
	for _, id := range head.Base.Segments {
		entry, err := s.Get(ctx, id.Key())
		if err != nil {
			return none, err
		}
		segments[id] = entry.Value
	}
	return format.Open(head, segments)
}

// writeSegments writes the segments that the store does not have. A segment's key is the hash of its content, so one that
// is there already needs no write.
func writeSegments(ctx context.Context, s store.Store, segments map[configstate.SegmentID][]byte) error {
	for id, content := range segments {
		_, err := s.CompareAndSwap(ctx, id.Key(), 0, content)
		if errors.Is(err, store.ErrOutcomeUnknown) {
			_, err = s.CompareAndSwap(ctx, id.Key(), 0, content)
		}
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}

// ReadCatalogue returns the accepted catalogue and its recent changes, read from the store.
func ReadCatalogue(ctx context.Context, s store.Store) (*model.Catalogue, []configstate.Record[change.Change], error) {
	head, _, err := readHead(ctx, s)
	if err != nil {
		return nil, nil, err
	}
	catalogue, err := readDocument(ctx, s, configstate.CatalogueFormat(), head)
	return catalogue, head.Records, err
}

// Bootstrap writes a first catalogue into an empty store, as generation 1. It fails with kind fault.Conflict if the store
// has a catalogue.
func Bootstrap(ctx context.Context, s store.Store, catalogue model.Catalogue) error {
	catalogue.Generation = 1
	first := configstate.Ordered(catalogue)
	if violations := first.Validate(); len(violations) > 0 {
		return fault.Wrap(violations, fault.InvalidCatalogue, fault.NotRun, "correct the values named",
			"the catalogue has %d violations", len(violations))
	}
	proposal, err := configstate.CatalogueFormat().First("bootstrap", first)
	if err != nil {
		return err
	}
	value, err := proposal.Head.Encode()
	if err != nil {
		return err
	}
	if err := writeSegments(ctx, s, proposal.Segments); err != nil {
		return err
	}
	_, err = s.CompareAndSwap(ctx, configstate.HeadKey, 0, value)
	if errors.Is(err, store.ErrConflict) {
		return fault.Wrap(err, fault.Conflict, fault.NotRun, "change the catalogue in the store instead", "the store has a catalogue")
	}
	return err
}
