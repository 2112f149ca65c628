package scatter

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

// snapshotPart returns the part of the snapshot that the attempt asks for, in the round that sent it.
func (m *Machine) snapshotPart(a Attempt) *snapshot.Part {
	if a.Round == m.round.number {
		return &m.round.snapshot.Parts[a.Part]
	}
	return &m.previousRound.snapshot.Parts[a.Part]
}

// schedule sets the time and kind of the next attempt at a part. The time is at least 1, because 0 means that no attempt
// is scheduled.
func (m *Machine) schedule(p *part, at time.Duration, kind Kind) {
	p.next = max(at, 1)
	p.nextKind = kind
	m.timer = min(m.timer, p.next)
	m.round.updateActive(p)
}

func (m *Machine) unschedule(p *part) {
	p.next = 0
	m.round.updateActive(p)
}

// runTimers sends the attempts that are due and computes when the next one is.
func (m *Machine) runTimers(now time.Duration) {
	if m.timer > now {
		return
	}
	m.timer = never
	m.tryRestart(now)
	for i := range m.round.parts {
		p := &m.round.parts[i]
		if p.next == 0 {
			continue
		}
		if p.next <= now {
			m.trySend(now, i, p)
			continue
		}
		m.timer = min(m.timer, p.next)
	}
}

// trySend sends the scheduled attempt of a part. It reschedules the attempt if no target can take it now, and drops it if
// no further attempt is allowed.
func (m *Machine) trySend(now time.Duration, index int, p *part) {
	kind := p.nextKind
	spec := &m.round.snapshot.Parts[index]
	if len(m.attempts) >= m.MaxAttempts() || m.reachedAttemptLimit(p) || (kind != First && m.targetLost) {
		m.unschedule(p)
		return
	}
	m.exclude = m.exclude[:0]
	for _, t := range p.tried {
		m.exclude = append(m.exclude, t.target)
	}
	target, result := m.picker.Pick(now, spec, kind, m.exclude)
	if result != Picked {
		m.postpone(now, p, spec, kind, result)
		return
	}
	id := len(m.attempts)
	a := Attempt{ID: id, Round: m.round.number, Part: index, Target: target, Kind: kind, Sent: now}
	m.attempts = append(m.attempts, attemptState{Attempt: a, open: true})
	m.mayHaveRun++
	p.addAttempt(id, target)
	p.mayHaveRun++
	m.actions = append(m.actions, Action{Type: Send, Attempt: a, SnapshotPart: spec})
	m.unschedule(p)
	if p.open < maxOpen && m.mayHedge(p) && len(spec.Replicas) > len(p.tried) {
		m.schedule(p, now+m.picker.HedgeDelay(spec), Hedge)
	}
}

// reachedAttemptLimit reports whether no further attempt at the part may run.
func (m *Machine) reachedAttemptLimit(p *part) bool {
	return m.cfg.AttemptsPerPart > 0 && p.mayHaveRun >= m.cfg.AttemptsPerPart
}

func (m *Machine) mayHedge(p *part) bool {
	return !m.cfg.Suspect && !m.cfg.AtMostOnce && !m.reachedAttemptLimit(p)
}

// recordNotRun removes an attempt from its part's count of those that may have run. The counts per part matter only in
// the current round.
func (m *Machine) recordNotRun(attempt int) {
	a := &m.attempts[attempt]
	if a.Round == m.round.number {
		m.round.parts[a.Part].mayHaveRun--
	}
}

// postpone reschedules an attempt that could not be sent.
func (m *Machine) postpone(now time.Duration, p *part, spec *snapshot.Part, kind Kind, result PickResult) {
	if kind.IsHedge() {
		m.schedule(p, now+m.picker.HedgeDelay(spec), LateHedge)
		return
	}
	switch {
	case result == NoTargetInTime:
		m.round.setUnreachable(p, true)
		m.unschedule(p)
		return
	case result == NoBudget && p.noRoom: // the query would wait while this host lacks memory
		m.unschedule(p)
		return
	case result == NoTarget:
		p.clearTransientFailures()
	}
	p.retries++
	m.schedule(p, now+m.picker.Backoff(p.retries), kind)
}

// handleFailure decides whether a failed attempt is followed by a replacement, a retry, a restart or nothing.
func (m *Machine) handleFailure(now time.Duration, a *Attempt, p *part, failure Failure) {
	if failure.final() {
		p.markFinal(a.Target)
	}
	p.noRoom = p.noRoom || failure == FailedNoRoom
	spec := &m.round.snapshot.Parts[a.Part]
	m.round.recordUnreachable(p, a.Target, failure, spec.Replicas)
	if p.open > 0 {
		return // the other attempt continues, and a scheduled hedge stays scheduled
	}
	m.unschedule(p)
	switch {
	case m.cfg.Suspect && !(m.cfg.RetryNotRun && failure.NotRun()) || m.targetLost || failure == FailedDeadline || failure == FailedLate:
	case m.cfg.AtMostOnce && !failure.NotRun() || m.reachedAttemptLimit(p):
	case p.allReplicasFinal(spec.Replicas):
		m.requestRestart(now)
	case failure.replaceable():
		m.sendReplacement(now, a.Part, p, spec)
	default:
		p.retries++
		m.schedule(p, now+m.picker.Backoff(p.retries), Retry)
	}
	if m.cfg.Suspect && m.cfg.RetryNotRun && p.unreachable && m.round.answered == 0 {
		m.sendFirst(now) // a part without any target must not keep the query from being cleared by another one
	}
}

// sendReplacement immediately sends a replacement to a replica that has not been tried yet. Once all replicas have been
// tried, the next attempt is a retry with backoff, so that unreachable targets do not receive an unbounded number of
// attempts.
func (m *Machine) sendReplacement(now time.Duration, index int, p *part, spec *snapshot.Part) {
	if len(p.tried) < len(spec.Replicas) {
		m.schedule(p, now, Replacement)
		m.trySend(now, index, p)
		return
	}
	p.clearTransientFailures()
	p.retries++
	m.schedule(p, now+m.picker.Backoff(p.retries), Retry)
}

// requestRestart restarts the query at a newer snapshot, immediately or as soon as one becomes known.
func (m *Machine) requestRestart(now time.Duration) {
	if m.cfg.Pinned || m.previousRound != nil || m.restartDeadline > 0 {
		return
	}
	m.restartDeadline = min(now+restartWait, m.cfg.Deadline)
	m.tryRestart(now)
}

// tryRestart restarts a query that is waiting for a newer snapshot, if one is known.
func (m *Machine) tryRestart(now time.Duration) {
	if m.restartDeadline == 0 {
		return
	}
	if now >= m.restartDeadline || m.targetLost {
		m.restartDeadline = 0
		return
	}
	newer, found := m.picker.Newer(m.round.snapshot)
	if !found {
		m.timer = min(m.timer, now+restartPoll)
		return
	}
	m.cancelRound()
	m.restartDeadline = 0
	m.previousRound = m.round
	m.round = newRound(1, newer)
	m.start(now)
}
