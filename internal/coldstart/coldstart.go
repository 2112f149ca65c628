// Package coldstart keeps the phase of each target: a target that has just started, returned or shows signs of a restart
// bears little load and warms up by clean successes (P3). The permit owner of a target decides its allowance and
// announces that it is warm; every host may announce that it is cold. It is a pure state machine, not safe for
// concurrent use; one State runs on each host.
package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// successesPerDoubling is the number of clean successes after which the allowance doubles.
	successesPerDoubling = 8
	// successesToWarm is the number of clean successes at the full allowance after which the target is warm.
	successesToWarm = 16
	// signsWithin is the time within which two signs make a target cold. One alone may be chance.
	signsWithin = time.Second
	// SettleTime is the time for which a cold target gets nothing: 1 s until all hosts know, and 1.5 s, the longest
	// term of a permit, until the attempts sent before have ended.
	SettleTime = 2500 * time.Millisecond
	// reportInterval is the time between two progress reports about a target.
	reportInterval = 100 * time.Millisecond
)

// Phase is the phase of a target.
type Phase string

// The phases of a target.
const (
	Cold    Phase = "cold"
	Warming Phase = "warming"
	Warm    Phase = "warm"
)

// Statement is ordered evidence about a target: whether it takes work without permits.
type Statement struct {
	Target      model.TargetID    `msgpack:"target" json:"target"`
	Incarnation model.Incarnation `msgpack:"incarnation" json:"incarnation"`
	// Epoch orders the statements about one incarnation.
	Epoch uint64 `msgpack:"epoch" json:"epoch"`
	Warm  bool   `msgpack:"warm" json:"warm"`
}

// newer tells whether s replaces old. Of two statements of the same order, cold counts.
func (s Statement) newer(old Statement) bool {
	order := cmp.Or(cmp.Compare(s.Incarnation, old.Incarnation), cmp.Compare(s.Epoch, old.Epoch))
	return order > 0 || order == 0 && !s.Warm && old.Warm
}

// Progress tells a target's permit owner what a host has seen since the statement with this order. It is cumulative, so
// repeated and lost reports do no harm.
type Progress struct {
	Target      model.TargetID    `msgpack:"target"`
	Incarnation model.Incarnation `msgpack:"incarnation"`
	Epoch       uint64            `msgpack:"epoch"`
	Successes   uint64            `msgpack:"successes"`
	Signs       uint64            `msgpack:"signs"`
}

// Target is what the catalogue says about a target.
type Target struct {
	ID        model.TargetID
	Slots     int
	ColdSlots int
}

// record is what a host knows about a target.
type record struct {
	target Target
	// added tells that operators have added the target while this host was running. It is cold whatever it reports.
	added    bool
	known    Statement
	knownAt  time.Duration
	evidence evidence
	// successes and signs count what this host has seen since the statement.
	successes uint64
	signs     uint64
	reported  Progress
	sentAt    time.Duration
	ramp      ramp
	// saidCold is the time of the last report of the target that it is cold.
	saidCold time.Duration
}

// State is the state machine of one host.
type State struct {
	targets map[model.TargetID]*record
	// hasTargets tells that the first catalogue is known.
	hasTargets bool
}

// New returns a state without targets.
func New() *State { return &State{targets: map[model.TargetID]*record{}} }

// SetTargets replaces the targets of the catalogue. A target that is new is cold, except that those of the first catalogue
// are taken for what they report until another host knows more: when all hosts start at once, nobody can know, and to
// take every target for cold would stop the service.
func (s *State) SetTargets(now time.Duration, targets []Target) {
	kept := make(map[model.TargetID]*record, len(targets))
	for _, t := range targets {
		r := s.targets[t.ID]
		if r == nil {
			r = &record{knownAt: now, known: Statement{Target: t.ID}, added: s.hasTargets}
		}
		r.target = t
		kept[t.ID] = r
	}
	s.targets = kept
	s.hasTargets = true
}

// Apply takes a statement of another host and tells whether it was new.
func (s *State) Apply(now time.Duration, statement Statement) bool {
	r := s.targets[statement.Target]
	if r == nil || !statement.newer(r.known) {
		return false
	}
	r.set(now, statement)
	return true
}

