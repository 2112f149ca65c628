// Package configstate decides what configuration a host has in force: how accepted changes are encoded, in which order
// they are applied, how fresh they are, and whether the host may be cut off from newer ones. It is pure.
package configstate

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Action is what an edit does.
type Action string

// The actions of an edit.
const (
	Put    Action = "put"
	Delete Action = "delete"
	// Out takes a host or a data centre out of service, In brings it back.
	Out Action = "out"
	In  Action = "in"
)

// EntryKind names the list of the catalogue that an edit is about.
type EntryKind string

// The kinds of entries.
const (
	KindCaller     EntryKind = "caller"
	KindSearch     EntryKind = "search"
	KindIndex      EntryKind = "index"
	KindService    EntryKind = "service"
	KindTarget     EntryKind = "target"
	KindDataCentre EntryKind = "data_centre"
	KindHost       EntryKind = "host"
)

// Edit is one step of a change. For Put, exactly the field of its kind is set.
type Edit struct {
	Action Action    `json:"action"`
	Kind   EntryKind `json:"kind"`
	// ID names the entry of a Delete, Out or In.
	ID string `json:"id,omitempty"`
	// Reason is the operator's reason of an Out.
	Reason     string                `json:"reason,omitempty"`
	Caller     *model.Caller         `json:"caller,omitempty"`
	Search     *model.Search         `json:"search,omitempty"`
	Index      *model.Index          `json:"index,omitempty"`
	Service    *model.Service        `json:"service,omitempty"`
	Target     *model.Target         `json:"target,omitempty"`
	DataCentre *model.DataCentreInfo `json:"data_centre,omitempty"`
}

// Change is what an operator asks for in one step: all of its edits are accepted, or none.
type Change struct {
	// ID is unique over all changes. A change whose answer was lost is found again by it.
	ID string `json:"id"`
	// Based is the generation that the operator saw.
	Based model.Generation `json:"based"`
	// Author and Reason are kept for the history.
	Author string `json:"author,omitempty"`
	Reason string `json:"reason,omitempty"`
	Edits  []Edit `json:"edits"`
}

// PutCaller returns an edit that adds or replaces a caller.
func PutCaller(caller model.Caller) Edit {
	return Edit{Action: Put, Kind: KindCaller, Caller: &caller}
}

// PutSearch returns an edit that adds or replaces a search.
func PutSearch(search model.Search) Edit {
	return Edit{Action: Put, Kind: KindSearch, Search: &search}
}

// PutIndex returns an edit that adds or replaces an index.
func PutIndex(index model.Index) Edit { return Edit{Action: Put, Kind: KindIndex, Index: &index} }

// PutService returns an edit that adds or replaces a service.
func PutService(service model.Service) Edit {
	return Edit{Action: Put, Kind: KindService, Service: &service}
}

// PutTarget returns an edit that adds or replaces a target.
func PutTarget(target model.Target) Edit {
	return Edit{Action: Put, Kind: KindTarget, Target: &target}
}

// PutDataCentre returns an edit that adds or replaces a data centre.
func PutDataCentre(centre model.DataCentreInfo) Edit {
	return Edit{Action: Put, Kind: KindDataCentre, DataCentre: &centre}
}

// DeleteEntry returns an edit that removes an entry.
func DeleteEntry(kind EntryKind, id string) Edit { return Edit{Action: Delete, Kind: kind, ID: id} }

// HostOut returns an edit that takes a host out of service.
func HostOut(id model.HostID, reason string) Edit {
	return Edit{Action: Out, Kind: KindHost, ID: string(id), Reason: reason}
}

// HostIn returns an edit that brings a host back.
func HostIn(id model.HostID) Edit { return Edit{Action: In, Kind: KindHost, ID: string(id)} }

// DataCentreOut returns an edit that takes a data centre out of service.
func DataCentreOut(id model.DataCentreID, reason string) Edit {
	return Edit{Action: Out, Kind: KindDataCentre, ID: string(id), Reason: reason}
}

// DataCentreIn returns an edit that brings a data centre back.
func DataCentreIn(id model.DataCentreID) Edit {
	return Edit{Action: In, Kind: KindDataCentre, ID: string(id)}
}

