package logexplain

import (
	"fmt"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

// kindExplanations explains the refusals of each kind and names the related log messages.
var kindExplanations = map[fault.Kind]string{
	fault.NotReady:             "the host had no configuration, or an older one than its callers had already seen: see host started, store lost and configuration in force",
	fault.NotFound:             "no route of the configuration in force matched the host name and path",
	fault.Stopping:             "the host was stopping as planned",
	fault.Overloaded:           "no target could take the request: see target drained, target removed, target lapsed and data centre out",
	fault.Quarantined:          "the request had crashed too many targets: see lost attempt judged and request quarantined",
	fault.TooLarge:             "the request was larger than the limits of the configuration",
	fault.BadRequest:           "the request was incomplete",
	fault.CoverageBelowMinimum: "fewer shards answered than the route requires",
	fault.DeadlineExceeded:     "no target answered before the deadline",
	fault.TargetFailed:         "the targets failed after the request was sent, so it may have run",
}

// lineCauses returns what one line says about the outcome of the request.
func lineCauses(line *Line) []string {
	var all []string
	switch {
	case line.Kind != "" && kindExplanations[line.Kind] != "":
		all = append(all, fmt.Sprintf("%s on %s: %s (%s)", line.Message, line.Host, kindExplanations[line.Kind], line.Reason))
	case line.Error != "":
		all = append(all, fmt.Sprintf("%s on %s: %s", line.Message, line.Host, line.Error))
	case line.Answered < line.Shards:
		all = append(all, fmt.Sprintf("%s on %s: %d of %d shards after %.0f of %.0f ms", line.Message, line.Host, line.Answered,
			line.Shards, line.TookMS, line.AllowedMS))
	default:
		all = append(all, fmt.Sprintf("%s on %s after %.0f of %.0f ms", line.Message, line.Host, line.TookMS, line.AllowedMS))
	}
	for i := range line.Attempts {
		all = append(all, line.Attempts[i].describe(line.TookMS))
	}
	if line.WithoutBudget > 0 {
		all = append(all, fmt.Sprintf("%d extra attempts were refused by the budget", line.WithoutBudget))
	}
	return all
}

// describe returns a sentence about the result of an attempt.
func (a *Attempt) describe(took float64) string {
	name := fmt.Sprintf("%s attempt at %s of %s, sent at %.0f ms, expected to take %.0f ms", a.Kind, a.Target, a.Service, a.SentMS, a.EstimateMS)
	switch {
	case a.Failure != "":
		return fmt.Sprintf("%s: %s (%s)", name, a.Failure, a.Cause)
	case a.EndedMS == nil:
		return fmt.Sprintf("%s: no answer for %.0f ms", name, took-a.SentMS)
	}
	return fmt.Sprintf("%s: answered at %.0f ms", name, *a.EndedMS)
}
