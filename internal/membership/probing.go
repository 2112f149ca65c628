package membership

import (
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// pauseAfter is the time between two ticks after which this process was paused and its own deadlines prove nothing.
const pauseAfter = time.Second

// Tick returns the frames that are due.
func (m *Membership) Tick(now time.Duration) []Message {
	if now-m.lastTick > pauseAfter {
		m.resume(now)
	}
	m.lastTick = now
	messages := m.expireProbes(now)
	if now >= m.nextProbe {
		m.nextProbe = now + m.cfg.ProbeInterval
		m.expireMembers(now)
		messages = append(messages, m.probeSuspects(now)...)
		if message, ok := m.probeNext(now); ok {
			messages = append(messages, message)
		}
	}
	if now >= m.nextDead {
		m.nextDead = now + m.deadInterval(now)
		if message, ok := m.probeDead(); ok {
			messages = append(messages, message)
		}
	}
	return messages
}

// resume gives suspected members their time again: the answers that arrived during a pause were not read.
func (m *Membership) resume(now time.Duration) {
	m.pending = nil
	for _, id := range m.suspects {
		if r, ok := m.members[id]; ok {
			r.doubted = now
		}
	}
}

// probeNext probes the next member of the shuffled order.
func (m *Membership) probeNext(now time.Duration) (Message, bool) {
	for range len(m.order) {
		if m.next >= len(m.order) {
			m.next = 0
			m.shuffle()
		}
		r := m.members[m.order[m.next]]
		m.next++
		if r.State == Dead {
			continue
		}
		return m.probeAwaited(now, r), true
	}
	return Message{}, false
}

// probeAwaited probes a member and notes that it has to answer.
func (m *Membership) probeAwaited(now time.Duration, r *record) Message {
	m.pending = append(m.pending, probing{target: r.ID, deadline: now + m.cfg.ProbeTimeout})
	return m.probe(r)
}

func (m *Membership) shuffle() {
	m.rng.Shuffle(len(m.order), func(i, j int) { m.swap(i, j) })
}

// maxSuspectProbes bounds the extra probes of suspected members in one interval.
const maxSuspectProbes = 2

// probeSuspects gives suspected members further chances to answer, directly and through others.
func (m *Membership) probeSuspects(now time.Duration) []Message {
	var messages []Message
	for i := range min(maxSuspectProbes, len(m.suspects)) {
		messages = append(messages, m.probeAwaited(now, m.members[m.suspects[i]]))
	}
	return messages
}

// rejoinPeriod is the time after the return of a dead member in which the others are probed more often: the cut that
// separated it may have separated them too.
const rejoinPeriod = 10 * time.Second

func (m *Membership) deadInterval(now time.Duration) time.Duration {
	if now < m.rejoinUntil {
		return m.cfg.ProbeInterval
	}
	return m.cfg.DeadInterval
}

// probeDead probes the dead members in turn: they may only have been cut off.
func (m *Membership) probeDead() (Message, bool) {
	if len(m.dead) == 0 {
		return Message{}, false
	}
	m.nextDeadIndex++
	r, ok := m.members[m.dead[m.nextDeadIndex%len(m.dead)]]
	if !ok {
		return Message{}, false
	}
	return m.probe(r), true
}

func (m *Membership) probe(r *record) Message {
	probe := &Probe{From: m.self, Updates: m.updates()}
	if r.State != Alive {
		about := r.Member
		probe.About = &about
	}
	return Message{To: r.ID, Address: r.Address, Probe: probe}
}

// expireProbes asks others to probe the members that did not answer, and suspects those that did not answer them either.
func (m *Membership) expireProbes(now time.Duration) []Message {
	var messages []Message
	var kept []probing
	for _, p := range m.pending {
		r, ok := m.members[p.target]
		if !ok {
			continue
		}
		if now < p.deadline {
			kept = append(kept, p)
			continue
		}
		if p.indirect {
			m.suspect(now, r)
			continue
		}
		for _, helper := range m.Random(indirectProbes) {
			if helper.ID != p.target {
				messages = append(messages, Message{
					To: helper.ID, Address: helper.Address, Indirect: &Indirect{From: m.self, Target: r.Member},
				})
			}
		}
		kept = append(kept, probing{target: p.target, deadline: now + m.cfg.ProbeTimeout, indirect: true})
	}
	m.pending = kept
	return messages
}

// suspect notes that a member did not answer. With 5 % of the frames lost, 4,600 hosts suspect about 15 members a second,
// so a suspicion is not spread: the host that has it asks again until it is sure.
func (m *Membership) suspect(now time.Duration, r *record) {
	if r.State != Alive || r.suspect {
		return
	}
	r.suspect = true
	r.doubted = now
	m.suspects = append(m.suspects, r.ID)
}

// expireMembers declares suspected members dead that did not answer in time, and forgets those that are long dead.
func (m *Membership) expireMembers(now time.Duration) {
	m.suspects = slices.DeleteFunc(m.suspects, func(id model.HostID) bool {
		r, ok := m.members[id]
		if !ok || !r.suspect {
			return true
		}
		if now-r.doubted < m.cfg.Suspicion {
			return false
		}
		dead := r.Member
		dead.State = Dead
		m.set(now, r, dead)
		return true
	})
	m.dead = slices.DeleteFunc(m.dead, func(id model.HostID) bool {
		r, ok := m.members[id]
		if !ok || r.State != Dead {
			return true
		}
		if !r.listed && now-r.since >= m.cfg.Forget {
			m.forget(id)
			return true
		}
		return false
	})
}

// HandleProbe answers a probe.
func (m *Membership) HandleProbe(now time.Duration, probe Probe) Ack {
	if probe.About != nil {
		m.Merge(now, *probe.About)
	}
	m.hear(probe.From)
	m.Merge(now, probe.From)
	m.mergeAll(now, probe.Updates)
	return Ack{From: m.self, Updates: m.updates()}
}

func (m *Membership) mergeAll(now time.Duration, updates []Member) {
	for _, update := range updates {
		m.Merge(now, update)
	}
}

// HandleAck takes the answer to a probe. It returns frames to the hosts that asked for the probe.
func (m *Membership) HandleAck(now time.Duration, ack Ack) []Message {
	m.joined = true
	if known, ok := m.members[ack.From.ID]; ok && known.State == Dead {
		m.rejoinUntil = now + rejoinPeriod
		m.nextDead = min(m.nextDead, now+m.cfg.ProbeInterval)
	}
	m.answered(now, ack.From)
	m.mergeAll(now, ack.Updates)
	r, ok := m.members[ack.From.ID]
	if !ok {
		return nil
	}
	var messages []Message
	for _, requester := range r.requests {
		messages = append(messages, Message{
			To: requester.id, Address: requester.address, IndirectAck: &IndirectAck{Target: ack.From},
		})
	}
	r.requests = nil
	return messages
}

// answered ends the probes of a member that gave a sign of life.
func (m *Membership) answered(now time.Duration, member Member) {
	m.hear(member)
	m.pending = slices.DeleteFunc(m.pending, func(p probing) bool { return p.target == member.ID })
	m.Merge(now, member)
}

// hear ends the suspicion of a member that has spoken to this host.
func (m *Membership) hear(member Member) {
	if r, ok := m.members[member.ID]; ok && r.Incarnation <= member.Incarnation {
		r.suspect = false
	}
}

// maxRequesters bounds the hosts that wait for one indirect probe.
const maxRequesters = 8

// HandleIndirect probes a member for another host.
func (m *Membership) HandleIndirect(now time.Duration, request Indirect) []Message {
	m.Merge(now, request.From)
	m.Merge(now, request.Target)
	r, ok := m.members[request.Target.ID]
	if !ok {
		return nil
	}
	if len(r.requests) >= maxRequesters {
		r.requests = r.requests[1:] // its sender has given up by now
	}
	r.requests = append(r.requests, requester{request.From.ID, request.From.Address})
	return []Message{m.probe(r)}
}

// HandleIndirectAck takes the result of an indirect probe.
func (m *Membership) HandleIndirectAck(now time.Duration, ack IndirectAck) {
	m.answered(now, ack.Target)
}
