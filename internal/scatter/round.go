package scatter

import (
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// maxOpen is the maximum number of concurrent attempts at a part: one attempt and its hedge.
const maxOpen = 2

// round is the state of a query at one snapshot. A restart at a newer snapshot begins a new round.
type round struct {
	number      int
	snapshot    snapshot.Snapshot
	parts       []part
	totalKeys   uint64
	coveredKeys uint64
	answered    int
	// active counts the unanswered parts that have an open or a scheduled attempt.
	active int
	// unreachable counts the unanswered parts all of whose replicas refused connections.
	unreachable int
}

// part is the state of one part of the snapshot, which is one shard.
type part struct {
	reply Reply
	// openAttempts holds the IDs of the open attempts in its first open elements.
	openAttempts [maxOpen]int
	open         int
	tried        []triedTarget
	// mayHaveRun counts the attempts that are not proven not to have run.
	mayHaveRun int
	// triedBuffer backs tried, so that the usual number of attempts needs no allocation.
	triedBuffer [maxOpen]triedTarget
	// next is the time of the next scheduled attempt; 0 if there is none.
	next     time.Duration
	nextKind Kind
	retries  int
	active   bool
	// unreachable is set once every replica has refused a connection, until an attempt fails in another way, or if no replica
	// takes an attempt in time.
	unreachable bool
	// noRoom is set once this host had no memory for a reply.
	noRoom bool
}

// triedTarget is a target to which an attempt at the part was sent.
type triedTarget struct {
	target model.TargetID
	// final means that the target can no longer answer this part.
	final bool
	// unreachable means that the target refused the connection.
	unreachable bool
}

func newRound(number int, s snapshot.Snapshot) *round {
	r := &round{number: number, snapshot: s, parts: make([]part, len(s.Parts))}
	for i := range s.Parts {
		r.totalKeys += uint64(s.Parts[i].Len())
	}
	return r
}

func (r *round) coveredFraction() float64 { return coverage.Fraction(r.coveredKeys, r.totalKeys) }

// updateActive updates the count of active parts after a change to p.
func (r *round) updateActive(p *part) {
	active := p.reply == nil && (p.open > 0 || p.next > 0)
	if active != p.active {
		p.active = active
		if active {
			r.active++
		} else {
			r.active--
		}
	}
}

// setUnreachable updates the count of unreachable parts after a change to p.
func (r *round) setUnreachable(p *part, unreachable bool) {
	if unreachable == p.unreachable {
		return
	}
	p.unreachable = unreachable
	if unreachable {
		r.unreachable++
	} else {
		r.unreachable--
	}
}

// recordUnreachable records whether a failed attempt shows that no replica of the part accepts connections.
func (r *round) recordUnreachable(p *part, target model.TargetID, failure Failure, replicas []model.TargetID) {
	if failure != FailedUnreachable {
		r.setUnreachable(p, false)
		return
	}
	refused := 0
	for i := range p.tried {
		if p.tried[i].target == target {
			p.tried[i].unreachable = true
		}
		if p.tried[i].unreachable {
			refused++
		}
	}
	if refused >= len(replicas) {
		r.setUnreachable(p, true)
	}
}

// store sets the accepted reply of a part.
func (r *round) store(index int, reply Reply) {
	p := &r.parts[index]
	r.setUnreachable(p, false)
	p.reply = reply
	p.next = 0
	r.answered++
	r.coveredKeys += uint64(r.snapshot.Parts[index].Len())
	r.updateActive(p)
}

// matches reports whether a reply answers exactly the part of the snapshot: the same index, version and key range.
func (r *round) matches(index int, reply Reply) bool { return reply.Answers(&r.snapshot.Parts[index]) }

func (p *part) addAttempt(attempt int, target model.TargetID) {
	p.openAttempts[p.open] = attempt
	p.open++
	if p.tried == nil {
		p.tried = p.triedBuffer[:0]
	}
	p.tried = append(p.tried, triedTarget{target: target})
}

func (p *part) removeAttempt(attempt int) {
	for i := range p.open {
		if p.openAttempts[i] == attempt {
			p.open--
			p.openAttempts[i] = p.openAttempts[p.open]
			return
		}
	}
}

// markFinal records that a target can no longer answer the part.
func (p *part) markFinal(target model.TargetID) {
	for i := range p.tried {
		if p.tried[i].target == target {
			p.tried[i].final = true
		}
	}
}

// clearTransientFailures makes targets that failed for a transient reason eligible again. It does nothing while an
// attempt at the part is open.
func (p *part) clearTransientFailures() {
	if p.open > 0 {
		return
	}
	p.tried = slices.DeleteFunc(p.tried, func(t triedTarget) bool { return !t.final })
}

// allReplicasFinal reports whether no replica can answer the part any more.
func (p *part) allReplicasFinal(replicas []model.TargetID) bool {
	final := 0
	for _, t := range p.tried {
		if t.final {
			final++
		}
	}
	return final >= len(replicas)
}
