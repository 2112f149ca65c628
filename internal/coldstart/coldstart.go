// Package coldstart tracks the phase of each target. A target that has just started, has returned to service or shows
// signs of a restart gets little load, and warms up as requests succeed (P3). The quota owner of a target determines
// its allowance and announces that it is warm; any host may announce that it is cold. The package is a pure state
// machine and is not safe for concurrent use; each host runs one State.
package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// successesPerDoubling is the number of successes without a sign of a cold start after which the allowance doubles.
	successesPerDoubling = 8
	// successesToWarm is the number of successes without a sign at the full allowance after which the target is warm.
	successesToWarm = 16
	// signWindow is the time within which two signs make a target cold. A single sign may be coincidence.
	signWindow = time.Second
	// SettleTime is the time during which a target that has become cold gets no requests: 1 s until all hosts know,
	// plus 1.5 s, the longest term of a permit, until the attempts sent before have ended.
	SettleTime = 2500 * time.Millisecond
	// reportInterval is the minimum time between progress reports about the same target.
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

// Statement is versioned evidence about a target: whether it accepts work without permits.
type Statement struct {
	Target      model.TargetID    `msgpack:"target" json:"target"`
	Incarnation model.Incarnation `msgpack:"incarnation" json:"incarnation"`
	// Epoch orders the statements about the same incarnation.
	Epoch uint64 `msgpack:"epoch" json:"epoch"`
	Warm  bool   `msgpack:"warm" json:"warm"`
}

// supersedes reports whether s replaces old. Between two statements with the same incarnation and epoch, the one that
// says cold wins.
func (s Statement) supersedes(old Statement) bool {
	order := cmp.Or(cmp.Compare(s.Incarnation, old.Incarnation), cmp.Compare(s.Epoch, old.Epoch))
	return order > 0 || order == 0 && !s.Warm && old.Warm
}

// Progress reports to a target's quota owner what a host has observed since the statement with the same incarnation
// and epoch. The counts are cumulative, so lost and repeated reports do no harm.
type Progress struct {
	Target      model.TargetID    `msgpack:"target"`
	Incarnation model.Incarnation `msgpack:"incarnation"`
	Epoch       uint64            `msgpack:"epoch"`
	Successes   uint64            `msgpack:"successes"`
	Signs       uint64            `msgpack:"signs"`
}

// Target holds the catalogue's description of a target.
type Target struct {
	ID        model.TargetID
	Slots     int
	ColdSlots int
}

// targetRecord is the state of one target on this host.
type targetRecord struct {
	target Target
	// addedAtRuntime is set for a target that operators added while this host was running. It starts cold whatever it
	// reports.
	addedAtRuntime bool
	current        Statement
	changedAt      time.Duration
	evidence       evidence
	// successes and signs count what this host has observed since the current statement.
	successes  uint64
	signs      uint64
	reported   Progress
	reportedAt time.Duration
	ramp       ramp
	// reportedColdAt is the time at which the target last reported that it is cold.
	reportedColdAt time.Duration
}

// State is the state machine of one host.
type State struct {
	targets map[model.TargetID]*targetRecord
	// initialized is set once the first catalogue has been applied.
	initialized bool
}

// New returns a state without targets.
func New() *State { return &State{targets: map[model.TargetID]*targetRecord{}} }

// SetTargets replaces the set of targets. New targets start cold. Those of the first catalogue instead have the phase
// that they report, until another host provides newer evidence: when all hosts start at once, none has any evidence,
// and treating every target as cold would stop the service.
func (s *State) SetTargets(now time.Duration, targets []Target) {
	kept := make(map[model.TargetID]*targetRecord, len(targets))
	for _, t := range targets {
		r := s.targets[t.ID]
		if r == nil {
			r = &targetRecord{changedAt: now, current: Statement{Target: t.ID}, addedAtRuntime: s.initialized}
		}
		r.target = t
		kept[t.ID] = r
	}
	s.targets = kept
	s.initialized = true
}

// Apply applies a statement from another host and reports whether it was new.
func (s *State) Apply(now time.Duration, statement Statement) bool {
	r := s.targets[statement.Target]
	if r == nil || !statement.supersedes(r.current) {
		return false
	}
	r.setStatement(now, statement)
	return true
}

// setStatement adopts a statement and discards all evidence gathered before it.
func (r *targetRecord) setStatement(now time.Duration, statement Statement) {
	r.current = statement
	r.changedAt = now
	r.successes = 0
	r.signs = 0
	r.reported = Progress{}
	r.evidence.reset()
	r.ramp = ramp{}
}

