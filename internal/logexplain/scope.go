package logexplain

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// stateMessagePrefixes are the prefixes of messages about a host's own state, its store access and other hosts.
var stateMessagePrefixes = []string{
	"host started", "host stopped", "planned stop", "configuration", "store ", "relay ", "data centre", "settings", "log lines",
	"gathering host", "request lines",
}

// scope selects the lines that may be related to a request.
type scope struct {
	from, to time.Time
	hosts    map[string]bool
	targets  map[string]bool
	// crashes is set if crashes of any target are related to the request.
	crashes bool
}

func scopeOf(named []Line) scope {
	s := scope{
		from:    named[0].Time.Add(-evidenceWindow),
		to:      named[len(named)-1].Time.Add(evidenceWindow),
		hosts:   map[string]bool{},
		targets: map[string]bool{},
	}
	for _, line := range named {
		s.hosts[line.Host] = true
		s.crashes = s.crashes || line.Kind == "quarantined"
		for _, attempt := range line.Attempts {
			s.targets[attempt.Target] = true
		}
	}
	return s
}

// includes reports whether a line may be evidence for the request.
func (s *scope) includes(line *Line) bool {
	if line.Time.Before(s.from) || line.Time.After(s.to) {
		return false
	}
	if s.targets[line.Target] || s.crashes && line.Message == "target crashed by a request" {
		return true
	}
	failedToo := func(a Attempt) bool { return s.targets[a.Target] && (a.Failure != "" || a.EndedMS == nil) }
	if slices.ContainsFunc(line.Attempts, failedToo) {
		return true
	}
	isStateMessage := func(prefix string) bool { return strings.HasPrefix(line.Message, prefix) }
	return s.hosts[line.Host] && slices.ContainsFunc(stateMessagePrefixes, isStateMessage)
}

// nearest returns the lines closest in time to the request, in chronological order.
func (s *scope) nearest(lines []Line) []Line {
	middle := s.from.Add(s.to.Sub(s.from) / 2)
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Compare(a.Time.Sub(middle).Abs(), b.Time.Sub(middle).Abs())
	})
	lines = lines[:min(len(lines), maxEvidence)]
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines
}
