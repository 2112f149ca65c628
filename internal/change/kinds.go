package change

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Kind is the kind of a catalogue entry. Each kind has its own list in the catalogue.
type Kind string

// The kinds of entries.
const (
	Caller        Kind = "caller"
	Search        Kind = "search"
	Index         Kind = "index"
	Service       Kind = "service"
	Target        Kind = "target"
	DataCentre    Kind = "data_centre"
	HostOut       Kind = "host_out"
	DataCentreOut Kind = "data_centre_out"
)

// Kinds lists all kinds in catalogue order.
var Kinds = []Kind{Caller, Search, Index, Service, Target, DataCentre, HostOut, DataCentreOut}

// ParseKind returns the kind with the given name. Plural names are accepted.
func ParseKind(name string) (Kind, error) {
	wanted := strings.TrimSuffix(strings.ReplaceAll(name, "-", "_"), "s")
	for _, kind := range Kinds {
		if string(kind) == wanted || wanted == "indexe" && kind == Index || wanted == "searche" && kind == Search {
			return kind, nil
		}
	}
	return "", fmt.Errorf("there is no kind %q: use one of %s", name, kindNames())
}

func kindNames() string {
	names := make([]string, len(Kinds))
	for i, kind := range Kinds {
		names[i] = string(kind)
	}
	return strings.Join(names, ", ")
}

// Entry is a catalogue entry.
type Entry struct {
	Kind  Kind            `json:"kind"`
	ID    string          `json:"id"`
	Value json.RawMessage `json:"value"`
}

// Entries returns the catalogue's entries of the given kind, ordered by ID.
func Entries(c *model.Catalogue, kind Kind) []Entry {
	entries := unsortedEntries(c, kind)
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return entries
}

func unsortedEntries(c *model.Catalogue, kind Kind) []Entry {
	switch kind {
	case Caller:
		return marshalEntries(kind, c.Callers, func(v model.Caller) string { return string(v.ID) })
	case Search:
		return marshalEntries(kind, c.Searches, func(v model.Search) string { return string(v.ID) })
	case Index:
		return marshalEntries(kind, c.Indexes, func(v model.Index) string { return string(v.ID) })
	case Service:
		return marshalEntries(kind, c.Services, func(v model.Service) string { return string(v.ID) })
	case Target:
		return marshalEntries(kind, c.Targets, func(v model.Target) string { return string(v.ID) })
	case DataCentre:
		return marshalEntries(kind, c.DataCentres, func(v model.DataCentreInfo) string { return string(v.ID) })
	case HostOut:
		return marshalEntries(kind, c.HostsOut, func(v model.HostOut) string { return string(v.ID) })
	case DataCentreOut:
		return marshalEntries(kind, c.DataCentresOut, func(v model.DataCentreOut) string { return string(v.ID) })
	}
	return nil
}

func marshalEntries[T any](kind Kind, values []T, id func(T) string) []Entry {
	entries := make([]Entry, 0, len(values))
	for _, value := range values {
		content, err := json.Marshal(value)
		if err != nil {
			panic(err) // entries contain only types that can be marshaled to JSON
		}
		entries = append(entries, Entry{Kind: kind, ID: id(value), Value: content})
	}
	return entries
}

// Diff returns the edits that turn from into to. Generations are ignored. All puts precede all deletes, and each group
// is in catalogue order.
func Diff(from, to *model.Catalogue) []Edit {
	var puts, deletes []Edit
	for _, kind := range Kinds {
		old := map[string]json.RawMessage{}
		for _, entry := range Entries(from, kind) {
			old[entry.ID] = entry.Value
		}
		for _, entry := range Entries(to, kind) {
			if !bytes.Equal(old[entry.ID], entry.Value) {
				puts = append(puts, Edit{Op: Put, Kind: kind, ID: entry.ID, Value: entry.Value})
			}
			delete(old, entry.ID)
		}
		for _, entry := range Entries(from, kind) {
			if _, remains := old[entry.ID]; remains {
				deletes = append(deletes, Edit{Op: Delete, Kind: kind, ID: entry.ID})
			}
		}
	}
	return append(puts, deletes...)
}
