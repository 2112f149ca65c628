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
	_ = flag.Set("rapid.seed", "1") // rapid registers the flag
	os.Exit(m.Run())
}

// testCluster connects several members with a network that delivers each frame immediately or drops it.
type testCluster struct {
	hosts map[model.HostID]*Membership
	drops func(from, to model.HostID) bool
	now   time.Duration
}

func newTestCluster(count int) *testCluster {
	c := &testCluster{hosts: map[model.HostID]*Membership{}, drops: func(_, _ model.HostID) bool { return false }}
	var listed []Member
	for i := range count {
		id := model.HostID(fmt.Sprint("h", i))
		listed = append(listed, Member{ID: id, Address: string(id), DataCentre: "a", State: Alive})
	}
	for i, self := range listed {
		self.Incarnation = 1
		c.hosts[self.ID] = New(Config{}, self, rand.New(rand.NewPCG(uint64(i), 1)))
		c.hosts[self.ID].Seed(0, listed)
	}
	return c
}

func (c *testCluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += 50 * time.Millisecond {
		for i := range len(c.hosts) {
			id := model.HostID(fmt.Sprint("h", i))
			if c.hosts[id] != nil {
				c.deliver(id, c.hosts[id].Tick(c.now))
			}
		}
	}
}

func (c *testCluster) deliver(from model.HostID, messages []Message) {
	for _, m := range messages {
		to := c.hosts[m.To]
		if to == nil || c.drops(from, m.To) {
			continue
		}
		switch {
		case m.Probe != nil:
			ack := to.HandleProbe(c.now, *m.Probe)
			if !c.drops(m.To, from) {
				c.deliver(from, c.hosts[from].HandleAck(c.now, ack))
			}
		case m.IndirectProbe != nil:
			c.deliver(m.To, to.HandleIndirectProbe(c.now, *m.IndirectProbe))
		case m.IndirectProbeAck != nil:
			to.HandleIndirectProbeAck(c.now, *m.IndirectProbeAck)
		}
	}
}

// Guards against a result of merging that depends on the order in which updates arrive: every order must lead to the
// newest state.
func TestMergeDoesNotDependOnTheOrder(t *testing.T) {
	update := rapid.Custom(func(t *rapid.T) Member {
		return Member{
			ID: "m", Incarnation: model.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			Sequence: rapid.Uint64Range(0, 2).Draw(t, "sequence"),
			State:    rapid.SampledFrom([]State{Alive, Leaving, Dead}).Draw(t, "state"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(update, 1, 8).Draw(t, "updates")
		var results []Member
		for _, order := range [][]Member{updates, rapid.Permutation(updates).Draw(t, "order")} {
			m := New(Config{}, Member{ID: "self", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
			m.Merge(0, Member{ID: "m", State: Alive})
			highest := model.Incarnation(0)
			for _, s := range order {
				m.Merge(0, s)
				member, _, _ := m.Lookup("m")
				require.GreaterOrEqual(t, member.Incarnation, highest, "an older incarnation replaced a newer one")
				highest = member.Incarnation
			}
			member, _, _ := m.Lookup("m")
			results = append(results, member)
		}
		require.Equal(t, results[0], results[1])
	})
}

// Guards against a dead host that is never detected, and against declaring a host dead that is unreachable from one
// host but reachable from others.
func TestDetectsDeadMemberAndKeepsReachableOne(t *testing.T) {
	c := newTestCluster(8)
	c.drops = func(from, to model.HostID) bool { return from == "h0" && to == "h1" || from == "h1" && to == "h0" }
	delete(c.hosts, "h7")
	c.run(15 * time.Second)
	for id, m := range c.hosts {
		for other := range c.hosts {
			member, _, ok := m.Lookup(other)
			require.True(t, ok)
			require.Equal(t, Alive, member.State, "%s of %s", other, id)
		}
		member, _, _ := m.Lookup("h7")
		require.Equal(t, Dead, member.State, "h7 of %s", id)
		require.Len(t, m.Members(), 7)
	}
}

// Guards against a resumed process that interprets its own missed deadlines as failures of the other members.
func TestPauseDoesNotDeclareMembersDead(t *testing.T) {
	c := newTestCluster(3)
	c.run(3 * time.Second)
	paused := c.hosts["h0"]
	paused.suspect(c.now, paused.members["h1"])
	paused.Tick(c.now + time.Hour)
	paused.Tick(c.now + time.Hour + time.Second)
	require.Len(t, paused.Members(), 3)
}

// Guards against a list that keeps every host that ever existed, and against removing dead hosts that are still in
// the host list.
func TestLongDeadMembersAreForgotten(t *testing.T) {
	c := newTestCluster(3)
	m := c.hosts["h0"]
	m.Merge(0, Member{ID: "h1", Incarnation: 1, State: Dead})
	m.Merge(0, Member{ID: "gone", Incarnation: 1, State: Alive})
	m.Merge(0, Member{ID: "gone", Incarnation: 1, State: Dead})
	m.expireMembers(11 * time.Minute)
	_, _, known := m.Lookup("gone")
	require.False(t, known)
	_, _, known = m.Lookup("h1")
	require.True(t, known)
}

// Guards against a planned shutdown that is treated as a failure or reverted by an older update.
func TestLeave(t *testing.T) {
	c := newTestCluster(3)
	c.run(3 * time.Second)
	left := c.hosts["h0"].Leave()
	require.Equal(t, Leaving, left.State)
	c.run(5 * time.Second)
	for _, id := range []model.HostID{"h1", "h2"} {
		c.hosts[id].Merge(c.now, Member{ID: "h0", Incarnation: 1, State: Alive})
		member, _, _ := c.hosts[id].Lookup("h0")
		require.Equal(t, Leaving, member.State)
	}
}
