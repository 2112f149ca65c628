// Package quarantine finds requests that crash the targets which run them, and keeps them from other targets. It is pure.
//
// A target's loss makes every request in flight there a suspect. A suspect runs alone: one attempt at a time, sent to the
// other shards only after the first has succeeded. A clean run clears it; a lost run alone is evidence for quarantine.
package quarantine

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Fingerprint identifies the contents of a request, whichever caller sends it.
type Fingerprint uint64

const (
	// maxEntries bounds the suspects, the losses and the callers, each. The oldest are evicted first.
	maxEntries = 4096
	// maxSuspectsPerLoss bounds the requests that one host names for one loss.
	maxSuspectsPerLoss = 64
	// maxLossesPerSuspect bounds the evidence that is kept for a request.
	maxLossesPerSuspect = 16
	// minAloneWeight is the least evidence of a lost run alone. A request loses at most three targets alone before it is
	// quarantined, however many requests are in flight beside it.
	minAloneWeight = 1.0 / 3
	// scoreTolerance absorbs the rounding of three thirds.
	scoreTolerance = 1e-9
	// minTargets keeps a target that crashes by itself from quarantining what it is sent.
	minTargets = 2
	// duration is the time in quarantine.
	duration = 10 * time.Minute
	// maxQuarantines is the number of quarantines within duration that a caller may cause without a cut of its grant.
	maxQuarantines = 3
	// CutGrant is the part of its grant that is left to a caller who caused more.
	CutGrant = 0.1
	// aloneTimeout frees the place of a run alone whose end was not reported. No request has a longer deadline.
	aloneTimeout = model.MaxDeadline + time.Second
	// busyRetryAfter is the time after which a suspect that is running alone may be sent again.
	busyRetryAfter = 50 * time.Millisecond
)

// Verdict tells how a request may run.
type Verdict int

// The verdicts. The zero value is none of them.
const (
	// Normal means that nothing is held against the request.
	Normal Verdict = iota + 1
	// Alone means that the request runs alone.
	Alone
	// Busy means that the request is a suspect and is running alone already. It is refused as not run.
	Busy
	// Quarantined means that the request is refused as not run.
	Quarantined
)

// Run is a request that was admitted. Its end is reported to End.
type Run struct {
	Verdict     Verdict
	Fingerprint Fingerprint
	// RetryAfter is the time after which a refused request is worth repeating.
	RetryAfter time.Duration

	losses uint64 // of this fingerprint on this host at the start
}

// Attempt is one attempt at a target.
type Attempt struct {
	ID          model.AttemptID
	Target      model.TargetID
	Caller      model.CallerID
	Fingerprint Fingerprint
	// Alone tells that the attempt is the only one of its request.
	Alone bool

	// afterLoss tells that the target's present run was known to be lost at the start, so that a further loss of a
	// connection there is no evidence.
	afterLoss bool
}

// State holds what a host knows. It is not safe for concurrent use. Times are since process start.
type State struct {
	self     model.HostID
	inFlight map[model.TargetID]map[model.AttemptID]Attempt
	runs     map[model.TargetID]model.Incarnation // the last known run of each target
	draining map[model.TargetID]bool
	losses   *table[lossKey, *loss]
	suspects *table[Fingerprint, *suspect]
	callers  *table[model.CallerID, []time.Duration]
	outbox   []Message
	epoch    uint64
}

// New returns the state of a host that knows nothing.
func New(self model.HostID) *State {
	return &State{
		self:     self,
		inFlight: map[model.TargetID]map[model.AttemptID]Attempt{},
		runs:     map[model.TargetID]model.Incarnation{},
		draining: map[model.TargetID]bool{},
		losses:   newTable[lossKey, *loss](maxEntries),
		suspects: newTable[Fingerprint, *suspect](maxEntries),
		callers:  newTable[model.CallerID, []time.Duration](maxEntries),
	}
}

