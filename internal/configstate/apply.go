// Package configstate decides what configuration a host has in force: how accepted changes are encoded, in which order
// they are applied, how fresh they are, and whether the host may be cut off from newer ones. It is pure.
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

// EditError tells which edit of a change can't be applied.
type EditError struct {
	Index  int
	Edit   change.Edit
	Reason string
}

// Error returns the message.
func (e *EditError) Error() string {
	return fmt.Sprintf("edit %d (%s %s %s): %s", e.Index, e.Edit.Op, e.Edit.Kind, e.Edit.ID, e.Reason)
}

// CheckEdits returns an *EditError if the value of an edit has unknown fields or fields of a wrong type. It is asked before
// acceptance only: a host of an older build ignores the fields that it does not know, and stays up to date.
func CheckEdits(c change.Change) error {
	for i, edit := range c.Edits {
		if edit.Op != change.Put {
			continue
		}
		if faults := checkValue(edit); len(faults) > 0 {
			return &EditError{Index: i, Edit: edit, Reason: faults.Error()}
		}
	}
	return nil
}

func checkValue(e change.Edit) strictjson.Faults {
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
	return nil // applying the edit reports the kind
}

// applyChange returns the catalogue that a change leads to. The given catalogue is not changed. The lists stay ordered by
// id, so that every host holds the same catalogue whatever way it came by it.
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

// applyEdit returns the reason why the edit can't be applied, or nothing.
func applyEdit(c *model.Catalogue, e change.Edit) string {
	switch e.Kind {
	case change.Caller:
		return apply(&c.Callers, e, callerID, nil)
	case change.Search:
		return apply(&c.Searches, e, searchID, nil)
	case change.Index:
		return apply(&c.Indexes, e, indexID, nil)
	case change.Service:
		return apply(&c.Services, e, serviceID, nil)
	case change.Target:
		return apply(&c.Targets, e, targetID, nil)
	case change.DataCentre:
		return apply(&c.DataCentres, e, centreID, nil)
	case change.HostOut:
		return apply(&c.HostsOut, e, hostOutID, func(x *model.HostOut) { x.Since = c.Generation })
	case change.DataCentreOut:
		return apply(&c.DataCentresOut, e, centreOutID, func(x *model.DataCentreOut) { x.Since = c.Generation })
	default:
		return "the catalogue has no entries of this kind"
	}
}

// apply carries out an edit on its list. complete fills in what the operator does not give.
func apply[E any, ID ~string](list *[]E, e change.Edit, id func(E) ID, complete func(*E)) string {
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
			return "the value is not an entry of this kind: " + err.Error()
		}
		if string(id(entry)) != e.ID {
			return fmt.Sprintf("the value has the id %q", id(entry))
		}
		if complete != nil {
			complete(&entry)
		}
		*list = put(*list, entry, id)
		return ""
	default:
		return "the operation is neither put nor delete"
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

// put returns a copy of the list, ordered by id, with the entry added or replaced.
func put[E any, ID cmp.Ordered](list []E, entry E, id func(E) ID) []E {
	at, found := slices.BinarySearchFunc(list, id(entry), func(e E, want ID) int { return cmp.Compare(id(e), want) })
	result := make([]E, 0, len(list)+1)
	result = append(append(result, list[:at]...), entry)
	if found {
		at++
	}
	return append(result, list[at:]...)
}

// remove returns a copy of the list without the entry.
func remove[E any, ID cmp.Ordered](list []E, want ID, id func(E) ID) ([]E, bool) {
	at, found := slices.BinarySearchFunc(list, want, func(e E, want ID) int { return cmp.Compare(id(e), want) })
	if !found {
		return list, false
	}
	return append(slices.Clone(list[:at]), list[at+1:]...), true
}

// Ordered returns the catalogue with each list ordered by id.
func Ordered(c model.Catalogue) *model.Catalogue {
	c.Callers = order(c.Callers, callerID)
	c.Searches = order(c.Searches, searchID)
	c.Indexes = order(c.Indexes, indexID)
	c.Services = order(c.Services, serviceID)
	c.Targets = order(c.Targets, targetID)
	c.HostsOut = order(c.HostsOut, hostOutID)
	c.DataCentresOut = order(c.DataCentresOut, centreOutID)
	c.DataCentres = order(c.DataCentres, centreID)
	return &c
}

func order[E any, ID cmp.Ordered](list []E, id func(E) ID) []E {
	ordered := slices.Clone(list)
	slices.SortStableFunc(ordered, func(a, b E) int { return cmp.Compare(id(a), id(b)) })
	return ordered
}
