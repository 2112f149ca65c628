package share

import (
	"maps"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// questionInterval is the time between two questions about a table to the same host.
	questionInterval = 200 * time.Millisecond
	// runOutTime is the time after the start of a process when the attempts that its former run had sent to cold targets
	// have ended: 1.5 s with a clock that is 10 % slower, and time for the messages.
	runOutTime = 2500 * time.Millisecond
)

// takeover is the short way to use what a table gives. The owner asks every host of the tables that may still be in
// force elsewhere; when all of them hold the newest one and use nothing from before it, no wait is needed. A host that
// does not answer leaves the owner to the takeover wait. Large fleets always wait.
type takeover struct {
	cleared map[model.HostID]bool
	askedAt time.Duration
	asked   bool
	// answered is the newest generation that this host has answered for. It accepts no loans from before it.
	answered uint64
}

func (t *takeover) restart() {
	t.cleared = map[model.HostID]bool{}
	t.asked = false
}

// ask returns the questions that are due.
func (s *State) ask(now time.Duration) []Send {
	others := s.others()
	if s.fenced || len(s.tables) == 1 || s.newest().generation == 0 || len(others) >= allOwnersLimit {
		return nil
	}
	s.takeOver(now, others)
	if len(s.tables) == 1 || s.asked && now-s.askedAt < questionInterval {
		return nil
	}
	s.asked = true
	s.askedAt = now
	var sends []Send
	for _, host := range others {
		if !s.cleared[host] {
			sends = append(sends, Send{host, TableQuestion{s.Generation()}})
		}
	}
	return sends
}

// others returns the other hosts of all tables that may be in force elsewhere.
func (s *State) others() []model.HostID {
	hosts := map[model.HostID]bool{}
	for _, table := range s.tables {
		for _, host := range table.hosts {
			hosts[host.ID] = true
		}
	}
	delete(hosts, s.cfg.Self)
	return slices.Sorted(maps.Keys(hosts))
}

// takeOver forgets the older tables when every other host has answered.
func (s *State) takeOver(now time.Duration, others []model.HostID) {
	if now-s.cfg.Started < runOutTime {
		return
	}
	for _, host := range others {
		if !s.cleared[host] {
			return
		}
	}
	s.advanceAll(now)
	s.tables = s.tables[len(s.tables)-1:]
	for _, e := range s.entries {
		s.refreshRate(e, now)
	}
}

// answer answers a question when this host holds the table, and uses and lends nothing from before it.
func (s *State) answer(now time.Duration, from Sender, question TableQuestion) []Send {
	if question.Generation != s.Generation() || question.Generation == 0 {
		return nil
	}
	s.advanceAll(now)
	for _, e := range s.entries {
		if !s.isClear(e, from) {
			return nil
		}
	}
	s.answered = max(s.answered, question.Generation)
	return []Send{{from.Host, TableAnswer{question.Generation, from.Incarnation}}}
}

// isClear tells whether a key's use at this host is within what the newest table gives, and whether no loan stems from an
// older table or from a former run of the host that asks.
func (s *State) isClear(e *entry, asker Sender) bool {
	if e.lent()+float64(e.ownInUse) > s.part(e, s.newest())+1e-9 {
		return false
	}
	for owner, d := range e.debts {
		run := model.Incarnation(0)
		if owner == asker.Host {
			run = asker.Incarnation
		}
		isNew := func(o origin) bool { return o.generation >= s.Generation() && o.incarnation >= run }
		if d.amount > 0 && !isNew(d.given) || d.inUse > 0 && !isNew(d.oldest) {
			return false
		}
	}
	return true
}

func (s *State) noteAnswer(now time.Duration, from Sender, answer TableAnswer) {
	if answer.Generation == s.Generation() && answer.Run == s.cfg.Run && s.cleared != nil {
		s.cleared[from.Host] = true
		s.takeOver(now, s.others())
	}
}
