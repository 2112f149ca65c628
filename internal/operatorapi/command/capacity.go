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

// Shortage is a set of equal targets whose remaining slots can't carry the present load.
type Shortage struct {
	// Name is index/group or the service.
	Name string
	// Slots is the number of slots that remain.
	Slots int
	// InFlight is the number of requests that the targets report as running now, those of leaving targets included.
	InFlight int
}

// String returns the figures.
func (s Shortage) String() string {
	return fmt.Sprintf("%s: %d slots remain for %d requests in flight", s.Name, s.Slots, s.InFlight)
}

// Shortages returns the groups and services that could not carry the present load if the data centres were out. A group
// without any remaining slot is short even when it is idle.
func Shortages(c *model.Catalogue, out []model.DataCentreID, statuses Statuses) []Shortage {
	s := survey{targets: map[model.TargetID]model.Target{}, out: out, statuses: statuses}
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

type survey struct {
	targets  map[model.TargetID]model.Target
	out      []model.DataCentreID
	statuses Statuses
	short    []Shortage
}

func (s *survey) check(name string, ids []model.TargetID) {
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

// checkCapacity refuses a change that takes a data centre out whose load the others can't carry.
func (h *Handler) checkCapacity(c change.Change) error {
	catalogue := h.cfg.Catalogues.Catalogue()
	if catalogue == nil {
		return fault.New(fault.NotReady, fault.NotRun, "use another host", "this host has no configuration yet")
	}
	present, wanted, err := dataCentresOut(catalogue, c)
	if err != nil || len(wanted) == len(present) {
		return err
	}
	before := Shortages(catalogue, present, h.cfg.Statuses)
	var lines []string
	for _, shortage := range Shortages(catalogue, wanted, h.cfg.Statuses) {
		worse := func(s Shortage) bool { return s.Name == shortage.Name && s.Slots <= shortage.Slots }
		if !slices.ContainsFunc(before, worse) {
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
		"the remaining targets can't carry the present load: %s", strings.Join(lines, "; "))
}

// dataCentresOut returns the data centres that are out, and those that are out after the change as well.
func dataCentresOut(c *model.Catalogue, wanted change.Change) (present, after []model.DataCentreID, err error) {
	for _, out := range c.DataCentresOut {
		present = append(present, out.ID)
	}
	after = slices.Clone(present)
	for _, edit := range wanted.Edits {
		if edit.Kind != change.DataCentreOut || edit.Op != change.Put || slices.Contains(after, model.DataCentreID(edit.ID)) {
			continue
		}
		var entry model.DataCentreOut
		if err := json.Unmarshal(edit.Value, &entry); err != nil {
			return nil, nil, badChange("correct the entry", "data centre %s: %v", edit.ID, err)
		}
		after = append(after, model.DataCentreID(edit.ID))
	}
	return present, after, nil
}
