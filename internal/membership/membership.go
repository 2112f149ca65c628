package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Config holds the times of the probing. Zero values take the defaults.
type Config struct {
	// ProbeInterval is the time between two probes of a host.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for the answer to a probe before other hosts are asked to probe the member; after the
	// same time again without an answer the member is suspected.
	ProbeTimeout time.Duration
	// Suspicion is the time that a suspected member has to refute.
	Suspicion time.Duration
	// DeadInterval is the time between two probes of dead members, which find those that a cut has separated.
	DeadInterval time.Duration
	// Forget is the time after which a dead member that the host list does not name is forgotten.
	Forget time.Duration
}

const (
	// indirectProbes is the number of hosts that are asked to probe a member that did not answer.
	indirectProbes = 2
	// maxUpdates bounds the updates in one frame.
	maxUpdates = 6
)

func (c Config) withDefaults() Config {
	or := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	or(&c.ProbeInterval, time.Second)
	or(&c.ProbeTimeout, 300*time.Millisecond)
	or(&c.Suspicion, 2*time.Second)
	or(&c.DeadInterval, 5*time.Second)
	or(&c.Forget, 10*time.Minute)
	return c
}

// Probe asks a member for a sign of life.
type Probe struct {
	From Member
	// About is what the sender holds of the receiver if it does not take it for alive. The receiver refutes it.
	About   *Member
	Updates []Member
}

// Ack answers a Probe.
type Ack struct {
	From    Member
	Updates []Member
}

// Indirect asks the receiver to probe a member for the sender.
type Indirect struct {
	From   Member
	Target Member
}

// IndirectAck tells the sender of an Indirect that the member answered.
type IndirectAck struct {
	Target Member
}

// Message is a frame to send. Exactly one of the pointers is set.
type Message struct {
	// To is the receiver.
	To model.HostID
	// Address is the receiver's IP:port.
	Address     string
	Probe       *Probe
	Indirect    *Indirect
	IndirectAck *IndirectAck
}

// record is what a host holds of one member.
type record struct {
	Member
	since    time.Duration // when the state was entered
	suspect  bool          // it did not answer this host; others are not told before it is declared dead
	doubted  time.Duration // when it became suspect
	listed   bool          // the host list names the member
	place    int           // index in the probe order
	requests []requester   // hosts that asked for an indirect probe
}

type requester struct {
	id      model.HostID
	address string
}

type probing struct {
	target   model.HostID
	deadline time.Duration
	indirect bool
}

// Membership is one host's list of members. It is not safe for concurrent use.
type Membership struct {
	cfg     Config
	rng     *rand.Rand
	self    Member
	members map[model.HostID]*record
	order   []model.HostID // the members in the order of probing
	next    int
	// dead and suspects hold at least the members that are so.
	dead     []model.HostID
	suspects []model.HostID
	queue    updateQueue
	version  uint64
	local    uint64 // version of the members in this host\'s data centre

	lastTick  time.Duration
	nextProbe time.Duration
	nextDead  time.Duration
	// nextDeadIndex is the place in the list of dead members.
	nextDeadIndex int
	rejoinUntil   time.Duration
	pending       []probing
	joined        bool
	// superseded tells that a newer run of this host is known.
	superseded bool
}

// New returns a list that holds this host only.
func New(cfg Config, self Member, rng *rand.Rand) *Membership {
	m := &Membership{cfg: cfg.withDefaults(), rng: rng, self: self, members: map[model.HostID]*record{}, version: 1, local: 1}
	m.self.State = Alive
	m.nextProbe = time.Duration(rng.Int64N(int64(m.cfg.ProbeInterval)))
	m.nextDead = time.Duration(rng.Int64N(int64(m.cfg.DeadInterval)))
	m.queue.add(m.self.ID)
	return m
}

// Self returns this host's own record.
func (m *Membership) Self() Member { return m.self }

// Version grows whenever a member changes.
func (m *Membership) Version() uint64 { return m.version }

// LocalVersion grows whenever a member of this host's data centre changes.
func (m *Membership) LocalVersion() uint64 { return m.local }

// Local returns the members of this host's data centre that are not dead, this host included.
func (m *Membership) Local() []Member {
	result := []Member{m.self}
	for _, r := range m.members {
		if r.State != Dead && r.DataCentre == m.self.DataCentre {
			result = append(result, r.Member)
		}
	}
	return result
}

// Superseded tells whether a newer run of this host is known, so that this one must stop.
func (m *Membership) Superseded() bool { return m.superseded }

// Supersede notes that a newer run of this host is known.
func (m *Membership) Supersede() { m.superseded = true }

// Joined tells whether some member has answered.
func (m *Membership) Joined() bool { return m.joined }

// Members returns the members that are not dead, this host included, in no fixed order.
func (m *Membership) Members() []Member {
	result := make([]Member, 0, len(m.members)+1)
	result = append(result, m.self)
	for _, r := range m.members {
		if r.State != Dead {
			result = append(result, r.shown())
		}
	}
	return result
}

// shown returns the member with this host's own suspicion.
func (r *record) shown() Member {
	shown := r.Member
	if r.suspect && shown.State == Alive {
		shown.State = Suspect
	}
	return shown
}

// Len returns the number of known members, dead ones included.
func (m *Membership) Len() int { return len(m.members) + 1 }