// Admit decides how a request may run.
func (s *State) Admit(now time.Duration, fingerprint Fingerprint) Run {
	run := Run{Verdict: Normal, Fingerprint: fingerprint}
	found, known := s.suspects.get(fingerprint)
	if !known {
		return run
	}
	run.losses = found.lost
	switch {
	case now < found.until:
		run.Verdict, run.RetryAfter = Quarantined, found.until-now
	case now < found.aloneUntil:
		run.Verdict, run.RetryAfter = Busy, busyRetryAfter
	default:
		run.Verdict = Alone
		found.aloneUntil = now + aloneTimeout
	}
	return run
}

// End takes the end of a run that was admitted as Normal or Alone. whole tells that every part of it was answered. A
// whole run alone without a loss clears the request.
func (s *State) End(run Run, whole bool) {
	found, known := s.suspects.get(run.Fingerprint)
	if !known || run.Verdict != Alone {
		return
	}
	found.aloneUntil = 0
	if whole && found.lost == run.losses {
		s.clear(run.Fingerprint)
		s.epoch++
		s.outbox = append(s.outbox, Message{Clear: &Clear{Host: s.self, Fingerprint: run.Fingerprint, Epoch: s.epoch}})
	}
}

// Started takes an attempt that is about to be sent.
func (s *State) Started(a Attempt) {
	_, a.afterLoss = s.losses.get(lossKey{a.Target, s.runs[a.Target]})
	at := s.inFlight[a.Target]
	if at == nil {
		at = map[model.AttemptID]Attempt{}
		s.inFlight[a.Target] = at
	}
	at[a.ID] = a
}

// Replied takes the end of an attempt that proves nothing about a loss. incarnation is the one of the reply, 0 if there
// was none.
func (s *State) Replied(now time.Duration, id model.AttemptID, target model.TargetID, incarnation model.Incarnation) {
	s.finish(id, target)
	s.Seen(now, target, incarnation)
}

// Lost takes the end of an attempt whose connection was lost before the reply.
func (s *State) Lost(now time.Duration, id model.AttemptID, target model.TargetID) {
	s.targetLost(now, target, s.runs[target])
	s.finish(id, target)
}

func (s *State) finish(id model.AttemptID, target model.TargetID) {
	delete(s.inFlight[target], id)
	if len(s.inFlight[target]) == 0 {
		delete(s.inFlight, target)
	}
}

// Seen takes a report or reply of a target. A new run of it means that the former one was lost.
func (s *State) Seen(now time.Duration, target model.TargetID, incarnation model.Incarnation) {
	former := s.runs[target]
	if incarnation <= former {
		return
	}
	if former != 0 {
		s.targetLost(now, target, former)
	}
	s.runs[target] = incarnation
	delete(s.draining, target)
}

// Draining takes a target's statement whether it is leaving. If it is, its end is no loss.
func (s *State) Draining(target model.TargetID, draining bool) {
	if draining {
		s.draining[target] = true
		return
	}
	delete(s.draining, target)
}

// Forget drops the state of targets that are not in the catalogue any more.
func (s *State) Forget(known func(model.TargetID) bool) {
	for target := range s.runs {
		if !known(target) {
			delete(s.runs, target)
			delete(s.draining, target)
		}
	}
}

// Grant returns the part of its grant that a caller may use: 1, or CutGrant after too many quarantines.
func (s *State) Grant(now time.Duration, caller model.CallerID) float64 {
	times, _ := s.callers.get(caller)
	recent := 0
	for _, at := range times {
		if now-at < duration {
			recent++
		}
	}
	if recent > maxQuarantines {
		return CutGrant
	}
	return 1
}

// Statistics describes the state for dumps.
type Statistics struct {
	Suspects    int              `json:"suspects"`
	Quarantined int              `json:"quarantined"`
	Losses      int              `json:"losses"`
	CutCallers  []model.CallerID `json:"cut_callers"`
}

// Statistics returns the present sizes.
func (s *State) Statistics(now time.Duration) Statistics {
	result := Statistics{Suspects: s.suspects.len(), Losses: s.losses.len(), CutCallers: []model.CallerID{}}
	s.suspects.each(func(_ Fingerprint, found *suspect) {
		if now < found.until {
			result.Quarantined++
		}
	})
	s.callers.each(func(id model.CallerID, _ []time.Duration) {
		if s.Grant(now, id) < 1 {
			result.CutCallers = append(result.CutCallers, id)
		}
	})
	return result
}