// MarkReturned makes a target cold because it is back in service. All hosts observe the return, so a host that already
// knows that the target has just become cold issues no further statement.
func (s *State) MarkReturned(now time.Duration, target model.TargetID) (Statement, bool) {
	r := s.targets[target]
	if r == nil || !r.current.Warm && now-r.changedAt < SettleTime {
		return Statement{}, false
	}
	return r.markCold(now), true
}

// markCold makes the target cold in its current incarnation.
func (r *targetRecord) markCold(now time.Duration) Statement {
	r.setStatement(now, Statement{Target: r.target.ID, Incarnation: r.current.Incarnation, Epoch: r.current.Epoch + 1})
	return r.current
}

// Observe processes an observation. If ok, it has made the target cold, and the caller must broadcast the statement.
func (s *State) Observe(now time.Duration, observation Observation) (statement Statement, ok bool) {
	r := s.targets[observation.Target]
	if r == nil || observation.Incarnation != 0 && observation.Incarnation < r.current.Incarnation {
		return Statement{}, false
	}
	if observation.Kind == ReportedReady && r.current.Incarnation == 0 && !r.addedAtRuntime {
		// Epoch 0 is superseded by any statement of another host about this incarnation.
		r.setStatement(now, Statement{Target: observation.Target, Incarnation: observation.Incarnation, Warm: true})
		return Statement{}, false
	}
	if observation.Incarnation > r.current.Incarnation {
		r.setStatement(now, Statement{Target: observation.Target, Incarnation: observation.Incarnation, Epoch: 1})
		return r.current, true
	}
	if observation.Kind == ReportedCold {
		r.reportedColdAt = now
		if r.current.Warm {
			return r.markCold(now), true
		}
		return Statement{}, false
	}
	return r.evaluate(now, observation)
}

// evaluate checks an observation for signs of a cold start and counts it.
func (r *targetRecord) evaluate(now time.Duration, observation Observation) (Statement, bool) {
	if !r.current.Warm && now-r.changedAt < SettleTime {
		return Statement{}, false // the attempt was sent before the target became cold
	}
	confirmed, sign := r.evidence.add(now, observation, r.current.Warm)
	switch {
	case confirmed && (r.current.Warm || r.signs+r.successes > 0):
		return r.markCold(now), true
	case sign:
		r.signs++
	case observation.Kind == Succeeded && !r.current.Warm:
		r.successes++
	}
	return Statement{}, false
}

// IsWarm reports whether a target accepts work without permits.
func (s *State) IsWarm(target model.TargetID) bool {
	r := s.targets[target]
	return r != nil && r.current.Warm
}

// MayUsePermit reports whether this host may use permits of a target that is not warm. It may not for SettleTime after
// learning that the target is cold: its permits may date from an earlier phase, and attempts sent without a permit may
// still be running.
func (s *State) MayUsePermit(now time.Duration, target model.TargetID) bool {
	r := s.targets[target]
	return r != nil && !r.current.Warm && now-r.changedAt >= SettleTime
}

// Phase returns the phase of a target. Only the quota owner distinguishes warming from cold.
func (s *State) Phase(target model.TargetID) Phase {
	r := s.targets[target]
	switch {
	case r == nil || !r.current.Warm && r.ramp.level == 0:
		return Cold
	case r.current.Warm:
		return Warm
	}
	return Warming
}

// Statements returns the newest statement about each target, to be sent to a host that has just started.
func (s *State) Statements() []Statement {
	result := make([]Statement, 0, len(s.targets))
	for _, r := range s.targets {
		if r.current.Incarnation != 0 {
			result = append(result, r.current)
		}
	}
	slices.SortFunc(result, func(a, b Statement) int { return cmp.Compare(a.Target, b.Target) })
	return result
}

// Report returns the progress to send to the target's quota owner, if it has changed and a report is due.
func (s *State) Report(now time.Duration, target model.TargetID) (Progress, bool) {
	r := s.targets[target]
	if r == nil || r.current.Warm {
		return Progress{}, false
	}
	progress := Progress{target, r.current.Incarnation, r.current.Epoch, r.successes, r.signs}
	if progress == r.reported || r.successes+r.signs == 0 || now-r.reportedAt < reportInterval {
		return Progress{}, false
	}
	r.reported = progress
	r.reportedAt = now
	return progress, true
}
