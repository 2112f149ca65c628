package scatter

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
)

func (m *Machine) what(a Attempt) *snapshot.Part {
	if a.Round == m.round.number {
		return &m.round.snapshot.Parts[a.Part]
	}
	return &m.first.snapshot.Parts[a.Part]
}

// plan schedules the next attempt at a part.
func (m *Machine) plan(p *part, at time.Duration, kind Kind) {
	p.next = max(at, 1)
	p.nextKind = kind
	m.timer = min(m.timer, p.next)
	m.round.settle(p)
}

func (m *Machine) unplan(p *part) {
	p.next = 0
	m.round.settle(p)
}

// runTimers sends the attempts whose time has come and finds the time of the next.
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

// trySend sends the planned attempt of a part, or plans it again for later.
func (m *Machine) trySend(now time.Duration, index int, p *part) {
	kind := p.nextKind
	what := &m.round.snapshot.Parts[index]
	if len(m.attempts) >= m.MaxAttempts() || m.isSpent(p) || (kind != First && m.targetLost) {
		m.unplan(p)
		return
	}
	m.exclude = m.exclude[:0]
	for _, t := range p.tried {
		m.exclude = append(m.exclude, t.target)
	}
	target, verdict := m.picker.Pick(now, what, kind, m.exclude)
	if verdict != Picked {
		m.postpone(now, p, what, kind, verdict)
		return
	}
	id := len(m.attempts)
	a := Attempt{ID: id, Round: m.round.number, Part: index, Target: target, Kind: kind, Sent: now}
	m.attempts = append(m.attempts, attemptState{Attempt: a, open: true})
	m.uncertain++
	p.add(id, target)
	p.mayHaveRun++
	m.actions = append(m.actions, Action{Type: Send, Attempt: a, What: what})
	m.unplan(p)
	if p.open < maxOpen && m.mayHedge(p) && len(what.Replicas) > len(p.tried) {
		m.plan(p, now+m.picker.HedgeDelay(what), Hedge)
	}
}

// isSpent tells whether no further attempt at the part may run.
func (m *Machine) isSpent(p *part) bool {
	return m.cfg.AttemptsPerPart > 0 && p.mayHaveRun >= m.cfg.AttemptsPerPart
}

func (m *Machine) mayHedge(p *part) bool { return !m.cfg.Suspect && !m.cfg.Once && !m.isSpent(p) }

// notRun takes an attempt out of those that may have run.
func (m *Machine) notRun(attempt int) {
	a := &m.attempts[attempt]
	if a.Round == m.round.number {
		m.round.parts[a.Part].mayHaveRun--
	}
}

// postpone plans an attempt that could not be sent now for later.
func (m *Machine) postpone(now time.Duration, p *part, what *snapshot.Part, kind Kind, verdict Verdict) {
	if kind.Beside() {
		m.plan(p, now+m.picker.HedgeDelay(what), LateHedge)
		return
	}
	if verdict == NoTarget {
		p.forgetFailures()
	}
	p.retries++
	m.plan(p, now+m.picker.Backoff(p.retries), kind)
}

// failed decides what follows a failed attempt.
func (m *Machine) failed(now time.Duration, a *Attempt, p *part, failure Failure) {
	if failure.final() {
		p.markFinal(a.Target)
	}
	if p.open > 0 {
		return // the other attempt goes on, and so does a planned hedge
	}
	what := &m.round.snapshot.Parts[a.Part]
	m.unplan(p)
	switch {
	case m.cfg.Suspect || m.targetLost || failure == FailedDeadline || failure == FailedLate:
	case m.cfg.Once && !failure.NotRun() || m.isSpent(p):
	case p.exhausted(what.Replicas):
		m.wantRestart(now)
	case failure.replaceable():
		m.replace(now, a.Part, p, what)
	default:
		p.retries++
		m.plan(p, now+m.picker.Backoff(p.retries), Retry)
	}
}

// replace sends a replacement at once to a replica that was not asked yet. Once all of them were asked the next attempt is
// a retry, so that targets which cannot be reached do not get attempts without bound.
func (m *Machine) replace(now time.Duration, index int, p *part, what *snapshot.Part) {
	if len(p.tried) < len(what.Replicas) {
		m.plan(p, now, Replacement)
		m.trySend(now, index, p)
		return
	}
	p.forgetFailures()
	p.retries++
	m.plan(p, now+m.picker.Backoff(p.retries), Retry)
}

// wantRestart restarts the query at a newer snapshot, now or when one is known.
func (m *Machine) wantRestart(now time.Duration) {
	if m.cfg.Pinned || m.first != nil || m.restartUntil > 0 {
		return
	}
	m.restartUntil = min(now+restartWait, m.cfg.Deadline)
	m.tryRestart(now)
}

// tryRestart restarts a query that waits for a newer snapshot, if one is known.
func (m *Machine) tryRestart(now time.Duration) {
	if m.restartUntil == 0 {
		return
	}
	if now >= m.restartUntil || m.targetLost {
		m.restartUntil = 0
		return
	}
	newer, found := m.picker.Newer(m.round.snapshot)
	if !found {
		m.timer = min(m.timer, now+restartPoll)
		return
	}
	m.cancelRound()
	m.restartUntil = 0
	m.first = m.round
	m.round = newRound(1, newer)
	m.start(now)
}
