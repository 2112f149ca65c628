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

// Violation describes an invalid value in a catalogue.
type Violation struct {
	// Path is the JSON path of the invalid value.
	Path  string `json:"path"`
	Value string `json:"value"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
	// Remedy tells the operator how to correct the value.
	Remedy string `json:"remedy"`
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s is %s: allowed is %s (%s)", v.Path, v.Value, v.Allowed, v.Remedy)
}

// Violations lists every invalid value in a catalogue. It represents an error unless it is empty.
type Violations []Violation

// Error returns the violations, one per line.
func (v Violations) Error() string {
	lines := make([]string, len(v))
	for i, violation := range v {
		lines[i] = violation.String()
	}
	return strings.Join(lines, "\n")
}

const (
	maxCallerTokens = 2
	tokenHexLength  = 64
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// Validate returns all violations in the catalogue, in field order.
func (c *Catalogue) Validate() Violations {
	v := &validator{
		searches:    idSet(c.Searches, func(s Search) SearchID { return s.ID }),
		indexes:     idSet(c.Indexes, func(i Index) IndexID { return i.ID }),
		services:    idSet(c.Services, func(s Service) ServiceID { return s.ID }),
		targets:     idSet(c.Targets, func(t Target) TargetID { return t.ID }),
		dataCentres: idSet(c.DataCentres, func(d DataCentreInfo) DataCentreID { return d.ID }),
		tokens:      map[string]bool{},
		addresses:   map[string]bool{},
	}
	checkEntries(v, "callers", c.Callers, func(x Caller) CallerID { return x.ID }, v.checkCaller)
	checkEntries(v, "searches", c.Searches, func(x Search) SearchID { return x.ID }, v.checkSearch)
	checkEntries(v, "indexes", c.Indexes, func(x Index) IndexID { return x.ID }, v.checkIndex)
	checkEntries(v, "services", c.Services, func(x Service) ServiceID { return x.ID }, v.checkService)
	checkEntries(v, "targets", c.Targets, func(x Target) TargetID { return x.ID }, v.checkTarget)
	checkEntries(v, "hosts_out", c.HostsOut, func(x HostOut) HostID { return x.ID }, func(string, HostOut) {})
	checkEntries(v, "data_centres_out", c.DataCentresOut, func(x DataCentreOut) DataCentreID { return x.ID },
		func(path string, x DataCentreOut) { checkReference(v, path+".id", x.ID, v.dataCentres, "data_centres") })
	checkEntries(v, "data_centres", c.DataCentres, func(x DataCentreInfo) DataCentreID { return x.ID },
		func(path string, x DataCentreInfo) { v.checkID(path+".region", string(x.Region)) })
	return v.violations
}

type validator struct {
	violations  Violations
	searches    map[SearchID]bool
	indexes     map[IndexID]bool
	services    map[ServiceID]bool
	targets     map[TargetID]bool
	dataCentres map[DataCentreID]bool
	tokens      map[string]bool // tokens seen so far
	addresses   map[string]bool // target addresses seen so far
}

func (v *validator) add(path string, value any, allowed, remedy string) {
	text := fmt.Sprintf("%v", value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	v.violations = append(v.violations, Violation{Path: path, Value: text, Allowed: allowed, Remedy: remedy})
}

func (v *validator) checkID(path, id string) {
	if !idPattern.MatchString(id) {
		v.add(path, id, "1 to 128 of the characters A-Z a-z 0-9 . _ -", "choose another name")
	}
}

func (v *validator) checkCaller(path string, c Caller) {
	if strings.TrimSpace(c.Owner) == "" {
		v.add(path+".owner", c.Owner, "a name that is not empty", "set the owner who is responsible for the caller")
	}
	switch c.Class {
	case ClassInteractive, ClassCounter, ClassBatch:
	default:
		v.add(path+".class", string(c.Class), "interactive, counter or batch", "choose one of the classes")
	}
	v.checkCallerTokens(path+".token_sha256", c.TokenSHA256)
	checkPositive(v, path+".rate", c.Rate, "set the limit on requests per second")
	checkPositive(v, path+".in_flight", c.InFlight, "set the limit on concurrent requests")
	checkPositive(v, path+".cost", c.Cost, "set the limit on target attempts per second")
	checkReferences(v, path+".searches", c.Searches, v.searches, "searches")
	checkReferences(v, path+".services", c.Services, v.services, "services")
}

func (v *validator) checkCallerTokens(path string, tokens []string) {
	if len(tokens) == 0 || len(tokens) > maxCallerTokens {
		v.add(path, len(tokens), "1 or 2 hashes", "list the hash of the token, and of its successor during a rotation")
	}
	for i, token := range tokens {
		path := fmt.Sprintf("%s[%d]", path, i)
		decoded, err := hex.DecodeString(token)
		if err != nil || 2*len(decoded) != tokenHexLength || strings.ToLower(token) != token {
			v.add(path, token, "a SHA-256 hash as 64 lower-case hexadecimal digits", "hash the token again")
			continue
		}
		if v.tokens[token] {
			v.add(path, token, "a hash that is not used elsewhere", "give each caller its own token")
		}
		v.tokens[token] = true
	}
}

func (v *validator) checkSearch(path string, s Search) {
	checkNotEmpty(v, path+".indexes", s.Indexes)
	checkReferences(v, path+".indexes", s.Indexes, v.indexes, "indexes")
}

func (v *validator) checkIndex(path string, x Index) {
	checkNotEmpty(v, path+".groups", x.Groups)
	groups := map[string]bool{}
	used := map[TargetID]bool{}
	for i, group := range x.Groups {
		path := fmt.Sprintf("%s.groups[%d]", path, i)
		v.checkID(path+".id", group.ID)
		if groups[group.ID] {
			v.add(path+".id", group.ID, "an id that no other group of the index has", "rename the group")
		}
		groups[group.ID] = true
		checkNotEmpty(v, path+".targets", group.Targets)
		for j, target := range group.Targets {
			path := fmt.Sprintf("%s.targets[%d]", path, j)
			checkReference(v, path, target, v.targets, "targets")
			if used[target] {
				v.add(path, string(target), "a target that is listed once in the index", "remove it here")
			}
			used[target] = true
		}
	}
}

func (v *validator) checkService(path string, s Service) {
	checkNotEmpty(v, path+".targets", s.Targets)
	checkReferences(v, path+".targets", s.Targets, v.targets, "targets")
}

func (v *validator) checkTarget(path string, t Target) {
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil || address.Port() == 0 {
		v.add(path+".address", t.Address, "an IP address and a port, as in 10.0.0.1:8080", "correct the address")
	} else if v.addresses[t.Address] {
		v.add(path+".address", t.Address, "an address that no other target has", "correct the address")
	}
	v.addresses[t.Address] = true
	checkReference(v, path+".data_centre", t.DataCentre, v.dataCentres, "data_centres")
	checkPositive(v, path+".slots", t.Slots, "set the number of requests that the target can run concurrently")
	checkPositive(v, path+".connections", t.Connections, "set the number of connections that the target accepts")
	if t.ColdSlots < 1 || t.ColdSlots > max(t.Slots, 1) {
		v.add(path+".cold_slots", t.ColdSlots, fmt.Sprintf("1 to %d, the slots", max(t.Slots, 1)),
			"set the number of requests that the target can run concurrently during a cold start")
	}
	if t.ConnectTimeMS < 0 || math.IsNaN(t.ConnectTimeMS) || math.IsInf(t.ConnectTimeMS, 0) {
		v.add(path+".connect_time_ms", t.ConnectTimeMS, "0 or more", "set the typical time to establish a connection")
	}
}

// checkEntries checks that the entries of a list have valid, unique IDs and calls check for each entry.
func checkEntries[E any, ID ~string](v *validator, name string, entries []E, id func(E) ID, check func(string, E)) {
	seen := map[ID]bool{}
	for i, entry := range entries {
		path := fmt.Sprintf("$.%s[%d]", name, i)
		v.checkID(path+".id", string(id(entry)))
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

func checkReference[ID ~string](v *validator, path string, id ID, set map[ID]bool, list string) {
	if !set[id] {
		v.add(path, string(id), "an id of the list "+list, "add the entry to "+list+" or remove the reference")
	}
}

func checkReferences[ID ~string](v *validator, path string, ids []ID, set map[ID]bool, list string) {
	seen := map[ID]bool{}
	for i, id := range ids {
		path := fmt.Sprintf("%s[%d]", path, i)
		checkReference(v, path, id, set, list)
		if seen[id] {
			v.add(path, string(id), "each id once", "remove the second one")
		}
		seen[id] = true
	}
}

func checkNotEmpty[E any](v *validator, path string, list []E) {
	if len(list) == 0 {
		v.add(path, "[]", "at least one element", "add an element or delete the entry")
	}
}

func checkPositive[N cmp.Ordered](v *validator, path string, value N, remedy string) {
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
