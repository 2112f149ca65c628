package quarantine

import (
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// lossKey names one loss of a target: the end of one of its runs.
type lossKey struct {
	target      model.TargetID
	incarnation model.Incarnation
}

// loss is the evidence of one loss: the requests that any host had in flight there.
type loss struct {
	alone map[Fingerprint]bool // whether the request ran alone
}

// suspect is a request that was in flight at a lost target.
type suspect struct {
	evidence []lossKey
	// lost counts the losses while this host ran the request.
	lost uint64
	// until is the end of the quarantine, aloneUntil that of the run alone in progress.
	until, aloneUntil time.Duration
}

// targetLost makes suspects of the requests in flight at a target, and reports them to the other hosts. Later calls for
// the same run of the target change nothing, unless further requests were in flight.
func (s *State) targetLost(now time.Duration, target model.TargetID, incarnation model.Incarnation) {
	report := Report{Host: s.self, Target: target, Incarnation: incarnation, Entries: s.present(target)}
	if s.draining[target] || len(report.Entries) == 0 {
		return
	}
	isNew := s.learn(now, report)
	for _, entry := range report.Entries {
		if found, ok := s.suspects.get(entry.Fingerprint); ok && isNew {
			found.lost++
		}
	}
	if isNew {
		s.epoch++
		report.Epoch = s.epoch
		s.outbox = append(s.outbox, Message{Report: &report})
	}
}

// present returns the requests in flight at a target, each once.
func (s *State) present(target model.TargetID) []Entry {
	var entries []Entry
	for _, a := range s.inFlight[target] {
		if a.afterLoss {
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

// learn adds a report to the evidence. It tells whether the report named a request that was not known to have been there,
// or to have run alone.
func (s *State) learn(now time.Duration, report Report) bool {
	key := lossKey{report.Target, report.Incarnation}
	known, ok := s.losses.get(key)
	if !ok {
		known = &loss{alone: map[Fingerprint]bool{}}
		s.losses.put(key, known)
	}
	isNew := false
	for _, entry := range report.Entries {
		wasAlone, there := known.alone[entry.Fingerprint]
		isNew = isNew || !there || entry.Alone && !wasAlone
		known.alone[entry.Fingerprint] = wasAlone || entry.Alone
	}
	for _, entry := range report.Entries {
		s.suspectOf(entry.Fingerprint).add(key)
		s.judge(now, entry)
	}
	if isNew {
		s.reconsider(known)
	}
	return isNew
}

func (s *State) suspectOf(fingerprint Fingerprint) *suspect {
	found, ok := s.suspects.get(fingerprint)
	if !ok {
		found = &suspect{}
		s.suspects.put(fingerprint, found)
	}
	return found
}

func (f *suspect) add(key lossKey) {
	if slices.Contains(f.evidence, key) {
		return
	}
	if len(f.evidence) >= maxLossesPerSuspect {
		f.evidence = f.evidence[1:]
	}
	f.evidence = append(f.evidence, key)
}

// judge quarantines a request if the evidence suffices after a lost run alone.
func (s *State) judge(now time.Duration, entry Entry) {
	found := s.suspectOf(entry.Fingerprint)
	if !entry.Alone || !s.isGuilty(entry.Fingerprint, found) {
		return
	}
	if now >= found.until {
		s.blame(now, entry.Caller)
	}
	found.until = now + duration
}

// reconsider releases requests from quarantine when a further report shows that more requests were at the lost target.
func (s *State) reconsider(changed *loss) {
	for fingerprint := range changed.alone {
		found, ok := s.suspects.get(fingerprint)
		if ok && found.until > 0 && !s.isGuilty(fingerprint, found) {
			found.until = 0
		}
	}
}

// isGuilty tells whether the evidence reaches a score of 1 over two targets, with at least one lost run alone. Losses
// beside others count once, however many targets one scattered run lost: they are one coincidence.
func (s *State) isGuilty(fingerprint Fingerprint, found *suspect) bool {
	beside, alone := 0.0, 0.0
	targets := map[model.TargetID]bool{}
	for _, key := range found.evidence {
		l, ok := s.losses.get(key)
		if !ok {
			continue
		}
		targets[key.target] = true
		weight := 1 / float64(len(l.alone))
		if l.alone[fingerprint] {
			alone += max(weight, minAloneWeight)
			continue
		}
		beside = max(beside, weight)
	}
	return alone > 0 && beside+alone >= 1-scoreTolerance && len(targets) >= minTargets
}

// blame counts a quarantine against a caller.
func (s *State) blame(now time.Duration, caller model.CallerID) {
	times, _ := s.callers.get(caller)
	times = append(times, now)
	s.callers.put(caller, times[max(0, len(times)-maxQuarantines-1):])
}

// clear drops the evidence against a request.
func (s *State) clear(fingerprint Fingerprint) {
	s.suspects.remove(fingerprint)
	s.losses.each(func(_ lossKey, l *loss) { delete(l.alone, fingerprint) })
}
