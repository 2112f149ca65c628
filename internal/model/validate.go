package model

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"
)

// Violation is one fault of a catalogue.
type Violation struct {
	// Path is the JSON path of the faulty value.
	Path  string `json:"path"`
	Value string `json:"value"`
	// Allowed states which values are allowed.
	Allowed string `json:"allowed"`
	// Remedy tells the operator what to do.
	Remedy string `json:"remedy"`
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s is %s: allowed is %s (%s)", v.Path, v.Value, v.Allowed, v.Remedy)
}

// Violations are all faults of a catalogue. They are an error when there is at least one.
type Violations []Violation

// Error returns one line for each violation.
func (v Violations) Error() string {
	lines := make([]string, len(v))
	for i, violation := range v {
		lines[i] = violation.String()
	}
	return strings.Join(lines, "\n")
}

const (
	maxTokens    = 2
	tokenHexSize = 64
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// Validate returns every violation of the catalogue, in the order of its fields.
func (c *Catalogue) Validate() Violations {
	v := &validator{
		searches: idSet(c.Searches, func(s Search) SearchID { return s.ID }),
		indexes:  idSet(c.Indexes, func(i Index) IndexID { return i.ID }),
		services: idSet(c.Services, func(s Service) ServiceID { return s.ID }),
		targets:  idSet(c.Targets, func(t Target) TargetID { return t.ID }),
		centres:  idSet(c.DataCentres, func(d DataCentreInfo) DataCentreID { return d.ID }),
		tokens:   map[string]bool{},
		address:  map[string]bool{},
	}
	eachUnique(v, "callers", c.Callers, func(x Caller) CallerID { return x.ID }, v.caller)
	eachUnique(v, "searches", c.Searches, func(x Search) SearchID { return x.ID }, v.search)
	eachUnique(v, "indexes", c.Indexes, func(x Index) IndexID { return x.ID }, v.index)
	eachUnique(v, "services", c.Services, func(x Service) ServiceID { return x.ID }, v.service)
	eachUnique(v, "targets", c.Targets, func(x Target) TargetID { return x.ID }, v.target)
	eachUnique(v, "hosts_out", c.HostsOut, func(x HostOut) HostID { return x.ID }, func(string, HostOut) {})
	eachUnique(v, "data_centres_out", c.DataCentresOut, func(x DataCentreOut) DataCentreID { return x.ID },
		func(path string, x DataCentreOut) { known(v, path+".id", x.ID, v.centres, "data_centres") })
	eachUnique(v, "data_centres", c.DataCentres, func(x DataCentreInfo) DataCentreID { return x.ID },
		func(path string, x DataCentreInfo) { v.id(path+".region", string(x.Region)) })
	return v.violations
}

type validator struct {
	violations Violations
	searches   map[SearchID]bool
	indexes    map[IndexID]bool
	services   map[ServiceID]bool
	targets    map[TargetID]bool
	centres    map[DataCentreID]bool
	tokens     map[string]bool // tokens seen so far
	address    map[string]bool // target addresses seen so far
}

func (v *validator) add(path string, value any, allowed, remedy string) {
	text := fmt.Sprintf("%v", value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	v.violations = append(v.violations, Violation{Path: path, Value: text, Allowed: allowed, Remedy: remedy})
}

func (v *validator) id(path, id string) {
	if !idPattern.MatchString(id) {
		v.add(path, id, "1 to 128 of the characters A-Z a-z 0-9 . _ -", "choose another name")
	}
}

func (v *validator) caller(path string, c Caller) {
	if strings.TrimSpace(c.Owner) == "" {
		v.add(path+".owner", c.Owner, "a name that is not empty", "name who answers for the caller")
	}
	switch c.Class {
	case ClassInteractive, ClassCounter, ClassBatch:
	default:
		v.add(path+".class", string(c.Class), "interactive, counter or batch", "choose one of the classes")
	}
	v.callerTokens(path+".token_sha256", c.TokenSHA256)
	positive(v, path+".rate", c.Rate, "set the requests per second")
	positive(v, path+".in_flight", c.InFlight, "set the requests in progress")
	positive(v, path+".cost", c.Cost, "set the target attempts per second")
	references(v, path+".searches", c.Searches, v.searches, "searches")
	references(v, path+".services", c.Services, v.services, "services")
}

func (v *validator) callerTokens(path string, tokens []string) {
	if len(tokens) == 0 || len(tokens) > maxTokens {
		v.add(path, len(tokens), "1 or 2 hashes", "list the hash of the token, and of its successor during a change")
	}
	for i, token := range tokens {
		path := fmt.Sprintf("%s[%d]", path, i)
		decoded, err := hex.DecodeString(token)
		if err != nil || 2*len(decoded) != tokenHexSize || strings.ToLower(token) != token {
			v.add(path, token, "a SHA-256 hash as 64 lower-case hexadecimal digits", "hash the token again")
			continue
		}
		if v.tokens[token] {
			v.add(path, token, "a hash that stands nowhere else", "give each caller its own token")
		}
		v.tokens[token] = true
	}
}

func (v *validator) search(path string, s Search) {
	notEmpty(v, path+".indexes", s.Indexes)
	references(v, path+".indexes", s.Indexes, v.indexes, "indexes")
}

func (v *validator) index(path string, x Index) {
	notEmpty(v, path+".groups", x.Groups)
	groups := map[string]bool{}
	used := map[TargetID]bool{}
	for i, group := range x.Groups {
		path := fmt.Sprintf("%s.groups[%d]", path, i)
		v.id(path+".id", group.ID)
		if groups[group.ID] {
			v.add(path+".id", group.ID, "an id that no other group of the index has", "rename the group")
		}
		groups[group.ID] = true
		notEmpty(v, path+".targets", group.Targets)
		for j, target := range group.Targets {
			path := fmt.Sprintf("%s.targets[%d]", path, j)
			known(v, path, target, v.targets, "targets")
			if used[target] {
				v.add(path, string(target), "a target that stands in the index once", "remove it here")
			}
			used[target] = true
		}
	}
}

func (v *validator) service(path string, s Service) {
	notEmpty(v, path+".targets", s.Targets)
	references(v, path+".targets", s.Targets, v.targets, "targets")
}

func (v *validator) target(path string, t Target) {
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil || address.Port() == 0 {
		v.add(path+".address", t.Address, "an IP address and a port, as in 10.0.0.1:8080", "correct the address")
	} else if v.address[t.Address] {
		v.add(path+".address", t.Address, "an address that no other target has", "correct the address")
	}
	v.address[t.Address] = true
	known(v, path+".data_centre", t.DataCentre, v.centres, "data_centres")
	positive(v, path+".slots", t.Slots, "set the requests that the target runs at once")
	positive(v, path+".connections", t.Connections, "set the connections that the target accepts")
	if t.ColdSlots < 1 || t.ColdSlots > max(t.Slots, 1) {
		v.add(path+".cold_slots", t.ColdSlots, fmt.Sprintf("1 to %d, the slots", max(t.Slots, 1)),
			"set the requests that the target bears in cold start")
	}
	if t.ConnectTimeMS < 0 || math.IsNaN(t.ConnectTimeMS) || math.IsInf(t.ConnectTimeMS, 0) {
		v.add(path+".connect_time_ms", t.ConnectTimeMS, "0 or more", "set the usual duration of a connect")
	}
}

// eachUnique checks the ids of a list of entries and that they differ, then each entry.
func eachUnique[E any, ID ~string](v *validator, name string, entries []E, id func(E) ID, check func(string, E)) {
	seen := map[ID]bool{}
	for i, entry := range entries {
		path := fmt.Sprintf("$.%s[%d]", name, i)
		v.id(path+".id", string(id(entry)))
		if seen[id(entry)] {
			v.add(path+".id", string(id(entry)), "an id that no other entry of the list has", "rename or remove one")
		}
		seen[id(entry)] = true
		check(path, entry)
	}
}

func idSet[E any, ID comparable](entries []E, id func(E) ID) map[ID]bool {
	set := make(map[ID]bool, len(entries))
	for _, entry := range entries {
		set[id(entry)] = true
	}
	return set
}

func known[ID ~string](v *validator, path string, id ID, set map[ID]bool, list string) {
	if !set[id] {
		v.add(path, string(id), "an id of the list "+list, "add the entry to "+list+" or remove the reference")
	}
}

func references[ID ~string](v *validator, path string, ids []ID, set map[ID]bool, list string) {
	seen := map[ID]bool{}
	for i, id := range ids {
		path := fmt.Sprintf("%s[%d]", path, i)
		known(v, path, id, set, list)
		if seen[id] {
			v.add(path, string(id), "each id once", "remove the second one")
		}
		seen[id] = true
	}
}

func notEmpty[E any](v *validator, path string, list []E) {
	if len(list) == 0 {
		v.add(path, "[]", "at least one element", "add an element or delete the entry")
	}
}

func positive[N cmp.Ordered](v *validator, path string, value N, remedy string) {
	var zero N
	if !(value > zero) || math.IsInf(toFloat(value), 0) {
		v.add(path, value, "more than 0", remedy)
	}
}

func toFloat(value any) float64 {
	number, ok := value.(float64)
	if !ok {
		return 0
	}
	return number
}
