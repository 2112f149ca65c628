package scatter

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// restartPoll is the interval at which a query whose index version is no longer served checks for a newer snapshot.
	restartPoll = 5 * time.Millisecond
	// restartWait bounds that wait. It is long enough for two polls of the targets' reports.
	restartWait = 500 * time.Millisecond
	// attemptsPerPart times the number of parts bounds the attempts of a query, including hedges, retries and a restart.
	attemptsPerPart = 4
	// maxNotRunPerPart bounds the attempts at a part that did not run, if Config.AttemptsPerPart bounds those that may
	// have run.
	maxNotRunPerPart = 6
	never            = time.Duration(1<<63 - 1)
)

// Machine is the state of one query. It is not safe for concurrent use.
type Machine struct {
	cfg           Config
	picker        Picker
	round         *round
	previousRound *round // the round before a restart
	attempts      []attemptState
	actions       []Action
	exclude       []model.TargetID
	timer         time.Duration // not later than the next scheduled attempt
	// restartDeadline is the time until which the query waits for a newer snapshot; 0 if it is not waiting.
	restartDeadline time.Duration
	// mayHaveRun counts the sent attempts that are not proven not to have run.
	mayHaveRun int
	// targetLost prevents further attempts after a lost connection, because the query may have crashed its target.
	targetLost bool
	started    bool
	done       bool
}

type attemptState struct {
	Attempt
	open bool
}

// New returns the state machine of one query. The first call of Tick starts the query.
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

// MaxAttempts returns the maximum number of attempts that the query may send.
func (m *Machine) MaxAttempts() int {
	perPart := attemptsPerPart
	if m.cfg.AttemptsPerPart > 0 {
		// AttemptsPerPart does not count attempts that did not run, so they are bounded here.
		perPart = m.cfg.AttemptsPerPart + maxNotRunPerPart
	}
	return perPart * max(1, len(m.cfg.Snapshot.Parts), len(m.round.parts))
}

// Done reports whether the result is final.
func (m *Machine) Done() bool { return m.done }

// Tick advances the machine to the given time. The returned actions are valid until the next call of a method.
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

// Reply processes the reply to an attempt. It drops duplicate replies, replies after the end of the query and replies
// for a part that is already answered.
func (m *Machine) Reply(now time.Duration, attempt int, reply Reply) []Action {
	m.actions = m.actions[:0]
	m.replyToPreviousRound(attempt, reply)
	a, p := m.closeAttempt(attempt)
	if p == nil {
		return nil
	}
	if !m.round.matches(a.Part, reply) {
		// A target that answers with another version or key range no longer holds the part.
		m.handleFailure(now, a, p, FailedVersionGone)
	} else {
		m.acceptReply(now, a, p, reply)
	}
	m.evaluate(now)
	return m.actions
}

// Fail processes the failure of an attempt.
func (m *Machine) Fail(now time.Duration, attempt int, failure Failure) []Action {
	m.actions = m.actions[:0]
	if failure.NotRun() && attempt >= 0 && attempt < len(m.attempts) && m.attempts[attempt].open {
		m.mayHaveRun--
		m.recordNotRun(attempt)
	}
	a, p := m.closeAttempt(attempt)
	if failure == FailedLost && !m.cfg.RetryLost {
		m.targetLost = true
	}
	if p == nil {
		return nil
	}
	m.handleFailure(now, a, p, failure)
	m.evaluate(now)
	return m.actions
}

// Stop ends the query early, for example because its caller disconnected, and cancels its open attempts.
func (m *Machine) Stop() []Action {
	m.actions = m.actions[:0]
	if !m.done {
		m.finish()
	}
	return m.actions
}

// NextTick returns the time at which Tick must be called next if no reply or failure arrives before.
func (m *Machine) NextTick() time.Duration {
	next := min(m.timer, m.cfg.Deadline)
	if m.cfg.Mode == Fast && m.hasMinCoverage() {
		next = min(next, m.cfg.SoftDeadline)
	}
	return next
}

func (m *Machine) start(now time.Duration) {
	m.started = true
	m.timer = never
	m.sendFirst(now)
}

