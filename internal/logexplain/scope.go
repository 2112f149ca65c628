package logexplain

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

// stateMessagePrefixes are the prefixes of messages about a host's own state, its store access and other hosts.
var stateMessagePrefixes = []string{
	"host started", "host stopped", "planned stop", "configuration", "store ", "relay ", "data centre", "settings", "log lines",
	"gathering host", "request lines",
}

// verdictMessages are the messages about requests whose attempts got no answer.
var verdictMessages = []string{"lost attempt judged", "request quarantined"}

// scope selects the lines that may be related to a request.
type scope struct {
	from, to time.Time
	hosts    map[string]bool
	targets  map[string]bool
	// fingerprints holds the contents of requests that were quarantined. Lines about them are evidence whatever their time.
	fingerprints map[string]bool
}

func scopeOf(named []Line) scope {
	s := scope{
		from:    named[0].Time.Add(-evidenceWindow),
		to:      named[len(named)-1].Time.Add(evidenceWindow),
		hosts:   map[string]bool{},
		targets: map[string]bool{},

		fingerprints: map[string]bool{},
	}
	for _, line := range named {
		s.hosts[line.Host] = true
		if line.Kind == fault.Quarantined && line.Fingerprint != "" {
			s.fingerprints[line.Fingerprint] = true
		}
		for _, attempt := range line.Attempts {
			s.targets[attempt.Target] = true
		}
	}
	return s
}

// includes reports whether a line may be evidence for the request.
func (s *scope) includes(line *Line) bool {
	if s.fingerprints[line.Fingerprint] && slices.Contains(verdictMessages, line.Message) {
		return true
	}
	if line.Time.Before(s.from) || line.Time.After(s.to) {
		return false
	}
	if s.targets[line.Target] {
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
