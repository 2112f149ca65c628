package scatter

import (
	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// Result is the outcome of a query. It comes from one snapshot.
type Result struct {
	Snapshot snapshot.Snapshot
	Coverage coverage.Coverage
	// Replies holds the reply that counts for each part of the snapshot, or nil.
	Replies []Reply
	// Execution states whether any attempt ran.
	Execution fault.Execution
	Restarted bool
}

// Result returns the outcome so far; it is final once the machine is done. After a restart it is the better covered of
// the two rounds, the newer one if they are equal, and never a mixture.
func (m *Machine) Result() Result {
	chosen := m.round
	if m.first != nil && m.first.fraction() > m.round.fraction() {
		chosen = m.first
	}
	result := Result{
		Snapshot:  chosen.snapshot,
		Replies:   make([]Reply, len(chosen.parts)),
		Execution: m.execution(),
		Restarted: m.first != nil,
	}
	parts := make([]coverage.Part, len(chosen.parts))
	for i := range chosen.parts {
		parts[i] = chosen.snapshot.Parts[i].Part
		result.Replies[i] = chosen.parts[i].reply
	}
	result.Coverage = coverage.Compute(parts, func(i int) bool { return result.Replies[i] != nil })
	return result
}

// Hits returns the hits of each part that a search reply answered.
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
	case m.round.answered > 0 || m.first != nil && m.first.answered > 0:
		return fault.Ran
	case m.uncertain > 0:
		return fault.OutcomeUnknown
	}
	return fault.NotRun
}
