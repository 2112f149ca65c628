package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid registers the flag, so it exists
	os.Exit(m.Run())
}

// group is several hosts whose frames arrive at once, or not at all.
type group struct {
	hosts map[model.HostID]*Membership
	lost  func(from, to model.HostID) bool
	now   time.Duration
}

func newGroup(count int) *group {
	g := &group{hosts: map[model.HostID]*Membership{}, lost: func(_, _ model.HostID) bool { return false }}
	var listed []Member
	for i := range count {
		id := model.HostID(fmt.Sprint("h", i))
		listed = append(listed, Member{ID: id, Address: string(id), DataCentre: "a", State: Alive})
	}
	for i, self := range listed {
		self.Incarnation = 1
		g.hosts[self.ID] = New(Config{}, self, rand.New(rand.NewPCG(uint64(i), 1)))
		g.hosts[self.ID].Seed(0, listed)
	}
	return g
}

func (g *group) run(d time.Duration) {
	for end := g.now + d; g.now < end; g.now += 50 * time.Millisecond {
		for i := range len(g.hosts) {
			id := model.HostID(fmt.Sprint("h", i))
			if g.hosts[id] != nil {
				g.deliver(id, g.hosts[id].Tick(g.now))
			}
		}
	}
}

func (g *group) deliver(from model.HostID, messages []Message) {
	for _, m := range messages {
		to := g.hosts[m.To]
		if to == nil || g.lost(from, m.To) {
			continue
		}
		switch {
		case m.Probe != nil:
			ack := to.HandleProbe(g.now, *m.Probe)
			if !g.lost(m.To, from) {
				g.deliver(from, g.hosts[from].HandleAck(g.now, ack))
			}
		case m.Indirect != nil:
			g.deliver(m.To, to.HandleIndirect(g.now, *m.Indirect))
		case m.IndirectAck != nil:
			to.HandleIndirectAck(g.now, *m.IndirectAck)
		}
	}
}

// Guards against statements whose order of arrival decides what a host believes: all orders have to lead to the newest.
func TestMergeDoesNotDependOnTheOrder(t *testing.T) {
	statement := rapid.Custom(func(t *rapid.T) Member {
		return Member{
			ID: "m", Incarnation: model.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			Sequence: rapid.Uint64Range(0, 2).Draw(t, "sequence"),
			State:    rapid.SampledFrom([]State{Alive, Leaving, Dead}).Draw(t, "state"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		statements := rapid.SliceOfN(statement, 1, 8).Draw(t, "statements")
		var results []Member
		for _, order := range [][]Member{statements, rapid.Permutation(statements).Draw(t, "order")} {
			m := New(Config{}, Member{ID: "self", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
			m.Merge(0, Member{ID: "m", State: Alive})
			highest := model.Incarnation(0)
			for _, s := range order {
				m.Merge(0, s)
				member, _, _ := m.Lookup("m")
				require.GreaterOrEqual(t, member.Incarnation, highest, "an earlier run replaced a later one")
				highest = member.Incarnation
			}
			member, _, _ := m.Lookup("m")
			results = append(results, member)
		}
		require.Equal(t, results[0], results[1])
	})
}

// Guards against a dead host that stays in the list, and against a host that is declared dead by one that can't reach it
// while others can.
func TestDeadMemberIsFoundAndReachableOneIsKept(t *testing.T) {
	g := newGroup(8)
	g.lost = func(from, to model.HostID) bool { return from == "h0" && to == "h1" || from == "h1" && to == "h0" }
	delete(g.hosts, "h7")
	g.run(15 * time.Second)
	for id, m := range g.hosts {
		for other := range g.hosts {
			member, _, ok := m.Lookup(other)
			require.True(t, ok)
			require.Equal(t, Alive, member.State, "%s of %s", other, id)
		}
		member, _, _ := m.Lookup("h7")
		require.Equal(t, Dead, member.State, "h7 of %s", id)
		require.Len(t, m.Members(), 7)
	}
}

// Guards against a process that was paused and then takes its own missed deadlines for the death of the others.
func TestPauseIsNoEvidence(t *testing.T) {
	g := newGroup(3)
	g.run(3 * time.Second)
	paused := g.hosts["h0"]
	paused.suspect(g.now, paused.members["h1"])
	paused.Tick(g.now + time.Hour)
	paused.Tick(g.now + time.Hour + time.Second)
	require.Len(t, paused.Members(), 3)
}

// Guards against a list that grows with every host that ever was, and against forgetting those that the platform names.
func TestLongDeadMembersAreForgotten(t *testing.T) {
	g := newGroup(3)
	m := g.hosts["h0"]
	m.Merge(0, Member{ID: "h1", Incarnation: 1, State: Dead})
	m.Merge(0, Member{ID: "gone", Incarnation: 1, State: Alive})
	m.Merge(0, Member{ID: "gone", Incarnation: 1, State: Dead})
	m.expireMembers(11 * time.Minute)
	_, _, known := m.Lookup("gone")
	require.False(t, known)
	_, _, known = m.Lookup("h1")
	require.True(t, known)
}

// Guards against a planned leave that looks like a death, or is undone by an older statement.
func TestLeave(t *testing.T) {
	g := newGroup(3)
	g.run(3 * time.Second)
	left := g.hosts["h0"].Leave()
	require.Equal(t, Leaving, left.State)
	g.run(5 * time.Second)
	for _, id := range []model.HostID{"h1", "h2"} {
		g.hosts[id].Merge(g.now, Member{ID: "h0", Incarnation: 1, State: Alive})
		member, _, _ := g.hosts[id].Lookup("h0")
		require.Equal(t, Leaving, member.State)
	}
}
