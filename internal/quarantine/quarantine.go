// Package quarantine detects requests that crash their targets, and keeps them away from further targets. It
// performs no I/O and reads no clock.
//
// The loss of a target makes every request in flight there a suspect. A suspect runs alone: its first attempt is
// sent by itself, and the other shards follow only after it has succeeded. A run without a loss clears the
// suspect; losing a target during an isolated run is evidence for quarantine.
package quarantine

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Fingerprint identifies the contents of a request, independent of the caller.
type Fingerprint uint64

const (
	// maxEntries bounds the number of suspects, of losses and of callers. The oldest entries are evicted first.
	maxEntries = 4096
	// maxSuspectsPerLoss bounds the requests that one host reports for one loss.
	maxSuspectsPerLoss = 64
	// maxLossesPerSuspect bounds the losses kept as evidence against a request.
	maxLossesPerSuspect = 16
	// minAloneWeight is the minimum score of losing a target during an isolated run. With it, a request loses at most
	// three targets in isolated runs before it is quarantined, however many other requests are in flight at the same
	// targets.
	minAloneWeight = 1.0 / 3
	// scoreTolerance absorbs the rounding error of adding three thirds.
	scoreTolerance = 1e-9
	// minTargets prevents the quarantine of requests to a target that crashes regardless of what it is sent.
	minTargets = 2
	// quarantineDuration is the length of a quarantine.
	quarantineDuration = 10 * time.Minute
	// maxQuarantines is the number of quarantines within quarantineDuration that a caller may cause before its
	// grant is reduced.
	maxQuarantines = 3
	// ReducedGrantFraction is the fraction of its grant that remains for a caller that caused more than
	// maxQuarantines quarantines.
	ReducedGrantFraction = 0.1
	// aloneTimeout ends an isolated run whose end was not reported. No request has a longer deadline.
	aloneTimeout = model.MaxDeadline + time.Second
	// busyRetryAfter is the retry delay for a suspect that is already running.
	busyRetryAfter = 50 * time.Millisecond
)

// Verdict determines how a request may run.
type Verdict int

// The verdicts. The zero value is invalid.
const (
	// Normal means that there is no evidence against the request.
	Normal Verdict = iota + 1
	// Alone means that the request is a suspect and has to run alone.
	Alone
	// Busy means that the request is a suspect that is already running alone. It is refused without being run.
	Busy
	// Quarantined means that the request is refused without being run.
	Quarantined
)

// Run is a decision of Admit. The caller of the package reports the end of an admitted run to End.
type Run struct {
	Verdict     Verdict
	Fingerprint Fingerprint
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration

	lossesAtStart uint64 // local losses of the suspect at the start of the run
}

// Attempt is one attempt of a request at a target.
type Attempt struct {
	ID          model.AttemptID
	Target      model.TargetID
	Caller      model.CallerID
	Fingerprint Fingerprint
	// Alone is set for an attempt of an isolated run.
	Alone bool

	// knownLost is set if the target's current incarnation was known to be lost when the attempt started. A
	// further lost connection to it is no evidence.
	knownLost bool
}

// State is the evidence that one host has. It is not safe for concurrent use. Times are relative to process start.
type State struct {
	self            model.HostID
	inFlight        map[model.TargetID]map[model.AttemptID]Attempt
	incarnations    map[model.TargetID]model.Incarnation // the newest known incarnation of each target
	draining        map[model.TargetID]bool
	losses          *boundedMap[lossKey, *loss]
	suspects        *boundedMap[Fingerprint, *suspect]
	quarantineTimes *boundedMap[model.CallerID, []time.Duration]
	outbox          []Message
	epoch           uint64 // the epoch of the newest message of this host
}

// New returns the state of a host without any evidence.
func New(self model.HostID) *State {
	return &State{
		self:            self,
		inFlight:        map[model.TargetID]map[model.AttemptID]Attempt{},
		incarnations:    map[model.TargetID]model.Incarnation{},
		draining:        map[model.TargetID]bool{},
		losses:          newBoundedMap[lossKey, *loss](maxEntries),
		suspects:        newBoundedMap[Fingerprint, *suspect](maxEntries),
		quarantineTimes: newBoundedMap[model.CallerID, []time.Duration](maxEntries),
	}
}