// sendFirst sends the first attempts at the parts that have none. If the query is a suspect, it stops after one part that may
// be answered.
func (m *Machine) sendFirst(now time.Duration) {
	count := len(m.round.parts)
	for n := range count {
		i := n
		if m.cfg.Suspect {
			i = (n + m.cfg.FirstPart) % count
		}
		p := &m.round.parts[i]
		if p.active || p.reply != nil || len(p.tried) > 0 || p.unreachable || len(m.round.snapshot.Parts[i].Replicas) == 0 {
			continue
		}
		m.schedule(p, now, First)
		m.trySend(now, i, p)
		if m.cfg.Suspect && !p.unreachable {
			return
		}
	}
}

// closeAttempt marks an attempt as ended. It returns nil if the attempt's outcome no longer matters: the attempt was
// closed before, its round was replaced, its part is answered or the query is done.
func (m *Machine) closeAttempt(attempt int) (*Attempt, *part) {
	if attempt < 0 || attempt >= len(m.attempts) || !m.attempts[attempt].open {
		return nil, nil
	}
	a := &m.attempts[attempt]
	a.open = false
	if m.done || a.Round != m.round.number {
		return nil, nil
	}
	p := &m.round.parts[a.Part]
	p.removeAttempt(attempt)
	if p.reply != nil {
		return nil, nil
	}
	return &a.Attempt, p
}

// replyToPreviousRound stores a reply to an attempt of the round before a restart, which may arrive before the
// cancellation takes effect. The result may still come from that round.
func (m *Machine) replyToPreviousRound(attempt int, reply Reply) {
	if m.done || m.previousRound == nil || attempt < 0 || attempt >= len(m.attempts) {
		return
	}
	a := &m.attempts[attempt]
	if a.open && a.Round == 0 && m.previousRound.parts[a.Part].reply == nil && m.previousRound.matches(a.Part, reply) {
		m.previousRound.store(a.Part, reply)
	}
}

// acceptReply stores a reply and cancels the other open attempts at the part.
func (m *Machine) acceptReply(now time.Duration, a *Attempt, p *part, reply Reply) {
	m.round.store(a.Part, reply)
	for p.open > 0 {
		other := p.openAttempts[0]
		m.cancelAttempt(other)
		p.removeAttempt(other)
	}
	if m.cfg.Suspect && m.round.answered == 1 {
		m.sendRemaining(now)
	}
}

// sendRemaining sends the attempts at the other shards of a suspect query after its first attempt has succeeded.
func (m *Machine) sendRemaining(now time.Duration) {
	for i := range m.round.parts {
		p := &m.round.parts[i]
		if p.reply == nil && p.open == 0 && len(m.round.snapshot.Parts[i].Replicas) > 0 {
			m.schedule(p, now, First)
			m.trySend(now, i, p)
		}
	}
}

func (m *Machine) cancelAttempt(attempt int) {
	a := m.attempts[attempt].Attempt
	m.actions = append(m.actions, Action{Type: Cancel, Attempt: a, SnapshotPart: m.snapshotPart(a)})
}

// evaluate ends the query if it is fully answered, has reached a deadline, or has no attempt left to wait for.
func (m *Machine) evaluate(now time.Duration) {
	r := m.round
	switch {
	case m.done:
	case r.answered == len(r.parts), now >= m.cfg.Deadline:
		m.finish()
	case m.cfg.Mode == Fast && (now >= m.cfg.SoftDeadline || m.missingAreUnreachable()) && m.hasMinCoverage():
		m.finish()
	case r.active == 0 && m.restartDeadline == 0:
		m.finish()
	}
}

// missingAreUnreachable reports whether waiting is pointless, because no missing part has a target that accepts
// connections.
func (m *Machine) missingAreUnreachable() bool {
	return m.round.answered+m.round.unreachable == len(m.round.parts)
}

func (m *Machine) hasMinCoverage() bool { return m.round.coveredFraction() >= m.cfg.MinCoverage }

func (m *Machine) finish() {
	m.done = true
	m.cancelRound()
}

func (m *Machine) cancelRound() {
	for i := range m.round.parts {
		p := &m.round.parts[i]
		for p.open > 0 {
			m.cancelAttempt(p.openAttempts[0])
			p.removeAttempt(p.openAttempts[0])
		}
	}
}
