// Package configstate determines which configuration a host has in force: how accepted changes are encoded and
// applied, how fresh the configuration is, and whether the host may have missed newer changes. It does no I/O and
// reads no clock.
package configstate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/strictjson"
)

// EditError reports the edit of a change that can't be applied.
type EditError struct {
	Index  int
	Edit   change.Edit
	Reason string
}

// Error implements error.
func (e *EditError) Error() string {
	return fmt.Sprintf("edit %d (%s %s %s): %s", e.Index, e.Edit.Op, e.Edit.Kind, e.Edit.ID, e.Reason)
}

// ValidateEdits returns an *EditError if the value of an edit has unknown fields or fields of the wrong type. It is
// used before acceptance only. A host of an older build ignores fields that it does not know when it applies an
// accepted change, so that it stays up to date.
func ValidateEdits(c change.Change) error {
	for i, edit := range c.Edits {
		if edit.Op != change.Put {
			continue
		}
		if faults := validateValue(edit); len(faults) > 0 {
			return &EditError{Index: i, Edit: edit, Reason: faults.Error()}
		}
	}
	return nil
}

func validateValue(e change.Edit) strictjson.Faults {
	switch e.Kind {
	case change.Caller:
		return strictjson.Decode(e.Value, &model.Caller{})
	case change.Search:
		return strictjson.Decode(e.Value, &model.Search{})
	case change.Index:
		return strictjson.Decode(e.Value, &model.Index{})
	case change.Service:
		return strictjson.Decode(e.Value, &model.Service{})
	case change.Target:
		return strictjson.Decode(e.Value, &model.Target{})
	case change.DataCentre:
		return strictjson.Decode(e.Value, &model.DataCentreInfo{})
	case change.HostOut:
		return strictjson.Decode(e.Value, &model.HostOut{})
	case change.DataCentreOut:
		return strictjson.Decode(e.Value, &model.DataCentreOut{})
	}
	return nil // applyEdit rejects unknown kinds
}

// applyChange returns the catalogue that results from a change, without modifying the given one. Lists stay sorted by
// id, so that every host holds an identical catalogue regardless of how it received the changes.
func applyChange(document *model.Catalogue, generation model.Generation, c change.Change) (*model.Catalogue, error) {
	next := model.Catalogue{}
	if document != nil {
		next = *document
	}
	next.Generation = generation
	for i, edit := range c.Edits {
		if reason := applyEdit(&next, edit); reason != "" {
			return nil, &EditError{Index: i, Edit: edit, Reason: reason}
		}
	}
	return &next, nil
}

// applyEdit applies an edit in place. It returns the reason why the edit can't be applied, or an empty string.
func applyEdit(c *model.Catalogue, e change.Edit) string {
	switch e.Kind {
	case change.Caller:
		return applyToList(&c.Callers, e, callerID, nil)
	case change.Search:
		return applyToList(&c.Searches, e, searchID, nil)
	case change.Index:
		return applyToList(&c.Indexes, e, indexID, nil)
	case change.Service:
		return applyToList(&c.Services, e, serviceID, nil)
	case change.Target:
		return applyToList(&c.Targets, e, targetID, nil)
	case change.DataCentre:
		return applyToList(&c.DataCentres, e, centreID, nil)
	case change.HostOut:
		return applyToList(&c.HostsOut, e, hostOutID, func(x *model.HostOut) { x.Since = c.Generation })
	case change.DataCentreOut:
		return applyToList(&c.DataCentresOut, e, centreOutID, func(x *model.DataCentreOut) { x.Since = c.Generation })
	default:
		return "unknown kind of catalogue entry"
	}
}

// applyToList applies an edit to the list of its kind. fillIn sets the fields that are not given by the operator.
func applyToList[E any, ID ~string](list *[]E, e change.Edit, id func(E) ID, fillIn func(*E)) string {
	switch e.Op {
	case change.Delete:
		rest, found := remove(*list, ID(e.ID), id)
		if !found {
			return "there is no such entry"
		}
		*list = rest
		return ""
	case change.Put:
		var entry E
		if err := json.Unmarshal(e.Value, &entry); err != nil {
			return "the value can't be decoded as an entry of this kind: " + err.Error()
		}
		if string(id(entry)) != e.ID {
			return fmt.Sprintf("the id %q in the value does not match the id of the edit", id(entry))
		}
		if fillIn != nil {
			fillIn(&entry)
		}
		*list = upsert(*list, entry, id)
		return ""
	default:
		return fmt.Sprintf("unknown operation %q", e.Op)
	}
}

func callerID(x model.Caller) model.CallerID               { return x.ID }
func searchID(x model.Search) model.SearchID               { return x.ID }
func indexID(x model.Index) model.IndexID                  { return x.ID }
func serviceID(x model.Service) model.ServiceID            { return x.ID }
func targetID(x model.Target) model.TargetID               { return x.ID }
func centreID(x model.DataCentreInfo) model.DataCentreID   { return x.ID }
func hostOutID(x model.HostOut) model.HostID               { return x.ID }
func centreOutID(x model.DataCentreOut) model.DataCentreID { return x.ID }

// upsert returns a copy of the sorted list with the entry inserted or replaced.
func upsert[E any, ID cmp.Ordered](list []E, entry E, id func(E) ID) []E {
	at, found := slices.BinarySearchFunc(list, id(entry), func(e E, want ID) int { return cmp.Compare(id(e), want) })
	result := make([]E, 0, len(list)+1)
	result = append(append(result, list[:at]...), entry)
	if found {
		at++
	}
	return append(result, list[at:]...)
}

// remove returns a copy of the sorted list without the entry, and whether the entry was found.
func remove[E any, ID cmp.Ordered](list []E, want ID, id func(E) ID) ([]E, bool) {
	at, found := slices.BinarySearchFunc(list, want, func(e E, want ID) int { return cmp.Compare(id(e), want) })
	if !found {
		return list, false
	}
	return append(slices.Clone(list[:at]), list[at+1:]...), true
}

// SortedByID returns a copy of the catalogue with each list sorted by id.
func SortedByID(c model.Catalogue) *model.Catalogue {
	c.Callers = sortByID(c.Callers, callerID)
	c.Searches = sortByID(c.Searches, searchID)
	c.Indexes = sortByID(c.Indexes, indexID)
	c.Services = sortByID(c.Services, serviceID)
	c.Targets = sortByID(c.Targets, targetID)
	c.HostsOut = sortByID(c.HostsOut, hostOutID)
	c.DataCentresOut = sortByID(c.DataCentresOut, centreOutID)
	c.DataCentres = sortByID(c.DataCentres, centreID)
	return &c
}

func sortByID[E any, ID cmp.Ordered](list []E, id func(E) ID) []E {
	ordered := slices.Clone(list)
	slices.SortStableFunc(ordered, func(a, b E) int { return cmp.Compare(id(a), id(b)) })
	return ordered
}
