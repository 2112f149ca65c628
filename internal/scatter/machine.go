package scatter

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// restartPoll is the interval at which a query whose version has gone asks for a newer snapshot.
	restartPoll = 5 * time.Millisecond
	// restartWait bounds that wait. Two polls of the targets' reports fit.
	restartWait = 500 * time.Millisecond
	// attemptsPerPart bounds the attempts of a query, hedges, retries and restart included.
	attemptsPerPart = 4
	// maxNotRun bounds the attempts at a part that did not run, where those that run have a bound of their own.
	maxNotRun = 6
	never     = time.Duration(1<<63 - 1)
)

// Machine is the state of one query. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	picker   Picker
	round    *round
	first    *round // the round before a restart
	attempts []attemptState
	actions  []Action
	exclude  []model.TargetID
	timer    time.Duration // not later than the next planned attempt
	// restartUntil is the time until which the query hopes for a newer snapshot; 0 if no part needs it.
	restartUntil time.Duration
	// uncertain counts sent attempts that are not known not to have run.
	uncertain int
	// targetLost forbids further extra attempts, because the query may have crashed a target.
	targetLost bool
	started    bool
	done       bool
}

type attemptState struct {
	Attempt
	open bool
}

// New returns the machine of one query. The first Tick starts it.
func New(cfg Config, picker Picker) *Machine {
	parts := len(cfg.Snapshot.Parts)
	return &Machine{
		cfg:      cfg,
		picker:   picker,
		round:    newRound(0, cfg.Snapshot),
		attempts: make([]attemptState, 0, parts+parts/4+1),
		actions:  make([]Action, 0, parts+1),
	}
}

// MaxAttempts returns the greatest number of attempts that the query sends.
func (m *Machine) MaxAttempts() int {
	perPart := attemptsPerPart
	if m.cfg.AttemptsPerPart > 0 {
		// Attempts that were not sent are bounded here only.
		perPart = m.cfg.AttemptsPerPart + maxNotRun
	}
	return perPart * max(1, len(m.cfg.Snapshot.Parts), len(m.round.parts))
}

// Done tells whether the result is ready.
func (m *Machine) Done() bool { return m.done }

// Tick lets the machine act on the passing of time. The actions are valid until the next call.
func (m *Machine) Tick(now time.Duration) []Action {
	m.actions = m.actions[:0]
	if m.done {
		return nil
	}
	if !m.started {
		m.start(now)
	} else {
		m.runTimers(now)
	}
	m.evaluate(now)
	return m.actions
}

// Reply takes the reply to an attempt. A reply that comes twice, after the query's end or for a part that is already
// answered is dropped.
func (m *Machine) Reply(now time.Duration, attempt int, reply Reply) []Action {
	m.actions = m.actions[:0]
	m.replyToFirst(attempt, reply)
	a, p := m.close(attempt)
	if p == nil {
		return nil
	}
	if !m.round.matches(a.Part, reply) {
		// A target that answers with another version or key range does not hold the part any more.
		m.failed(now, a, p, FailedVersionGone)
	} else {
		m.accept(now, a, p, reply)
	}
	m.evaluate(now)
	return m.actions
}

// Fail takes the failure of an attempt.
func (m *Machine) Fail(now time.Duration, attempt int, failure Failure) []Action {
	m.actions = m.actions[:0]
	if failure.NotRun() && attempt >= 0 && attempt < len(m.attempts) && m.attempts[attempt].open {
		m.uncertain--
		m.notRun(attempt)
	}
	a, p := m.close(attempt)
	if failure == FailedLost && !m.cfg.RetryLost {
		m.targetLost = true
	}
	if p == nil {
		return nil
	}
	m.failed(now, a, p, failure)
	m.evaluate(now)
	return m.actions
}

// Stop ends the query, because its caller has gone, and cancels its attempts.
func (m *Machine) Stop() []Action {
	m.actions = m.actions[:0]
	if !m.done {
		m.finish()
	}
	return m.actions
}

// Wake returns the time at which the machine needs the next Tick if nothing else happens.
func (m *Machine) Wake() time.Duration {
	wake := min(m.timer, m.cfg.Deadline)
	if m.cfg.Mode == Fast && m.enough() {
		wake = min(wake, m.cfg.SoftDeadline)
	}
	return wake
}

func (m *Machine) start(now time.Duration) {
	m.started = true
	m.timer = never
	for i := range m.round.parts {
		p := &m.round.parts[i]
		if len(m.round.snapshot.Parts[i].Replicas) == 0 {
			continue
		}
		m.plan(p, now, First)
		m.trySend(now, i, p)
		if m.cfg.Suspect {
			return
		}
	}
}

// close takes an attempt out of the open ones. The part is nil if the event does not matter any more.
func (m *Machine) close(attempt int) (*Attempt, *part) {
	if attempt < 0 || attempt >= len(m.attempts) || !m.attempts[attempt].open {
		return nil, nil
	}
	a := &m.attempts[attempt]
	a.open = false
	if m.done || a.Round != m.round.number {
		return nil, nil
	}
	p := &m.round.parts[a.Part]
	p.remove(attempt)
	if p.reply != nil {
		return nil, nil
	}
	return &a.Attempt, p
}

// replyToFirst keeps a reply that overtook its cancellation at the restart: the answer may still be the first round's.
func (m *Machine) replyToFirst(attempt int, reply Reply) {
	if m.done || m.first == nil || attempt < 0 || attempt >= len(m.attempts) {
		return
	}
	a := &m.attempts[attempt]
	if a.open && a.Round == 0 && m.first.parts[a.Part].reply == nil && m.first.matches(a.Part, reply) {
		m.first.store(a.Part, reply)
	}
}

func (m *Machine) accept(now time.Duration, a *Attempt, p *part, reply Reply) {
	m.round.store(a.Part, reply)
	for p.open > 0 {
		loser := p.running[0]
		m.cancel(loser)
		p.remove(loser)
	}
	if m.cfg.Suspect && m.round.answered == 1 {
		m.sendRest(now)
	}
}

// sendRest sends the other shards of a suspect query once its first attempt has succeeded.
func (m *Machine) sendRest(now time.Duration) {
	for i := range m.round.parts {
		p := &m.round.parts[i]
		if p.reply == nil && p.open == 0 && len(m.round.snapshot.Parts[i].Replicas) > 0 {
			m.plan(p, now, First)
			m.trySend(now, i, p)
		}
	}
}

func (m *Machine) cancel(attempt int) {
	a := m.attempts[attempt].Attempt
	m.actions = append(m.actions, Action{Type: Cancel, Attempt: a, What: m.what(a)})
}

// evaluate ends the query when its answer is ready.
func (m *Machine) evaluate(now time.Duration) {
	r := m.round
	switch {
	case m.done:
	case r.answered == len(r.parts), now >= m.cfg.Deadline:
		m.finish()
	case m.cfg.Mode == Fast && now >= m.cfg.SoftDeadline && m.enough():
		m.finish()
	case r.active == 0 && m.restartUntil == 0:
		m.finish()
	}
}

func (m *Machine) enough() bool { return m.round.fraction() >= m.cfg.MinCoverage }

func (m *Machine) finish() {
	m.done = true
	m.cancelRound()
}

func (m *Machine) cancelRound() {
	for i := range m.round.parts {
		p := &m.round.parts[i]
		for p.open > 0 {
			m.cancel(p.running[0])
			p.remove(p.running[0])
		}
	}
}