// Admit decides how a request may run.
func (s *State) Admit(now time.Duration, fingerprint Fingerprint) Run {
	run := Run{Verdict: Normal, Fingerprint: fingerprint}
	found, known := s.suspects.get(fingerprint)
	if !known {
		return run
	}
	run.lossesAtStart = found.localLosses
	switch {
	case now < found.quarantinedUntil:
		run.Verdict, run.RetryAfter = Quarantined, found.quarantinedUntil-now
	case now < found.aloneUntil:
		run.Verdict, run.RetryAfter = Busy, busyRetryAfter
	default:
		run.Verdict = Alone
		found.aloneUntil = now + aloneTimeout
	}
	return run
}

// End records the end of a run that was admitted as Normal or Alone. complete reports that every part of the
// request was answered. A complete isolated run without a loss clears the suspect.
func (s *State) End(run Run, complete bool) {
	found, known := s.suspects.get(run.Fingerprint)
	if !known || run.Verdict != Alone {
		return
	}
	found.aloneUntil = 0
	if complete && found.localLosses == run.lossesAtStart {
		s.dropEvidence(run.Fingerprint)
		s.epoch++
		s.outbox = append(s.outbox, Message{Clear: &Clear{Host: s.self, Fingerprint: run.Fingerprint, Epoch: s.epoch}})
	}
}

// Started records an attempt that is about to be sent.
func (s *State) Started(a Attempt) {
	_, a.knownLost = s.losses.get(lossKey{a.Target, s.incarnations[a.Target]})
	at := s.inFlight[a.Target]
	if at == nil {
		at = map[model.AttemptID]Attempt{}
		s.inFlight[a.Target] = at
	}
	at[a.ID] = a
}

// Replied records the end of an attempt that is no evidence of a loss. incarnation is taken from the reply;
// it is 0 if there was none.
func (s *State) Replied(now time.Duration, id model.AttemptID, target model.TargetID, incarnation model.Incarnation) {
	s.finish(id, target)
	s.ObserveIncarnation(now, target, incarnation)
}

// Lost records the end of an attempt whose connection was lost before the reply.
func (s *State) Lost(now time.Duration, id model.AttemptID, target model.TargetID) {
	s.recordLoss(now, target, s.incarnations[target])
	s.finish(id, target)
}

func (s *State) finish(id model.AttemptID, target model.TargetID) {
	delete(s.inFlight[target], id)
	if len(s.inFlight[target]) == 0 {
		delete(s.inFlight, target)
	}
}

// ObserveIncarnation records the incarnation from a target's report or reply. A newer incarnation means that the
// previous one was lost.
func (s *State) ObserveIncarnation(now time.Duration, target model.TargetID, incarnation model.Incarnation) {
	former := s.incarnations[target]
	if incarnation <= former {
		return
	}
	if former != 0 {
		s.recordLoss(now, target, former)
	}
	s.incarnations[target] = incarnation
	delete(s.draining, target)
}

// Draining records whether a target announced that it is shutting down. The end of a draining target is no loss.
func (s *State) Draining(target model.TargetID, draining bool) {
	if draining {
		s.draining[target] = true
		return
	}
	delete(s.draining, target)
}

// Forget removes the state of targets that are no longer in the catalogue.
func (s *State) Forget(known func(model.TargetID) bool) {
	for target := range s.incarnations {
		if !known(target) {
			delete(s.incarnations, target)
			delete(s.draining, target)
		}
	}
}

// GrantFraction returns the fraction of its grant that a caller may use: 1, or ReducedGrantFraction after too many
// quarantines.
func (s *State) GrantFraction(now time.Duration, caller model.CallerID) float64 {
	times, _ := s.quarantineTimes.get(caller)
	recent := 0
	for _, at := range times {
		if now-at < quarantineDuration {
			recent++
		}
	}
	if recent > maxQuarantines {
		return ReducedGrantFraction
	}
	return 1
}

// Statistics summarizes the state for state dumps.
type Statistics struct {
	Suspects    int              `json:"suspects"`
	Quarantined int              `json:"quarantined"`
	Losses      int              `json:"losses"`
	CutCallers  []model.CallerID `json:"cut_callers"`
}

// Statistics returns a summary of the state at now.
func (s *State) Statistics(now time.Duration) Statistics {
	result := Statistics{Suspects: s.suspects.len(), Losses: s.losses.len(), CutCallers: []model.CallerID{}}
	s.suspects.each(func(_ Fingerprint, found *suspect) {
		if now < found.quarantinedUntil {
			result.Quarantined++
		}
	})
	s.quarantineTimes.each(func(id model.CallerID, _ []time.Duration) {
		if s.GrantFraction(now, id) < 1 {
			result.CutCallers = append(result.CutCallers, id)
		}
	})
	return result
}
