package logexplain

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// beliefs begin the messages about what a host believes of itself, the store and other hosts.
var beliefs = []string{
	"host started", "host stopped", "planned stop", "configuration", "store ", "relay ", "data centre", "settings", "log lines",
	"gathering host", "request lines",
}

// subject is what the lines about a request point to.
type subject struct {
	from, to time.Time
	hosts    map[string]bool
	targets  map[string]bool
	// crashes tells that crashes of any target concern the request.
	crashes bool
}

func subjectOf(named []Line) subject {
	s := subject{
		from:    named[0].Time.Add(-evidenceSpan),
		to:      named[len(named)-1].Time.Add(evidenceSpan),
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

// concerns tells whether a line of the same time may tell about the cause.
func (s *subject) concerns(line *Line) bool {
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
	isBelief := func(prefix string) bool { return strings.HasPrefix(line.Message, prefix) }
	return s.hosts[line.Host] && slices.ContainsFunc(beliefs, isBelief)
}

// nearest returns the lines that are nearest in time to the request, in their order.
func (s *subject) nearest(lines []Line) []Line {
	middle := s.from.Add(s.to.Sub(s.from) / 2)
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Compare(a.Time.Sub(middle).Abs(), b.Time.Sub(middle).Abs())
	})
	lines = lines[:min(len(lines), maxEvidence)]
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines
}
