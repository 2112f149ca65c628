package scatter

import (
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// newFastQuery returns a started query over 4 parts of 3 replicas, which needs 3 parts and has its soft deadline at 80 ms.
func newFastQuery(t *testing.T) (*Machine, map[int]Attempt) {
	f := &fakeFleet{rng: rand.New(rand.NewPCG(1, 1)), attempts: map[int]*sentAttempt{}}
	f.newer = snapshot.New([]model.IndexID{"a"}, targetReports(4, 4, 3))
	m := New(Config{
		Snapshot: f.newer.Choose(), Pinned: true, Mode: Fast, MinCoverage: 0.7, SoftDeadline: 80 * ms, Deadline: 500 * ms,
		RetryLost: true,
	}, f)
	sent := map[int]Attempt{}
	record(sent, m.Tick(0))
	require.Len(t, m.round.parts, 4)
	require.Len(t, sent, 4)
	return m, sent
}

// TestSuspectAsksAnotherShard guards against a suspect query that waits for its deadline at a shard whose targets refuse
// connections, or take no request in time, although another shard could clear it.
func TestSuspectAsksAnotherShard(t *testing.T) {
	f := &fakeFleet{rng: rand.New(rand.NewPCG(1, 1)), attempts: map[int]*sentAttempt{}}
	f.newer = snapshot.New([]model.IndexID{"a"}, targetReports(4, 4, 3))
	m := New(Config{
		Snapshot: f.newer.Choose(), Pinned: true, Mode: Fast, MinCoverage: 0.7, SoftDeadline: 80 * ms, Deadline: 500 * ms,
		RetryLost: true, RetryNotRun: true, Suspect: true,
	}, f)
	sent := map[int]Attempt{}
	record(sent, m.Tick(0))
	require.Len(t, sent, 1, "a suspect runs at one target at a time")
	for id := range replicasOfShard {
		record(sent, m.Fail(2*ms, id, FailedUnreachable))
	}
	require.Len(t, sent, replicasOfShard+1)
	require.NotEqual(t, sent[0].Part, sent[replicasOfShard].Part)
	record(sent, m.Reply(5*ms, replicasOfShard, anyReply{}))
	parts := map[int]bool{}
	for _, a := range sent {
		parts[a.Part] = true
	}
	require.Len(t, parts, 4, "an answer clears the query")
}

// TestSuspectBeginsAtItsFirstPart guards against a query that crashes targets and takes all those of one shard, because each host
// begins its run alone at the same shard.
func TestSuspectBeginsAtItsFirstPart(t *testing.T) {
	for first := range 9 {
		f := &fakeFleet{rng: rand.New(rand.NewPCG(1, 1)), attempts: map[int]*sentAttempt{}}
		f.newer = snapshot.New([]model.IndexID{"a"}, targetReports(4, 4, 3))
		m := New(Config{Snapshot: f.newer.Choose(), Pinned: true, Mode: Full, Deadline: 500 * ms, Suspect: true, FirstPart: first}, f)
		sent := map[int]Attempt{}
		record(sent, m.Tick(0))
		require.Len(t, sent, 1)
		require.Equal(t, first%4, sent[0].Part)
	}
}

const replicasOfShard = 3

func record(sent map[int]Attempt, actions []Action) {
	for _, action := range actions {
		if action.Type == Send {
			sent[action.Attempt.ID] = action.Attempt
		}
	}
}

// anyReply answers every part.
type anyReply struct{}

func (anyReply) Answers(*snapshot.Part) bool { return true }

// TestAnswerDoesNotWaitForCrashedShard guards the load pattern of a shard whose targets have all crashed: every query
// waited for its soft deadline, so answers of 45 ms took 81 ms of an objective of 100 ms, and a burst made them late.
func TestAnswerDoesNotWaitForCrashedShard(t *testing.T) {
	m, sent := newFastQuery(t)
	refused := 0
	for id := 0; id < len(sent) && refused < 3; id++ {
		if sent[id].Part == 0 {
			refused++
			record(sent, m.Fail(2*ms, id, FailedUnreachable))
		}
	}
	require.Equal(t, 3, refused, "each replica is tried once")
	require.False(t, m.Done(), "the other parts are awaited")
	now := 10 * ms
	for id := range 4 {
		if sent[id].Part != 0 {
			now += ms
			m.Reply(now, id, anyReply{})
		}
	}
	require.True(t, m.Done(), "the answer waits for a shard that accepts no connection")
	require.InDelta(t, 0.75, m.Result().Coverage.Fraction, 0.01)
}

// TestAnswerWaitsForShardThatMayReply guards against leaving out a shard too early: one replica that refuses, or fails in
// another way, says nothing about the others.
func TestAnswerWaitsForShardThatMayReply(t *testing.T) {
	for _, last := range []Failure{FailedNotSent, FailedShed, FailedLost} {
		m, sent := newFastQuery(t)
		failures := []Failure{FailedUnreachable, FailedUnreachable, last}
		for id := 0; id < len(sent) && len(failures) > 0; id++ {
			if sent[id].Part == 0 {
				record(sent, m.Fail(2*ms, id, failures[0]))
				failures = failures[1:]
			}
		}
		for id := range 4 {
			if sent[id].Part != 0 {
				m.Reply(10*ms, id, anyReply{})
			}
		}
		require.False(t, m.Done(), "%s", last)
		m.Tick(80 * ms)
		require.True(t, m.Done())
	}
}

// TestRefusedConnectionIsUnreachable guards the classification of a dial error that targetclient.ErrNotSent wraps.
func TestRefusedConnectionIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close()
	_, err = net.DialTimeout("tcp", listener.Addr().String(), time.Second)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.Equal(t, FailedUnreachable, Classify(fmt.Errorf("%w: %w", targetclient.ErrNotSent, err)))
	require.True(t, FailedUnreachable.NotRun())
	require.True(t, FailedUnreachable.replaceable())
}
