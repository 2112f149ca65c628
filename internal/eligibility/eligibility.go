// Package eligibility decides which targets and hosts may receive new work. Evidence from each source is ordered:
// catalogues by generation, a target's own state by incarnation and sequence, and the departure of a host by
// incarnation. Older evidence never overrides newer evidence. The package is a pure state machine and is not safe for
// concurrent use.
package eligibility

import (
	"cmp"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Statement is versioned evidence about a target's own state.
type Statement struct {
	Target      model.TargetID    `msgpack:"target" json:"target"`
	Incarnation model.Incarnation `msgpack:"incarnation" json:"incarnation"`
	// Sequence orders the statements about the same incarnation.
	Sequence uint64 `msgpack:"sequence" json:"sequence"`
	Draining bool   `msgpack:"draining" json:"draining"`
}

// supersedes reports whether s replaces old. Between two statements with the same incarnation and sequence, the one
// that says that the target is draining wins.
func (s Statement) supersedes(old Statement) bool {
	order := cmp.Or(cmp.Compare(s.Incarnation, old.Incarnation), cmp.Compare(s.Sequence, old.Sequence))
	return order > 0 || order == 0 && s.Draining && !old.Draining
}

// Report is what a target told this host about itself, in a status or in a refusal.
type Report struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	Draining    bool
	// AskedAt is the time at which this host sent the request. The report is newer than everything that this host knew
	// at that time, but may be older than what it learned later.
	AskedAt time.Duration
}

type targetState struct {
	Statement
	learnedAt time.Duration
}

// State holds the newest evidence from each source.
type State struct {
	generation     model.Generation
	dataCentresOut map[model.DataCentreID]bool
	hostsOut       map[model.HostID]bool
	dataCentreOf   map[model.TargetID]model.DataCentreID
	targets        map[model.TargetID]targetState
	leavingHosts   map[model.HostID]model.Incarnation
}

// New returns a state without evidence. No target is eligible until a catalogue is set.
func New() *State {
	return &State{targets: map[model.TargetID]targetState{}, leavingHosts: map[model.HostID]model.Incarnation{}}
}

// SetCatalogue applies a catalogue if it is newer than the present one. It returns the targets that this puts back into
// service, which start cold: those of data centres that are no longer out, and those that were added. The first
// catalogue returns none.
func (s *State) SetCatalogue(catalogue *model.Catalogue) (returned []model.TargetID) {
	if s.generation != 0 && catalogue.Generation <= s.generation {
		return nil
	}
	first := s.generation == 0
	before := s.targetsInService()
	s.generation = catalogue.Generation
	s.dataCentresOut = map[model.DataCentreID]bool{}
	for _, out := range catalogue.DataCentresOut {
		s.dataCentresOut[out.ID] = true
	}
	s.hostsOut = map[model.HostID]bool{}
	for _, out := range catalogue.HostsOut {
		s.hostsOut[out.ID] = true
	}
	s.dataCentreOf = map[model.TargetID]model.DataCentreID{}
	for _, t := range catalogue.Targets {
		s.dataCentreOf[t.ID] = t.DataCentre
	}
	for _, t := range catalogue.Targets {
		if !first && !before[t.ID] && !s.dataCentresOut[t.DataCentre] {
			returned = append(returned, t.ID)
		}
	}
	return returned
}

func (s *State) targetsInService() map[model.TargetID]bool {
	result := map[model.TargetID]bool{}
	for id, dataCentre := range s.dataCentreOf {
		result[id] = !s.dataCentresOut[dataCentre]
	}
	return result
}

// Apply applies a statement, which comes from another host or from Observe. changed reports whether the statement was
// new; returned, whether it ended the draining of the target, which then starts cold.
func (s *State) Apply(now time.Duration, statement Statement) (changed, returned bool) {
	current := s.targets[statement.Target]
	if !statement.supersedes(current.Statement) {
		return false, false
	}
	s.targets[statement.Target] = targetState{statement, now}
	return true, current.Draining && !statement.Draining
}

// Observe converts a report into the next statement. ok is false if the report contains nothing new or may be older
// than the known state. The caller must apply the statement and broadcast it.
func (s *State) Observe(report Report) (statement Statement, ok bool) {
	current := s.targets[report.Target]
	statement = Statement{report.Target, report.Incarnation, 1, report.Draining}
	switch {
	case report.Incarnation < current.Incarnation:
		return Statement{}, false
	case report.Incarnation > current.Incarnation:
		return statement, true
	case report.Draining == current.Draining || report.AskedAt < current.learnedAt:
		return Statement{}, false
	}
	statement.Sequence = current.Sequence + 1
	return statement, true
}

// SetLeaving records that the given incarnation of a host is leaving. Later incarnations of the host are in service.
func (s *State) SetLeaving(host model.HostID, incarnation model.Incarnation) {
	s.leavingHosts[host] = max(s.leavingHosts[host], incarnation)
}

// TargetEligible reports whether a target may receive new work, regardless of its phase.
func (s *State) TargetEligible(id model.TargetID) bool {
	dataCentre, known := s.dataCentreOf[id]
	return known && !s.dataCentresOut[dataCentre] && !s.targets[id].Draining
}

// HostEligible reports whether an incarnation of a host may receive new work from other hosts.
func (s *State) HostEligible(id model.HostID, incarnation model.Incarnation, dataCentre model.DataCentreID) bool {
	return !s.hostsOut[id] && !s.dataCentresOut[dataCentre] && s.leavingHosts[id] < max(incarnation, 1)
}

// Incarnation returns the newest known incarnation of a target, or 0.
func (s *State) Incarnation(id model.TargetID) model.Incarnation { return s.targets[id].Incarnation }

// Statements returns the newest statement about each target, to be sent to a host that has just started.
func (s *State) Statements() []Statement {
	result := make([]Statement, 0, len(s.targets))
	for _, t := range s.targets {
		result = append(result, t.Statement)
	}
	return result
}
