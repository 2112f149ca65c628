package quarantine

import (
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// lossKey identifies the loss of a target by the incarnation that ended.
type lossKey struct {
	target      model.TargetID
	incarnation model.Incarnation
}

// loss holds the requests that any host had in flight at a target when it was lost.
type loss struct {
	ranAlone map[Fingerprint]bool // the value is true if the request was running alone
}

// suspect is the evidence against a request that was in flight at a lost target.
type suspect struct {
	evidence []lossKey
	// localLosses counts the targets lost while this host was running the request.
	localLosses uint64
	// quarantinedUntil is the end of the quarantine. aloneUntil is the time at which an isolated run in progress
	// times out.
	quarantinedUntil, aloneUntil time.Duration
}

// recordLoss marks the requests in flight at a lost target as suspects and queues a report for the other hosts.
// Further calls for the same incarnation have no effect unless they add requests.
func (s *State) recordLoss(now time.Duration, target model.TargetID, incarnation model.Incarnation) {
	report := Report{Host: s.self, Target: target, Incarnation: incarnation, Entries: s.inFlightEntries(target)}
	if s.draining[target] || len(report.Entries) == 0 {
		return
	}
	isNew := s.addReport(now, report)
	for _, entry := range report.Entries {
		if found, ok := s.suspects.get(entry.Fingerprint); ok && isNew {
			found.localLosses++
		}
	}
	if isNew {
		s.epoch++
		report.Epoch = s.epoch
		s.outbox = append(s.outbox, Message{Report: &report})
	}
}

// inFlightEntries returns the requests in flight at a target, without duplicates.
func (s *State) inFlightEntries(target model.TargetID) []Entry {
	var entries []Entry
	for _, a := range s.inFlight[target] {
		if a.knownLost {
			continue
		}
		at := slices.IndexFunc(entries, func(e Entry) bool { return e.Fingerprint == a.Fingerprint })
		switch {
		case at >= 0:
			entries[at].Alone = entries[at].Alone || a.Alone
		case len(entries) < maxSuspectsPerLoss:
			entries = append(entries, Entry{Fingerprint: a.Fingerprint, Caller: a.Caller, Alone: a.Alone})
		}
	}
	return entries
}

// addReport adds a report to the evidence. It returns true if the report names a request that was not known to be
// at the lost target, or not known to have run alone there.
func (s *State) addReport(now time.Duration, report Report) bool {
	known, isNew := s.addEntries(report)
	for _, entry := range report.Entries {
		s.updateQuarantine(now, entry)
	}
	if isNew {
		s.releaseUnproven(known)
	}
	return isNew
}

// addEntries adds the entries of a report to the loss and to the suspects. isNew is as for addReport.
func (s *State) addEntries(report Report) (known *loss, isNew bool) {
	key := lossKey{report.Target, report.Incarnation}
	known, ok := s.losses.get(key)
	if !ok {
		known = &loss{ranAlone: map[Fingerprint]bool{}}
		s.losses.put(key, known)
	}
	for _, entry := range report.Entries {
		wasAlone, there := known.ranAlone[entry.Fingerprint]
		isNew = isNew || !there || entry.Alone && !wasAlone
		known.ranAlone[entry.Fingerprint] = wasAlone || entry.Alone
	}
	for _, entry := range report.Entries {
		s.suspectOf(entry.Fingerprint).addEvidence(key)
	}
	return known, isNew
}

func (s *State) suspectOf(fingerprint Fingerprint) *suspect {
	found, ok := s.suspects.get(fingerprint)
	if !ok {
		found = &suspect{}
		s.suspects.put(fingerprint, found)
	}
	return found
}

func (f *suspect) addEvidence(key lossKey) {
	if slices.Contains(f.evidence, key) {
		return
	}
	if len(f.evidence) >= maxLossesPerSuspect {
		f.evidence = f.evidence[1:]
	}
	f.evidence = append(f.evidence, key)
}

// updateQuarantine starts or extends the quarantine of a request that ran alone at a lost target, if the evidence
// suffices.
func (s *State) updateQuarantine(now time.Duration, entry Entry) {
	found := s.suspectOf(entry.Fingerprint)
	if !entry.Alone || !s.hasEnoughEvidence(entry.Fingerprint, found) {
		return
	}
	if now >= found.quarantinedUntil {
		s.recordQuarantine(now, entry.Caller)
	}
	found.quarantinedUntil = now + quarantineDuration
}

// releaseUnproven ends quarantines whose evidence no longer suffices because a later report named further requests
// at the same lost target.
func (s *State) releaseUnproven(changed *loss) {
	for fingerprint := range changed.ranAlone {
		found, ok := s.suspects.get(fingerprint)
		if ok && found.quarantinedUntil > 0 && !s.hasEnoughEvidence(fingerprint, found) {
			found.quarantinedUntil = 0
		}
	}
}

// hasEnoughEvidence reports whether the evidence adds up to a score of 1 over at least two targets, with at least
// one loss during an isolated run. Of the losses outside isolated runs only the strongest counts: one run sent to
// many shards may lose several targets by a single coincidence.
func (s *State) hasEnoughEvidence(fingerprint Fingerprint, found *suspect) bool {
	normal, alone := 0.0, 0.0
	targets := map[model.TargetID]bool{}
	for _, key := range found.evidence {
		l, ok := s.losses.get(key)
		if !ok {
			continue
		}
		targets[key.target] = true
		weight := 1 / float64(len(l.ranAlone))
		if l.ranAlone[fingerprint] {
			alone += max(weight, minAloneWeight)
			continue
		}
		normal = max(normal, weight)
	}
	return alone > 0 && normal+alone >= 1-scoreTolerance && len(targets) >= minTargets
}

// recordQuarantine counts a quarantine against the caller that sent the request.
func (s *State) recordQuarantine(now time.Duration, caller model.CallerID) {
	times, _ := s.quarantineTimes.get(caller)
	times = append(times, now)
	s.quarantineTimes.put(caller, times[max(0, len(times)-maxQuarantines-1):])
}

// dropEvidence removes all evidence against a request. The request no longer counts among those in flight at the
// recorded losses.
func (s *State) dropEvidence(fingerprint Fingerprint) {
	s.suspects.remove(fingerprint)
	s.losses.each(func(_ lossKey, l *loss) { delete(l.ranAlone, fingerprint) })
}
