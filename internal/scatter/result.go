package scatter

import (
	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// Result is the outcome of a query. All its replies come from one snapshot.
type Result struct {
	Snapshot snapshot.Snapshot
	Coverage coverage.Coverage
	// Replies holds the accepted reply for each part of the snapshot, or nil.
	Replies []Reply
	// Execution tells whether any attempt ran, as far as is known.
	Execution fault.Execution
	Restarted bool
}

// Result returns the outcome so far; it is final once the machine is done. After a restart it returns the round with
// the higher coverage, or the newer one if they are equal. It never combines replies of two rounds.
func (m *Machine) Result() Result {
	chosen := m.round
	if m.previousRound != nil && m.previousRound.coveredFraction() > m.round.coveredFraction() {
		chosen = m.previousRound
	}
	result := Result{
		Snapshot:  chosen.snapshot,
		Replies:   make([]Reply, len(chosen.parts)),
		Execution: m.execution(),
		Restarted: m.previousRound != nil,
	}
	parts := make([]coverage.Part, len(chosen.parts))
	for i := range chosen.parts {
		parts[i] = chosen.snapshot.Parts[i].Part
		result.Replies[i] = chosen.parts[i].reply
	}
	result.Coverage = coverage.Compute(parts, func(i int) bool { return result.Replies[i] != nil })
	return result
}

// Hits returns one list of hits for each part that was answered by a search reply.
func (r Result) Hits() [][]model.Hit {
	lists := make([][]model.Hit, 0, len(r.Replies))
	for _, reply := range r.Replies {
		if reply, ok := reply.(*targetclient.SearchReply); ok {
			lists = append(lists, reply.Hits)
		}
	}
	return lists
}

func (m *Machine) execution() fault.Execution {
	switch {
	case m.round.answered > 0 || m.previousRound != nil && m.previousRound.answered > 0:
		return fault.Ran
	case m.mayHaveRun > 0:
		return fault.OutcomeUnknown
	}
	return fault.NotRun
}
