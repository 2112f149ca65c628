package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Config holds the timing parameters. Zero values select the defaults.
type Config struct {
	// ProbeInterval is the time between two probes sent by this host.
	ProbeInterval time.Duration
	// ProbeTimeout is the time to wait for an ack before other hosts are asked to probe the member indirectly. If
	// there is no ack within the same time again, the member becomes suspected.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected member has to answer before it is declared dead.
	SuspicionTimeout time.Duration
	// DeadProbeInterval is the time between two probes of dead members, which detect members that have returned after
	// a network partition.
	DeadProbeInterval time.Duration
	// ForgetAfter is the time after which a dead member that is not in the host list is removed.
	ForgetAfter time.Duration
}

const (
	// indirectProbes is the number of hosts that are asked to probe a member that did not answer.
	indirectProbes = 2
	// maxUpdates bounds the piggybacked updates in one frame.
	maxUpdates = 6
)

func (c Config) withDefaults() Config {
	setDefault := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&c.ProbeInterval, time.Second)
	setDefault(&c.ProbeTimeout, 300*time.Millisecond)
	setDefault(&c.SuspicionTimeout, 2*time.Second)
	setDefault(&c.DeadProbeInterval, 5*time.Second)
	setDefault(&c.ForgetAfter, 10*time.Minute)
	return c
}

// Probe requests an Ack from a member.
type Probe struct {
	From Member
	// About is what the sender knows about the receiver if it does not consider it alive, so that the receiver can
	// refute it.
	About   *Member
	Updates []Member
}

// Ack answers a Probe.
type Ack struct {
	From    Member
	Updates []Member
}

// IndirectProbe requests the receiver to probe a member on behalf of the sender.
type IndirectProbe struct {
	From   Member
	Target Member
}

// IndirectProbeAck tells the sender of an IndirectProbe that the member answered.
type IndirectProbeAck struct {
	Target Member
}

// Message is a frame to send. Exactly one of the pointers is set.
type Message struct {
	// To is the receiving host.
	To model.HostID
	// Address is the receiver's IP:port.
	Address          string
	Probe            *Probe
	IndirectProbe    *IndirectProbe
	IndirectProbeAck *IndirectProbeAck
}

// record is the local state of one member.
type record struct {
	Member
	stateSince  time.Duration // when the member entered its state
	suspected   bool          // the member did not answer this host; disseminated only once declared dead
	suspectedAt time.Duration // when the member became suspected
	listed      bool          // the host list contains the member
	orderIndex  int           // index in the probe order
	requesters  []requester   // hosts that asked for an indirect probe
}

type requester struct {
	id      model.HostID
	address string
}

type pendingProbe struct {
	target   model.HostID
	deadline time.Duration
	indirect bool
}

// Membership is the member list of one host. It is not safe for concurrent use.
type Membership struct {
	cfg         Config
	rng         *rand.Rand
	self        Member
	members     map[model.HostID]*record
	order       []model.HostID // members in probe order
	nextInOrder int
	// deadIDs and suspectIDs contain all dead and suspected members. They may also contain members that have since
	// left that state; expireMembers removes those.
	deadIDs      []model.HostID
	suspectIDs   []model.HostID
	queue        updateQueue
	version      uint64
	localVersion uint64 // version of the members in this host's data centre

	lastTick      time.Duration
	nextProbe     time.Duration
	nextDeadProbe time.Duration
	// nextDeadIndex is the position in deadIDs, used to probe the dead members in turn.
	nextDeadIndex int
	rejoinUntil   time.Duration
	pending       []pendingProbe
	joined        bool
	// superseded is set when a newer run of this host is known.
	superseded bool
}

// New returns a member list that contains only this host.
func New(cfg Config, self Member, rng *rand.Rand) *Membership {
	m := &Membership{cfg: cfg.withDefaults(), rng: rng, self: self, members: map[model.HostID]*record{}, version: 1, localVersion: 1}
	m.self.State = Alive
	m.nextProbe = time.Duration(rng.Int64N(int64(m.cfg.ProbeInterval)))
	m.nextDeadProbe = time.Duration(rng.Int64N(int64(m.cfg.DeadProbeInterval)))
	m.queue.pushFront(m.self.ID)
	return m
}

// Self returns this host's own record.
func (m *Membership) Self() Member { return m.self }

// Version returns a number that increases whenever a member changes.
func (m *Membership) Version() uint64 { return m.version }

// LocalVersion returns a number that increases whenever a member of this host's data centre changes.
func (m *Membership) LocalVersion() uint64 { return m.localVersion }

// Local returns the members of this host's data centre that are not dead, including this host.
func (m *Membership) Local() []Member {
	result := []Member{m.self}
	for _, r := range m.members {
		if r.State != Dead && r.DataCentre == m.self.DataCentre {
			result = append(result, r.Member)
		}
	}
	return result
}

// Superseded reports whether a newer run of this host is known, so that this process must stop.
func (m *Membership) Superseded() bool { return m.superseded }

// MarkSuperseded records that a newer run of this host is known.
func (m *Membership) MarkSuperseded() { m.superseded = true }

// Joined reports whether any member has answered a probe.
func (m *Membership) Joined() bool { return m.joined }