func (r *record) set(now time.Duration, statement Statement) {
	r.known = statement
	r.knownAt = now
	r.successes = 0
	r.signs = 0
	r.reported = Progress{}
	r.evidence.restart()
	r.ramp = ramp{}
}

// Return makes a target cold because it is back in service. Every host sees the return, so one that knows already of a
// target that has just become cold adds nothing.
func (s *State) Return(now time.Duration, target model.TargetID) (Statement, bool) {
	r := s.targets[target]
	if r == nil || !r.known.Warm && now-r.knownAt < SettleTime {
		return Statement{}, false
	}
	return r.drop(now), true
}

// drop makes the target cold in the present incarnation.
func (r *record) drop(now time.Duration) Statement {
	r.set(now, Statement{Target: r.target.ID, Incarnation: r.known.Incarnation, Epoch: r.known.Epoch + 1})
	return r.known
}

// Observe takes evidence. When ok, the target has become cold by it and the statement is to be spread.
func (s *State) Observe(now time.Duration, observation Observation) (statement Statement, ok bool) {
	r := s.targets[observation.Target]
	if r == nil || observation.Incarnation != 0 && observation.Incarnation < r.known.Incarnation {
		return Statement{}, false
	}
	if observation.Kind == SaysReady && r.known.Incarnation == 0 && !r.added {
		// Epoch 0 gives way to whatever another host has seen of this incarnation.
		r.set(now, Statement{Target: observation.Target, Incarnation: observation.Incarnation, Warm: true})
		return Statement{}, false
	}
	if observation.Incarnation > r.known.Incarnation {
		r.set(now, Statement{Target: observation.Target, Incarnation: observation.Incarnation, Epoch: 1})
		return r.known, true
	}
	if observation.Kind == SaysCold {
		r.saidCold = now
		if r.known.Warm {
			return r.drop(now), true
		}
		return Statement{}, false
	}
	return r.weigh(now, observation)
}

func (r *record) weigh(now time.Duration, observation Observation) (Statement, bool) {
	if !r.known.Warm && now-r.knownAt < SettleTime {
		return Statement{}, false // the attempt was sent before the target became cold
	}
	drop, sign := r.evidence.add(now, observation, r.known.Warm)
	switch {
	case drop && (r.known.Warm || r.signs+r.successes > 0):
		return r.drop(now), true
	case sign:
		r.signs++
	case observation.Kind == Succeeded && !r.known.Warm:
		r.successes++
	}
	return Statement{}, false
}

// IsWarm tells whether a target takes work without permits.
func (s *State) IsWarm(target model.TargetID) bool {
	r := s.targets[target]
	return r != nil && r.known.Warm
}

// MayUsePermit tells whether this host may use permits of a target that is not warm. For the settle time after it learned
// that the target is cold, its permits may stem from an earlier phase, and attempts sent without permits may still run.
func (s *State) MayUsePermit(now time.Duration, target model.TargetID) bool {
	r := s.targets[target]
	return r != nil && !r.known.Warm && now-r.knownAt >= SettleTime
}

// Phase returns the phase of a target. Only its permit owner tells warming from cold.
func (s *State) Phase(target model.TargetID) Phase {
	r := s.targets[target]
	switch {
	case r == nil || !r.known.Warm && r.ramp.level == 0:
		return Cold
	case r.known.Warm:
		return Warm
	}
	return Warming
}

// Statements returns what is known about each target, for a host that has just started.
func (s *State) Statements() []Statement {
	result := make([]Statement, 0, len(s.targets))
	for _, r := range s.targets {
		if r.known.Incarnation != 0 {
			result = append(result, r.known)
		}
	}
	slices.SortFunc(result, func(a, b Statement) int { return cmp.Compare(a.Target, b.Target) })
	return result
}

// Report returns the progress to send to a target's permit owner, if there is any and it is due.
func (s *State) Report(now time.Duration, target model.TargetID) (Progress, bool) {
	r := s.targets[target]
	if r == nil || r.known.Warm {
		return Progress{}, false
	}
	progress := Progress{target, r.known.Incarnation, r.known.Epoch, r.successes, r.signs}
	if progress == r.reported || r.successes+r.signs == 0 || now-r.sentAt < reportInterval {
		return Progress{}, false
	}
	r.reported = progress
	r.sentAt = now
	return progress, true
}
