package cli

import (
	"errors"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorclient"
)

// TestExitCodesDistinguishOutcomes guards against exit codes with which a script would mistake an unknown outcome or a
// conflict for an ordinary refusal.
func TestExitCodesDistinguishOutcomes(t *testing.T) {
	conflict := &operatorclient.ConflictError{Fault: fault.New(fault.Conflict, fault.NotRun, "", "")}
	for _, test := range []struct {
		err  error
		want int
	}{
		{nil, exitOK},
		{errReported, exitError},
		{errors.New("other"), exitError},
		{&flags.Error{Type: flags.ErrHelp}, exitOK},
		{&flags.Error{Type: flags.ErrRequired}, exitUsage},
		{conflict, exitConflict},
		{&reportedError{conflict}, exitConflict},
		{&operatorclient.ConflictError{Fault: fault.New(fault.Conflict, fault.OutcomeUnknown, "", "")}, exitUnknown},
		{fault.New(fault.Unavailable, fault.OutcomeUnknown, "", ""), exitUnknown},
		{fault.New(fault.Unavailable, fault.NotRun, "", ""), exitUnavailable},
		{fault.New(fault.InsufficientCapacity, fault.NotRun, "", ""), exitError},
	} {
		require.Equal(t, test.want, exitCode(test.err), test.err)
	}
}

// TestConflictMessageShowsBothChanges guards against a conflict message that omits the other operator's changes.
func TestConflictMessageShowsBothChanges(t *testing.T) {
	text := describeConflict(&change.Conflict{
		Current: 9,
		Yours:   change.Change{BasedOn: 7, Edits: []change.Edit{{Op: change.Delete, Kind: change.Caller, ID: "van"}}},
		Theirs: []change.Accepted{{Generation: 8, Change: change.Change{
			ID: "abc", Author: "mini", Reason: "rotation", Edits: []change.Edit{{Op: change.Put, Kind: change.Caller, ID: "counter"}},
		}}},
	})
	for _, part := range []string{"generation 7", "delete caller van", "generation 8", "abc", "mini", "rotation", "put caller counter"} {
		require.Contains(t, text, part)
	}
}

// TestEditsBetweenRejectsDroppedGenerations guards against a list of edits that silently omits generations which are no
// longer in the history.
func TestEditsBetweenRejectsDroppedGenerations(t *testing.T) {
	edit := func(id string) change.Change {
		return change.Change{Edits: []change.Edit{{Op: change.Delete, Kind: change.Caller, ID: id}}}
	}
	kept := []change.Accepted{{Generation: 5, Change: edit("a")}, {Generation: 6, Change: edit("b")}, {Generation: 7, Change: edit("c")}}
	_, err := editsBetween(kept, 3, 0)
	require.Equal(t, fault.NotFound, fault.As(err).Kind)
	edits, err := editsBetween(kept, 4, 6)
	require.NoError(t, err)
	require.Len(t, edits, 2)
}