// EditError tells which edit of a change can't be applied.
type EditError struct {
	Index  int
	Edit   Edit
	Reason string
}

// Error returns the message.
func (e *EditError) Error() string {
	return fmt.Sprintf("edit %d (%s %s %s): %s", e.Index, e.Edit.Action, e.Edit.Kind, e.Edit.ID, e.Reason)
}

// applyEdits returns the catalogue of the generation that the edits lead to. The given catalogue is not changed.
// The lists are ordered by id, so that every host holds the same catalogue whatever way it came by it.
func applyEdits(catalogue *model.Catalogue, generation model.Generation, edits []Edit) (*model.Catalogue, error) {
	next := *catalogue
	next.Generation = generation
	for i, edit := range edits {
		if reason := applyEdit(&next, edit); reason != "" {
			return nil, &EditError{Index: i, Edit: edit, Reason: reason}
		}
	}
	return &next, nil
}

func applyEdit(c *model.Catalogue, e Edit) string {
	switch e.Action {
	case Put:
		return applyPut(c, e)
	case Delete:
		return applyDelete(c, e)
	case Out:
		return applyOut(c, e)
	case In:
		return applyIn(c, e)
	default:
		return "the action is none of put, delete, out and in"
	}
}

const noValue = "the edit has no entry of its kind"

func applyPut(c *model.Catalogue, e Edit) string {
	switch {
	case e.Kind == KindCaller && e.Caller != nil:
		c.Callers = put(c.Callers, *e.Caller, callerID)
	case e.Kind == KindSearch && e.Search != nil:
		c.Searches = put(c.Searches, *e.Search, searchID)
	case e.Kind == KindIndex && e.Index != nil:
		c.Indexes = put(c.Indexes, *e.Index, indexID)
	case e.Kind == KindService && e.Service != nil:
		c.Services = put(c.Services, *e.Service, serviceID)
	case e.Kind == KindTarget && e.Target != nil:
		c.Targets = put(c.Targets, *e.Target, targetID)
	case e.Kind == KindDataCentre && e.DataCentre != nil:
		c.DataCentres = put(c.DataCentres, *e.DataCentre, centreID)
	default:
		return noValue
	}
	return ""
}

func applyDelete(c *model.Catalogue, e Edit) string {
	found := false
	switch e.Kind {
	case KindCaller:
		c.Callers, found = remove(c.Callers, model.CallerID(e.ID), callerID)
	case KindSearch:
		c.Searches, found = remove(c.Searches, model.SearchID(e.ID), searchID)
	case KindIndex:
		c.Indexes, found = remove(c.Indexes, model.IndexID(e.ID), indexID)
	case KindService:
		c.Services, found = remove(c.Services, model.ServiceID(e.ID), serviceID)
	case KindTarget:
		c.Targets, found = remove(c.Targets, model.TargetID(e.ID), targetID)
	case KindDataCentre:
		c.DataCentres, found = remove(c.DataCentres, model.DataCentreID(e.ID), centreID)
	default:
		return "entries of this kind can't be deleted"
	}
	if !found {
		return "there is no such entry"
	}
	return ""
}

func applyOut(c *model.Catalogue, e Edit) string {
	switch e.Kind {
	case KindHost:
		out := model.HostOut{ID: model.HostID(e.ID), Reason: e.Reason, Since: c.Generation}
		c.HostsOut = put(c.HostsOut, out, hostOutID)
	case KindDataCentre:
		out := model.DataCentreOut{ID: model.DataCentreID(e.ID), Reason: e.Reason, Since: c.Generation}
		c.DataCentresOut = put(c.DataCentresOut, out, centreOutID)
	default:
		return "only hosts and data centres can be taken out"
	}
	return ""
}

func applyIn(c *model.Catalogue, e Edit) string {
	found := false
	switch e.Kind {
	case KindHost:
		c.HostsOut, found = remove(c.HostsOut, model.HostID(e.ID), hostOutID)
	case KindDataCentre:
		c.DataCentresOut, found = remove(c.DataCentresOut, model.DataCentreID(e.ID), centreOutID)
	default:
		return "only hosts and data centres can be brought back"
	}
	if !found {
		return "it is not out of service"
	}
	return ""
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
