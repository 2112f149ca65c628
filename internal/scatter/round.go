package scatter

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// maxOpen is the number of attempts at a part that run at once: one and its hedge.
const maxOpen = 2

// round is the work at one snapshot.
type round struct {
	number   int
	snapshot snapshot.Snapshot
	parts    []part
	keys     uint64
	covered  uint64
	answered int
	// active counts unanswered parts that have an attempt running or planned.
	active int
}

// part is the state of one shard.
type part struct {
	reply Reply
	// running holds the ids of the open attempts.
	running [maxOpen]int
	open    int
	tried   []trial
	// mayHaveRun counts the attempts that are not known not to have run.
	mayHaveRun int
	// first is the room for the usual number of trials, without an allocation.
	first [maxOpen]trial
	// next is the time of the next planned attempt; 0 if there is none.
	next     time.Duration
	nextKind Kind
	retries  int
	active   bool
}

// trial is a target that was asked for the part.
type trial struct {
	target model.TargetID
	// final tells that the target cannot answer this part any more.
	final bool
}

func newRound(number int, s snapshot.Snapshot) *round {
	r := &round{number: number, snapshot: s, parts: make([]part, len(s.Parts))}
	for i := range s.Parts {
		r.keys += uint64(s.Parts[i].Len())
	}
	return r
}

func (r *round) fraction() float64 { return coverage.Fraction(r.covered, r.keys) }

// settle updates the count of active parts after a change of p.
func (r *round) settle(p *part) {
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

// store keeps the reply that counts for a part.
func (r *round) store(index int, reply Reply) {
	p := &r.parts[index]
	p.reply = reply
	p.next = 0
	r.answered++
	r.covered += uint64(r.snapshot.Parts[index].Len())
	r.settle(p)
}

// matches tells whether a reply answers exactly the part that the snapshot names.
func (r *round) matches(index int, reply Reply) bool { return reply.Answers(&r.snapshot.Parts[index]) }

func (p *part) add(attempt int, target model.TargetID) {
	p.running[p.open] = attempt
	p.open++
	if p.tried == nil {
		p.tried = p.first[:0]
	}
	p.tried = append(p.tried, trial{target: target})
}

func (p *part) remove(attempt int) {
	for i := range p.open {
		if p.running[i] == attempt {
			p.open--
			p.running[i] = p.running[p.open]
			return
		}
	}
}

// markFinal notes that a target cannot answer the part any more.
func (p *part) markFinal(target model.TargetID) {
	for i := range p.tried {
		if p.tried[i].target == target {
			p.tried[i].final = true
		}
	}
}

// forgetFailures lets targets that failed for a passing reason be asked again. It tells whether there are any.
func (p *part) forgetFailures() bool {
	if p.open > 0 {
		return false
	}
	kept := p.tried[:0]
	for _, t := range p.tried {
		if t.final {
			kept = append(kept, t)
		}
	}
	forgotten := len(kept) < len(p.tried)
	p.tried = kept
	return forgotten
}

// exhausted tells whether no replica can answer the part any more.
func (p *part) exhausted(replicas []model.TargetID) bool {
	final := 0
	for _, t := range p.tried {
		if t.final {
			final++
		}
	}
	return final >= len(replicas)
}
