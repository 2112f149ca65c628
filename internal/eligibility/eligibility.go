// Package eligibility decides which targets and hosts may get new work. Every source of evidence has an order: the
// catalogue its generation, a target's own state its incarnation and a sequence, a host's leave its incarnation. Older
// evidence never reverses newer evidence. It is a pure state machine, not safe for concurrent use.
package eligibility

import (
	"cmp"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Statement is ordered evidence about a target's own state.
type Statement struct {
	Target      model.TargetID    `msgpack:"target" json:"target"`
	Incarnation model.Incarnation `msgpack:"incarnation" json:"incarnation"`
	// Sequence orders the statements about one incarnation.
	Sequence uint64 `msgpack:"sequence" json:"sequence"`
	Draining bool   `msgpack:"draining" json:"draining"`
}

// newer tells whether s replaces old. Of two statements of the same order, the one that stops work counts.
func (s Statement) newer(old Statement) bool {
	order := cmp.Or(cmp.Compare(s.Incarnation, old.Incarnation), cmp.Compare(s.Sequence, old.Sequence))
	return order > 0 || order == 0 && s.Draining && !old.Draining
}

// Report is what a target said about itself to this host, in a status or in a refusal.
type Report struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	Draining    bool
	// AskedAt is the time at which this host sent the question. A report is newer than everything that this host knew
	// by then, and may be older than what it learned later.
	AskedAt time.Duration
}

type target struct {
	Statement
	knownSince time.Duration
}

// State holds the newest evidence.
type State struct {
	generation model.Generation
	centresOut map[model.DataCentreID]bool
	hostsOut   map[model.HostID]bool
	centreOf   map[model.TargetID]model.DataCentreID
	targets    map[model.TargetID]target
	leaving    map[model.HostID]model.Incarnation
}

// New returns a state without evidence. Nothing is eligible before the first catalogue.
func New() *State {
	return &State{targets: map[model.TargetID]target{}, leaving: map[model.HostID]model.Incarnation{}}
}

// SetCatalogue applies a catalogue, unless a newer one was applied, and returns the targets that came back into service
// by it: those of a data centre that is no longer out, and those added again. They start cold.
func (s *State) SetCatalogue(catalogue *model.Catalogue) (returned []model.TargetID) {
	if s.generation != 0 && catalogue.Generation <= s.generation {
		return nil
	}
	first := s.generation == 0
	before := s.inService()
	s.generation = catalogue.Generation
	s.centresOut = map[model.DataCentreID]bool{}
	for _, out := range catalogue.DataCentresOut {
		s.centresOut[out.ID] = true
	}
	s.hostsOut = map[model.HostID]bool{}
	for _, out := range catalogue.HostsOut {
		s.hostsOut[out.ID] = true
	}
	s.centreOf = map[model.TargetID]model.DataCentreID{}
	for _, t := range catalogue.Targets {
		s.centreOf[t.ID] = t.DataCentre
	}
	for _, t := range catalogue.Targets {
		if !first && !before[t.ID] && !s.centresOut[t.DataCentre] {
			returned = append(returned, t.ID)
		}
	}
	return returned
}

func (s *State) inService() map[model.TargetID]bool {
	result := map[model.TargetID]bool{}
	for id, centre := range s.centreOf {
		result[id] = !s.centresOut[centre]
	}
	return result
}

// Apply takes a statement of another host. changed tells whether it was new; returned, whether the target stopped
// draining by it, which is a cold start.
func (s *State) Apply(now time.Duration, statement Statement) (changed, returned bool) {
	known := s.targets[statement.Target]
	if !statement.newer(known.Statement) {
		return false, false
	}
	s.targets[statement.Target] = target{statement, now}
	return true, known.Draining && !statement.Draining
}

// Observe turns a report into the next statement. ok is false when the report says nothing new or may be older than what
// is known. The caller applies the statement and spreads it.
func (s *State) Observe(report Report) (statement Statement, ok bool) {
	known := s.targets[report.Target]
	statement = Statement{report.Target, report.Incarnation, 1, report.Draining}
	switch {
	case report.Incarnation < known.Incarnation:
		return Statement{}, false
	case report.Incarnation > known.Incarnation:
		return statement, true
	case report.Draining == known.Draining || report.AskedAt < known.knownSince:
		return Statement{}, false
	}
	statement.Sequence = known.Sequence + 1
	return statement, true
}

// SetLeaving records that a run of a host is leaving. A later run of the host is in service again.
func (s *State) SetLeaving(host model.HostID, incarnation model.Incarnation) {
	s.leaving[host] = max(s.leaving[host], incarnation)
}

// Target tells whether a target may get new work. Its phase is not considered.
func (s *State) Target(id model.TargetID) bool {
	centre, known := s.centreOf[id]
	return known && !s.centresOut[centre] && !s.targets[id].Draining
}

// Host tells whether a run of a host may get new work from other hosts.
func (s *State) Host(id model.HostID, incarnation model.Incarnation, centre model.DataCentreID) bool {
	return !s.hostsOut[id] && !s.centresOut[centre] && s.leaving[id] < max(incarnation, 1)
}

// Incarnation returns the newest known incarnation of a target; 0 if none is known.
func (s *State) Incarnation(id model.TargetID) model.Incarnation { return s.targets[id].Incarnation }

// Statements returns the newest statement about each target, for a host that has just started.
func (s *State) Statements() []Statement {
	result := make([]Statement, 0, len(s.targets))
	for _, t := range s.targets {
		result = append(result, t.Statement)
	}
	return result
}