// Members returns the members that are not dead, including this host, in unspecified order.
func (m *Membership) Members() []Member {
	result := make([]Member, 0, len(m.members)+1)
	result = append(result, m.self)
	for _, r := range m.members {
		if r.State != Dead {
			result = append(result, r.withSuspicion())
		}
	}
	return result
}

// withSuspicion returns the member with state Suspect if this host suspects it.
func (r *record) withSuspicion() Member {
	shown := r.Member
	if r.suspected && shown.State == Alive {
		shown.State = Suspect
	}
	return shown
}

// Len returns the number of known members, including this host and dead members.
func (m *Membership) Len() int { return len(m.members) + 1 }

// Lookup returns the known state of a member and when it entered that state.
func (m *Membership) Lookup(id model.HostID) (Member, time.Duration, bool) {
	if id == m.self.ID {
		return m.self, 0, true
	}
	r, ok := m.members[id]
	if !ok {
		return Member{}, 0, false
	}
	return r.Member, r.stateSince, true
}

// RandomAlive returns up to n distinct alive members, excluding this host.
func (m *Membership) RandomAlive(n int) []Member {
	var chosen []Member
	if len(m.order) == 0 {
		return nil
	}
	// Bounding the draws keeps the cost independent of the number of dead members.
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

// Seed adds the hosts of the platform's host list, with incarnation 0. It never overrides information from members.
func (m *Membership) Seed(now time.Duration, listed []Member) {
	inList := make(map[model.HostID]bool, len(listed))
	for _, member := range listed {
		inList[member.ID] = true
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
		r.listed = inList[id]
	}
}

// Leave marks this host as leaving before a planned shutdown and returns its record to announce.
func (m *Membership) Leave() Member {
	m.self.State = Leaving
	m.self.Sequence++
	m.recordChange(m.self)
	return m.self
}

// RaiseIncarnation gives this host an incarnation above the known one. It is used before joining if the host's clock
// has stepped back.
func (m *Membership) RaiseIncarnation(known model.Incarnation) {
	if known < m.self.Incarnation {
		return
	}
	m.self.Incarnation = known + 1
	m.self.Sequence = 0
	m.superseded = false
	m.recordChange(m.self)
}

func (m *Membership) insert(now time.Duration, member Member) *record {
	r := &record{Member: member, stateSince: now}
	m.members[member.ID] = r
	// Inserting at a random position makes the time until the first probe independent of the host id.
	position := m.rng.IntN(len(m.order) + 1)
	m.order = append(m.order, member.ID)
	r.orderIndex = len(m.order) - 1
	m.swapOrder(position, r.orderIndex)
	m.bumpVersion(r.Member)
	return r
}

func (m *Membership) swapOrder(i, j int) {
	m.order[i], m.order[j] = m.order[j], m.order[i]
	m.members[m.order[i]].orderIndex = i
	m.members[m.order[j]].orderIndex = j
}

func (m *Membership) forget(id model.HostID) {
	r := m.members[id]
	last := len(m.order) - 1
	m.swapOrder(r.orderIndex, last)
	m.order = m.order[:last]
	delete(m.members, id)
	m.bumpVersion(r.Member)
}

// bumpVersion increments the versions after a change of a member.
func (m *Membership) bumpVersion(member Member) {
	m.version++
	if member.DataCentre == m.self.DataCentre {
		m.localVersion++
	}
}

// recordChange increments the versions and queues the member's update for dissemination.
func (m *Membership) recordChange(member Member) {
	m.bumpVersion(member)
	m.queue.pushFront(member.ID)
}

// Merge applies an update about a member if it is newer than the known state.
func (m *Membership) Merge(now time.Duration, update Member) {
	if update.ID == m.self.ID {
		m.refute(update)
		return
	}
	if update.State == Suspect {
		update.State = Alive // a suspicion is local to the host that holds it
	}
	r, ok := m.members[update.ID]
	if !ok {
		if update.State != Dead {
			m.insert(now, update)
			m.queue.pushFront(update.ID)
		}
		return
	}
	if !supersedes(update, r.Member) {
		return
	}
	m.setMember(now, r, update)
}

func (m *Membership) setMember(now time.Duration, r *record, update Member) {
	if r.DataCentre != update.DataCentre {
		m.bumpVersion(r.Member) // the member leaves its data centre, which may be this host's
	}
	r.stateSince = now
	r.suspected = false
	r.requesters = nil
	r.Member = update
	if update.State == Dead {
		m.deadIDs = append(m.deadIDs, update.ID)
	}
	m.recordChange(update)
}

// refute handles an update about this host and refutes a state other than its own. An update with a higher
// incarnation means that a newer run has superseded this one.
func (m *Membership) refute(update Member) {
	switch {
	case update.Incarnation > m.self.Incarnation:
		m.superseded = true
	case update.Incarnation < m.self.Incarnation:
	case update.State != m.self.State && update.Sequence >= m.self.Sequence:
		m.self.Sequence = update.Sequence + 1
		m.recordChange(m.self)
	}
}

// supersedes reports whether update a about a host is newer than update b.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return stateRank(a.State) > stateRank(b.State)
}

func stateRank(s State) int {
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

// takeUpdates returns the updates to piggyback on a frame.
func (m *Membership) takeUpdates() []Member {
	// Sending an update three times the logarithm of the number of hosts spreads it to all of them with high probability.
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
