package command

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Shortage describes a group or service whose remaining slots are insufficient for the current load.
type Shortage struct {
	// Name is INDEX/GROUP for a group, or the ID of a service.
	Name string
	// Slots is the number of slots that remain.
	Slots int
	// InFlight is the number of requests that the targets report as in progress, including targets that are taken out.
	InFlight int
}

// String returns a one-line description of the shortage.
func (s Shortage) String() string {
	return fmt.Sprintf("%s: %d slots remain for %d requests in flight", s.Name, s.Slots, s.InFlight)
}

// Shortages returns the groups and services that could not handle the current load if the given data centres were out. A
// group without remaining slots is a shortage even if it is idle.
func Shortages(c *model.Catalogue, out []model.DataCentreID, statuses Statuses) []Shortage {
	s := capacitySurvey{targets: map[model.TargetID]model.Target{}, out: out, statuses: statuses}
	for _, target := range c.Targets {
		s.targets[target.ID] = target
	}
	for _, index := range c.Indexes {
		for _, group := range index.Groups {
			s.check(string(index.ID)+"/"+group.ID, group.Targets)
		}
	}
	for _, service := range c.Services {
		s.check(string(service.ID), service.Targets)
	}
	return s.short
}

type capacitySurvey struct {
	targets  map[model.TargetID]model.Target
	out      []model.DataCentreID
	statuses Statuses
	short    []Shortage
}

func (s *capacitySurvey) check(name string, ids []model.TargetID) {
	result := Shortage{Name: name}
	for _, id := range ids {
		target := s.targets[id]
		status, known := s.statuses.Get(id)
		result.InFlight += status.InFlight
		if known && !slices.Contains(s.out, target.DataCentre) {
			result.Slots += usableSlots(target, status)
		}
	}
	if result.Slots == 0 || result.InFlight > result.Slots {
		s.short = append(s.short, result)
	}
}

func usableSlots(target model.Target, status model.TargetStatus) int {
	switch status.State {
	case model.TargetReady:
		return target.Slots
	case model.TargetCold:
		return min(target.ColdSlots, target.Slots)
	default:
		return 0
	}
}

const maxShownShortages = 10

// checkCapacity rejects a change that takes out a data centre if the remaining ones cannot handle its load. Shortages
// that exist already and that the change does not worsen are ignored.
func (h *Handler) checkCapacity(c change.Change) error {
	catalogue := h.cfg.Catalogues.Catalogue()
	if catalogue == nil {
		return fault.New(fault.NotReady, fault.NotRun, "use another host", "this host has no configuration yet")
	}
	outBefore, outAfter, err := dataCentresOut(catalogue, c)
	if err != nil || len(outAfter) == len(outBefore) {
		return err
	}
	existing := Shortages(catalogue, outBefore, h.cfg.Statuses)
	var lines []string
	for _, shortage := range Shortages(catalogue, outAfter, h.cfg.Statuses) {
		notWorsened := func(s Shortage) bool { return s.Name == shortage.Name && s.Slots <= shortage.Slots }
		if !slices.ContainsFunc(existing, notWorsened) {
			lines = append(lines, shortage.String())
		}
	}
	if len(lines) == 0 {
		return nil
	}
	if hidden := len(lines) - maxShownShortages; hidden > 0 {
		lines = append(lines[:maxShownShortages], fmt.Sprintf("and %d more", hidden))
	}
	return fault.New(fault.InsufficientCapacity, fault.NotRun, "wait for less load, bring targets back, or repeat with --force",
		"the remaining targets cannot handle the current load: %s", strings.Join(lines, "; "))
}

// dataCentresOut returns the data centres that are out before the change, and those with the additional ones that the
// change takes out.
func dataCentresOut(catalogue *model.Catalogue, c change.Change) (before, after []model.DataCentreID, err error) {
	for _, out := range catalogue.DataCentresOut {
		before = append(before, out.ID)
	}
	after = slices.Clone(before)
	for _, edit := range c.Edits {
		if edit.Kind != change.DataCentreOut || edit.Op != change.Put || slices.Contains(after, model.DataCentreID(edit.ID)) {
			continue
		}
		var entry model.DataCentreOut
		if err := json.Unmarshal(edit.Value, &entry); err != nil {
			return nil, nil, invalidChange("correct the entry", "data centre %s: %v", edit.ID, err)
		}
		after = append(after, model.DataCentreID(edit.ID))
	}
	return before, after, nil
}
