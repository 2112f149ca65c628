package share

import (
	"maps"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// questionInterval is the time between two rounds of questions about a table.
	questionInterval = 200 * time.Millisecond
	// formerAttemptsTime is the time after process start by which the attempts that the former incarnation sent to
	// cold targets have ended: 1.5 s on a clock that is 10 % slower, plus time for the messages.
	formerAttemptsTime = 2500 * time.Millisecond
)

// takeover shortens the wait before a host uses the share that a new table assigns to it. The owner asks every
// host in the tables that may still be in force elsewhere. Once all of them hold the newest table and use nothing
// from older ones, the owner need not wait. If a host does not answer, the takeover wait applies. It always
// applies in large fleets.
type takeover struct {
	confirmedBy map[model.HostID]bool
	lastAskedAt time.Duration
	asked       bool
	// confirmedGeneration is the newest generation that this host has confirmed to another host. It accepts
	// no loans from older tables.
	confirmedGeneration uint64
}

func (t *takeover) restart() {
	t.confirmedBy = map[model.HostID]bool{}
	t.asked = false
}

// tableQuestions returns the questions that are due.
func (s *State) tableQuestions(now time.Duration) []OutgoingMessage {
	others := s.otherHosts()
	if s.fenced || len(s.tables) == 1 || s.newest().generation == 0 || len(others) >= allOwnersLimit {
		return nil
	}
	s.finishTakeover(now, others)
	if len(s.tables) == 1 || s.asked && now-s.lastAskedAt < questionInterval {
		return nil
	}
	s.asked = true
	s.lastAskedAt = now
	var messages []OutgoingMessage
	for _, host := range others {
		if !s.confirmedBy[host] {
			messages = append(messages, OutgoingMessage{host, TableQuestion{s.Generation()}})
		}
	}
	return messages
}

// otherHosts returns the other hosts in all tables that may still be in force elsewhere.
func (s *State) otherHosts() []model.HostID {
	hosts := map[model.HostID]bool{}
	for _, table := range s.tables {
		for _, host := range table.hosts {
			hosts[host.ID] = true
		}
	}
	delete(hosts, s.cfg.Self)
	return slices.Sorted(maps.Keys(hosts))
}

// finishTakeover drops the older tables once every other host has confirmed the newest one.
func (s *State) finishTakeover(now time.Duration, others []model.HostID) {
	if now-s.cfg.Started < formerAttemptsTime {
		return
	}
	for _, host := range others {
		if !s.confirmedBy[host] {
			return
		}
	}
	s.advanceAll(now)
	s.tables = s.tables[len(s.tables)-1:]
	for _, e := range s.entries {
		s.refreshRate(e, now)
	}
}

// handleTableQuestion confirms the table asked about if this host holds it and neither uses nor lends anything from
// older ones.
func (s *State) handleTableQuestion(now time.Duration, from Sender, question TableQuestion) []OutgoingMessage {
	if question.Generation != s.Generation() || question.Generation == 0 {
		return nil
	}
	s.advanceAll(now)
	for _, e := range s.entries {
		if !s.usesOnlyNewestTable(e, from) {
			return nil
		}
	}
	s.confirmedGeneration = max(s.confirmedGeneration, question.Generation)
	return []OutgoingMessage{{from.Host, TableAnswer{question.Generation, from.Incarnation}}}
}

// usesOnlyNewestTable reports whether this host's use of a key is within its share in the newest table, and no
// loan comes from an older table or from a former incarnation of the asking host.
func (s *State) usesOnlyNewestTable(e *entry, asker Sender) bool {
	if e.lent()+float64(e.ownInUse) > s.ownShare(e, s.newest())+1e-9 {
		return false
	}
	for owner, o := range e.byOwner {
		incarnation := model.Incarnation(0)
		if owner == asker.Host {
			incarnation = asker.Incarnation
		}
		isNew := func(origin loanOrigin) bool {
			return origin.generation >= s.Generation() && origin.incarnation >= incarnation
		}
		if o.amount > 0 && !isNew(o.newestOrigin) || o.inUse > 0 && !isNew(o.oldestOrigin) {
			return false
		}
	}
	return true
}

func (s *State) handleTableAnswer(now time.Duration, from Sender, answer TableAnswer) {
	if answer.Generation == s.Generation() && answer.Incarnation == s.cfg.Incarnation && s.confirmedBy != nil {
		s.confirmedBy[from.Host] = true
		s.finishTakeover(now, s.otherHosts())
	}
}