// Lookup returns what is known of a member, and since when it has been in its state.
func (m *Membership) Lookup(id model.HostID) (Member, time.Duration, bool) {
	if id == m.self.ID {
		return m.self, 0, true
	}
	r, ok := m.members[id]
	if !ok {
		return Member{}, 0, false
	}
	return r.Member, r.since, true
}

// Random returns up to n different members that are alive, without this host.
func (m *Membership) Random(n int) []Member {
	var chosen []Member
	if len(m.order) == 0 {
		return nil
	}
	// A bounded number of draws keeps the cost independent of how many members are dead.
	for range 4 * n {
		r := m.members[m.order[m.rng.IntN(len(m.order))]]
		if r.State != Alive {
			continue
		}
		if slices.ContainsFunc(chosen, func(c Member) bool { return c.ID == r.ID }) {
			continue
		}
		chosen = append(chosen, r.Member)
		if len(chosen) == n {
			break
		}
	}
	return chosen
}

// Seed takes the platform's host list, with incarnation 0. It adds hosts and never overrides what members said.
func (m *Membership) Seed(now time.Duration, listed []Member) {
	named := make(map[model.HostID]bool, len(listed))
	for _, member := range listed {
		named[member.ID] = true
		if member.ID == m.self.ID {
			continue
		}
		if r, ok := m.members[member.ID]; ok {
			r.listed = true
			continue
		}
		m.insert(now, member).listed = true
	}
	for id, r := range m.members {
		r.listed = named[id]
	}
}

// Leave announces that this host stops by plan.
func (m *Membership) Leave() Member {
	m.self.State = Leaving
	m.self.Sequence++
	m.changed(m.self)
	return m.self
}

// Restart gives this host an incarnation above the known one. It is used when the clock of the host stepped back, before
// the host has joined.
func (m *Membership) Restart(known model.Incarnation) {
	if known < m.self.Incarnation {
		return
	}
	m.self.Incarnation = known + 1
	m.self.Sequence = 0
	m.superseded = false
	m.changed(m.self)
}

func (m *Membership) insert(now time.Duration, member Member) *record {
	r := &record{Member: member, since: now}
	m.members[member.ID] = r
	// A random place in the order keeps the time until a new member is probed independent of its name.
	place := m.rng.IntN(len(m.order) + 1)
	m.order = append(m.order, member.ID)
	r.place = len(m.order) - 1
	m.swap(place, r.place)
	m.bump(r.Member)
	return r
}

func (m *Membership) swap(i, j int) {
	m.order[i], m.order[j] = m.order[j], m.order[i]
	m.members[m.order[i]].place = i
	m.members[m.order[j]].place = j
}

func (m *Membership) forget(id model.HostID) {
	r := m.members[id]
	last := len(m.order) - 1
	m.swap(r.place, last)
	m.order = m.order[:last]
	delete(m.members, id)
	m.bump(r.Member)
}

// bump notes that a member has changed.
func (m *Membership) bump(member Member) {
	m.version++
	if member.DataCentre == m.self.DataCentre {
		m.local++
	}
}

func (m *Membership) changed(member Member) {
	m.bump(member)
	m.queue.add(member.ID)
}

// Merge takes a statement about a member.
func (m *Membership) Merge(now time.Duration, stated Member) {
	if stated.ID == m.self.ID {
		m.mergeSelf(stated)
		return
	}
	if stated.State == Suspect {
		stated.State = Alive // a suspicion concerns the host that has it
	}
	r, ok := m.members[stated.ID]
	if !ok {
		if stated.State != Dead {
			m.insert(now, stated)
			m.queue.add(stated.ID)
		}
		return
	}
	if !supersedes(stated, r.Member) {
		return
	}
	m.set(now, r, stated)
}

func (m *Membership) set(now time.Duration, r *record, stated Member) {
	if r.DataCentre != stated.DataCentre {
		m.bump(r.Member) // it leaves its data centre, which may be this host's
	}
	r.since = now
	r.suspect = false
	r.requests = nil
	r.Member = stated
	if stated.State == Dead {
		m.dead = append(m.dead, stated.ID)
	}
	m.changed(stated)
}

// mergeSelf refutes a statement that this host is not alive.
func (m *Membership) mergeSelf(stated Member) {
	switch {
	case stated.Incarnation > m.self.Incarnation:
		m.superseded = true
	case stated.Incarnation < m.self.Incarnation:
	case stated.State != m.self.State && stated.Sequence >= m.self.Sequence:
		m.self.Sequence = stated.Sequence + 1
		m.changed(m.self)
	}
}

// supersedes tells whether a statement is newer than another one about the same host.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return rank(a.State) > rank(b.State)
}

func rank(s State) int {
	switch s {
	case Suspect:
		return 1
	case Leaving:
		return 2
	case Dead:
		return 3
	default:
		return 0
	}
}

// updates returns the statements to add to a frame.
func (m *Membership) updates() []Member {
	// Three times the logarithm of the number of hosts spreads a statement to all of them with high probability.
	limit := 3 * bits.Len(uint(len(m.members)+1))
	ids := m.queue.take(maxUpdates, limit)
	var result []Member
	for _, id := range ids {
		if id == m.self.ID {
			result = append(result, m.self)
		} else if r, ok := m.members[id]; ok {
			result = append(result, r.Member)
		}
	}
	return result
}
