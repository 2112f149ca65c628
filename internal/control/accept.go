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

// acceptRetryDelay is the delay before retrying a change whose outcome is unknown or that lost a compare-and-swap.
const acceptRetryDelay = 50 * time.Millisecond

// Acceptor commits operators' changes to a store. It implements change.Acceptor.
type Acceptor struct{ Store store.Store }

// Accept calls the package function Accept.
func (a Acceptor) Accept(ctx context.Context, c change.Change) (model.Generation, error) {
	return Accept(ctx, a.Store, c)
}

// Accept commits a change as the next generation with a single compare-and-swap on the key head and returns the
// generation of the change. It is idempotent: a change whose id was accepted before returns its existing generation.
// The resulting catalogue is validated before the write.
//
// Errors are a *change.Conflict, or a *fault.Error of kind fault.Conflict (with outcome unknown, because the record
// of this change may have been evicted from the head), fault.InvalidCatalogue (the cause is a model.Violations or a
// *configstate.EditError), fault.BadRequest or fault.StoreUnavailable. With execution fault.OutcomeUnknown the change
// may have been accepted; calling Accept again with the same change resolves the outcome.
func Accept(ctx context.Context, s store.Store, c change.Change) (model.Generation, error) {
	if c.ID == "" || len(c.Edits) == 0 {
		return 0, fault.New(fault.BadRequest, fault.NotRun, "give the change an id and at least one edit", "the change has no id or no edits")
	}
	if err := configstate.ValidateEdits(c); err != nil {
		return 0, fault.Wrap(err, fault.InvalidCatalogue, fault.NotRun, "correct the edit", "the change contains an invalid edit")
	}
	a := &acceptOperation{store: s, change: c, format: configstate.CatalogueFormat()}
	for {
		generation, done, err := a.attempt(ctx)
		if done {
			return generation, err
		}
		if waitErr := ctxtime.Sleep(ctx, acceptRetryDelay); waitErr != nil {
			return 0, a.unavailableError(waitErr)
		}
	}
}

// acceptOperation is the state of committing one change.
type acceptOperation struct {
	store  store.Store
	format configstate.Format[*model.Catalogue, change.Change]
	change change.Change
	// outcomeUnknown is set when a write may have taken effect because its response was lost.
	outcomeUnknown bool
}

// attempt reads the head and tries to write the next one. A retry after a lost response uses the same expected
// revision as the lost write unless another change was accepted in between, so at most one of the writes takes
// effect.
func (a *acceptOperation) attempt(ctx context.Context) (generation model.Generation, done bool, err error) {
	head, revision, err := readHead(ctx, a.store)
	if errors.Is(err, store.ErrUnavailable) {
		return 0, !a.outcomeUnknown, a.unavailableError(err)
	}
	if err != nil {
		return 0, true, fault.Wrap(err, fault.Internal, a.execution(), "restore the key head of the store", "the configuration head can't be read")
	}
	if generation, found := head.FindChange(a.change.ID); found {
		return generation, true, nil
	}
	if head.Generation != a.change.BasedOn {
		return 0, true, a.conflictError(head)
	}
	value, segments, err := a.buildNext(ctx, head)
	if errors.Is(err, store.ErrUnavailable) {
		return 0, !a.outcomeUnknown, a.unavailableError(err)
	}
	if err != nil {
		return 0, true, err
	}
	if err := writeSegments(ctx, a.store, segments); err != nil {
		return 0, !a.outcomeUnknown, a.unavailableError(err)
	}
	return a.write(ctx, head.Generation+1, revision, value)
}

func (a *acceptOperation) write(ctx context.Context, next model.Generation, revision store.Revision, value []byte) (model.Generation, bool, error) {
	_, err := a.store.CompareAndSwap(ctx, configstate.HeadKey, revision, value)
	switch {
	case err == nil:
		return next, true, nil
	case errors.Is(err, store.ErrConflict):
		return 0, false, nil // the next attempt finds this change or the one that won the race
	case errors.Is(err, store.ErrOutcomeUnknown):
		a.outcomeUnknown = true
		return 0, false, nil
	case errors.Is(err, store.ErrUnavailable):
		return 0, !a.outcomeUnknown, a.unavailableError(err)
	default:
		return 0, true, fault.Wrap(err, fault.TooLarge, a.execution(), "split the change", "the configuration head can't be written")
	}
}

// buildNext returns the encoded head and the new segments that result from applying the change.
func (a *acceptOperation) buildNext(ctx context.Context, head configstate.Head[change.Change]) ([]byte, map[configstate.SegmentID][]byte, error) {
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

func (a *acceptOperation) conflictError(head configstate.Head[change.Change]) error {
	cause := &change.Conflict{Current: head.Generation, Yours: a.change, Theirs: acceptedChanges(head.Records, a.change.BasedOn)}
	if len(head.Records) > 0 && head.Records[0].Generation > a.change.BasedOn+1 {
		return fault.Wrap(cause, fault.Conflict, fault.OutcomeUnknown,
			"check whether the change is in force; if not, submit it with a new id", "the change is based on an outdated generation")
	}
	return cause
}

// acceptedChanges converts the records after a generation into the form shown to operators.
func acceptedChanges(records []configstate.Record[change.Change], after model.Generation) []change.Accepted {
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

func (a *acceptOperation) unavailableError(cause error) error {
	return fault.Wrap(cause, fault.StoreUnavailable, a.execution(), "retry the same change with the same id later", "the store does not answer")
}

func (a *acceptOperation) execution() fault.Execution {
	if a.outcomeUnknown {
		return fault.OutcomeUnknown
	}
	return fault.NotRun
}

// readHead returns the head of the catalogue, or an empty head before the first change.
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

// readDocument reads the segments of a head from the store and returns its document.
func readDocument[D, C any](ctx context.Context, s store.Store, format configstate.Format[D, C], head configstate.Head[C]) (D, error) {
	var zero D
	if head.Generation == 0 {
		return zero, nil
	}
	segments := map[configstate.SegmentID][]byte{}
	for _, id := range head.Base.Segments {
		entry, err := s.Get(ctx, id.Key())
		if err != nil {
			return zero, err
		}
		segments[id] = entry.Value
	}
	return format.Restore(head, segments)
}

// writeSegments writes the segments that the store lacks. Keys are content hashes, so an existing segment needs no
// write.
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

// ReadCatalogue reads the accepted catalogue and its recent changes from the store.
func ReadCatalogue(ctx context.Context, s store.Store) (*model.Catalogue, []configstate.Record[change.Change], error) {
	head, _, err := readHead(ctx, s)
	if err != nil {
		return nil, nil, err
	}
	catalogue, err := readDocument(ctx, s, configstate.CatalogueFormat(), head)
	return catalogue, head.Records, err
}

// Bootstrap writes the initial catalogue to an empty store as generation 1. It fails with kind fault.Conflict if the
// store already has a catalogue.
func Bootstrap(ctx context.Context, s store.Store, catalogue model.Catalogue) error {
	catalogue.Generation = 1
	first := configstate.SortedByID(catalogue)
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
		return fault.Wrap(err, fault.Conflict, fault.NotRun, "change the existing catalogue instead", "the store already has a catalogue")
	}
	return err
}
