package rumor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// simulateGossip publishes notices on one host. It returns how many hosts know the last notice, how many rounds that
// took, and the largest number of frames sent by a host.
func simulateGossip(hosts, notices int, loss float64) (knowing, rounds, mostFrames int) {
	rng := rand.New(rand.NewPCG(1, 2))
	gossipers := make([]*Gossiper, hosts)
	for i := range gossipers {
		gossipers[i] = New(rng)
	}
	for i := range notices {
		gossipers[0].Publish(Notice{Topic: TopicCold, Key: fmt.Sprint("t", i), Epoch: 1}, hosts)
	}
	choose := func(n int) (peers []Peer) {
		for range n {
			peers = append(peers, Peer{ID: model.HostID(fmt.Sprint(rng.IntN(hosts)))})
		}
		return peers
	}
	frames := make([]int, hosts)
	for round := 1; round <= 40; round++ {
		for i, s := range gossipers {
			for _, message := range s.Tick(time.Duration(round)*100*time.Millisecond, choose) {
				frames[i]++
				mostFrames = max(mostFrames, frames[i])
				var to int
				_, _ = fmt.Sscan(string(message.To.ID), &to) // choose returns numeric ids
				if rng.Float64() >= loss {
					gossipers[to].Receive(message.Batch, hosts)
				}
			}
		}
		known := 0
		for _, s := range gossipers {
			if _, ok := s.Latest(TopicCold, fmt.Sprint("t", notices-1)); ok {
				known++
			}
		}
		if known > knowing {
			knowing, rounds = known, round
		}
	}
	return knowing, rounds, mostFrames
}

// Guards against a notice that misses hosts or takes more than 1 s, and against excessive traffic: the number of
// frames sent by a host is bounded by the logarithm of the number of hosts.
func TestNoticeReachesEveryHostWithFewFrames(t *testing.T) {
	for _, hosts := range []int{2, 12, 100, 1000} {
		knowing, rounds, frames := simulateGossip(hosts, 1, 0.05)
		require.Equal(t, hosts, knowing)
		require.LessOrEqual(t, rounds, 10)
		require.LessOrEqual(t, frames, 20)
	}
}

// Guards against a table that grows with the number of notices, and against an older notice replacing a newer one.
func TestTableIsBoundedAndKeepsTheNewest(t *testing.T) {
	s := New(rand.New(rand.NewPCG(1, 1)))
	for i := range 3 * maxNotices {
		require.True(t, s.Publish(Notice{Topic: TopicCold, Key: fmt.Sprint(i), Epoch: 2}, 10))
	}
	require.Equal(t, maxNotices, s.Len())
	require.LessOrEqual(t, len(s.pending), maxNotices)
	last := fmt.Sprint(3*maxNotices - 1)
	require.Empty(t, s.Receive(Batch{Notices: []Notice{{Topic: TopicCold, Key: last, Epoch: 1}, {Topic: TopicCold, Key: last, Epoch: 2}}}, 10))
	require.Len(t, s.Receive(Batch{Notices: []Notice{{Topic: TopicCold, Key: last, Epoch: 3}}}, 10), 1)
	require.False(t, s.Publish(Notice{Topic: TopicCold, Key: "large", Payload: make([]byte, MaxPayload+1)}, 10))
}
