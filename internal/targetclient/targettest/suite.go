package targettest

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/corpus"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	serviceTime = 10 * time.Millisecond
	deadlineMS  = 100
	version     = 5
)

// Fixture is a client and the only target that it can reach.
type Fixture struct {
	t        *testing.T
	Client   targetclient.TargetClient
	Standin  *target.Target
	Target   model.Target
	mu       sync.Mutex
	sequence uint64
}

// NewTargets returns a stand-in with two slots that holds the only shard of index "parts".
func NewTargets() map[model.TargetID]*target.Target {
	shards := corpus.EvenShardMap(1)
	held := target.IndexVersion{Index: "parts", Version: version, ShardMap: shards, Held: []model.ShardID{shards[0].ID}}
	return map[model.TargetID]*target.Target{"t": target.New(target.Config{
		Target: model.Target{ID: "t", Slots: 2, ColdSlots: 1}, Incarnation: 1, Indexes: []target.IndexVersion{held}, ServiceTime: serviceTime,
	})}
}

// NewFixture returns a fixture for the target "t" of NewTargets.
func NewFixture(t *testing.T, client targetclient.TargetClient, standin *target.Target) *Fixture {
	return &Fixture{t: t, Client: client, Standin: standin, Target: model.Target{ID: "t", Address: "t"}}
}

// Search sends one search attempt.
func (f *Fixture) Search(ctx context.Context) (model.AttemptID, targetclient.SearchReply, error) {
	request := targetclient.SearchRequest{
		Attempt: f.next(), Index: "parts", Shard: "s00", Version: version, Query: json.RawMessage(`{}`), Limit: 5, DeadlineMS: deadlineMS,
	}
	reply, err := f.Client.Search(ctx, f.Target, request)
	return request.Attempt, reply, err
}

// Execute sends one operation.
func (f *Fixture) Execute(ctx context.Context) (model.AttemptID, error) {
	id := f.next()
	request := targetclient.ExecuteRequest{Attempt: id, Operation: "record", Payload: json.RawMessage(`1`), DeadlineMS: deadlineMS}
	_, err := f.Client.Execute(ctx, f.Target, request)
	return id, err
}

func (f *Fixture) next() model.AttemptID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	return model.AttemptID{Incarnation: 9, Sequence: f.sequence}
}

// runCounts returns how often the target has run each attempt.
func (f *Fixture) runCounts() map[model.AttemptID]int {
	counts := map[model.AttemptID]int{}
	for _, record := range f.Standin.Records() {
		if record.Ran {
			counts[record.Attempt]++
		}
	}
	return counts
}

// Run runs the conformance suite. newClient returns a client that can reach the targets, and a function that stops it.
func Run(t *testing.T, newClient func(targets map[model.TargetID]*target.Target) (client targetclient.TargetClient, stop func())) {
	cases := map[string]func(*Fixture){
		"answers":         answers,
		"refusals":        refusals,
		"damaged replies": damagedReplies,
		"silence":         noReply,
		"reset":           reset,
		"late reply":      lateReply,
		"cancel":          cancel,
		"context":         cancelledContext,
		"down":            unreachable,
		"sent once":       sentOnce,
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets := NewTargets()
				client, stop := newClient(targets)
				check(NewFixture(t, client, targets["t"]))
				stop()
				time.Sleep(time.Minute) // lets the timers of the stand-in and of status requests expire
			})
		})
	}
}

func answers(f *Fixture) {
	id, reply, err := f.Search(context.Background())
	require.NoError(f.t, err)
	require.Equal(f.t, id, reply.Attempt)
	want := corpus.Search(corpus.Documents("parts", version), model.KeyRange{High: model.KeySpace}, "", 5)
	require.Equal(f.t, want, reply.Hits)
	status, err := f.Client.Status(context.Background(), f.Target)
	require.NoError(f.t, err)
	require.Equal(f.t, model.TargetReady, status.State)
}

// refusals guards against taking a refusal for a failure or a failure for a refusal (P6).
func refusals(f *Fixture) {
	f.Standin.SetState(model.TargetDraining)
	id, _, err := f.Search(context.Background())
	require.ErrorIs(f.t, err, targetclient.ErrDraining)
	require.True(f.t, targetclient.IsNotRun(err))
	require.Zero(f.t, f.runCounts()[id])
	f.Standin.SetState(model.TargetReady)
	f.Standin.SetIndexes(nil)
	id, _, err = f.Search(context.Background())
	require.ErrorIs(f.t, err, targetclient.ErrVersionGone)
	require.Zero(f.t, f.runCounts()[id])
}

// damagedReplies guards against accepting a reply that is incomplete or belongs to another request (P5).
func damagedReplies(f *Fixture) {
	for _, fault := range []target.Fault{target.FaultCrossed, target.FaultTruncated, target.FaultWrongVersion} {
		f.Standin.Inject(fault, 1)
		_, _, err := f.Search(context.Background())
		require.ErrorIs(f.t, err, targetclient.ErrMismatch, fault)
		require.False(f.t, targetclient.IsNotRun(err))
		_, _, err = f.Search(context.Background())
		require.NoError(f.t, err, "after %s", fault)
	}
}

// noReply guards against a request that waits forever, or that times out too early.
func noReply(f *Fixture) {
	f.Standin.Inject(target.FaultSilent, 1)
	started := time.Now()
	_, err := f.Execute(context.Background())
	require.ErrorIs(f.t, err, targetclient.ErrNoReply)
	require.Equal(f.t, deadlineMS*time.Millisecond+targetclient.ReplyGrace, time.Since(started))
	_, err = f.Execute(context.Background())
	require.NoError(f.t, err)
}

// reset guards against resending an attempt after its connection was reset (P7).
func reset(f *Fixture) {
	f.Standin.Inject(target.FaultReset, 1)
	id, err := f.Execute(context.Background())
	require.ErrorIs(f.t, err, targetclient.ErrLost)
	time.Sleep(time.Second)
	require.Equal(f.t, 1, f.runCounts()[id])
}

// lateReply guards against using a late reply to a search, and against losing the outcome in a late reply to an operation.
func lateReply(f *Fixture) {
	f.Standin.SetSlowdown(3)
	ctx, stop := context.WithTimeout(context.Background(), serviceTime)
	defer stop()
	_, _, err := f.Search(ctx)
	require.ErrorIs(f.t, err, targetclient.ErrLate)
	ctx, stop = context.WithTimeout(context.Background(), serviceTime)
	defer stop()
	_, err = f.Execute(ctx)
	require.NoError(f.t, err)
}

// cancel guards against treating a slot as free before the reply to the cancelled attempt has arrived.
func cancel(f *Fixture) {
	f.Standin.SetSlowdown(5)
	started := time.Now()
	time.AfterFunc(serviceTime, func() {
		_ = f.Client.Cancel(context.Background(), f.Target, model.AttemptID{Incarnation: 9, Sequence: 1})
	})
	_, _, err := f.Search(context.Background())
	require.ErrorIs(f.t, err, targetclient.ErrCancelled)
	require.Less(f.t, time.Since(started), 2*serviceTime)
	require.Zero(f.t, f.Standin.Status().InFlight)
}

// cancelledContext guards against a call that returns while its attempt is still running at the target.
func cancelledContext(f *Fixture) {
	f.Standin.SetSlowdown(5)
	ctx, stop := context.WithCancel(context.Background())
	time.AfterFunc(serviceTime, stop)
	_, _, err := f.Search(ctx)
	require.ErrorIs(f.t, err, targetclient.ErrCancelled)
	require.Zero(f.t, f.Standin.Status().InFlight)
	id, _, err := f.Search(ctx)
	require.ErrorIs(f.t, err, targetclient.ErrNotSent)
	require.Zero(f.t, f.runCounts()[id])
}

func unreachable(f *Fixture) {
	f.Target = model.Target{ID: "unknown", Address: "unknown"}
	_, err := f.Execute(context.Background())
	require.ErrorIs(f.t, err, targetclient.ErrNotSent)
}

// sentOnce guards against an attempt that runs more than once, or that runs although its error proves the opposite, under
// faults and overload (P6, P7).
func sentOnce(f *Fixture) {
	faults := []target.Fault{target.FaultSilent, target.FaultReset, target.FaultCrossed, "", target.FaultTruncated, ""}
	var mu sync.Mutex
	results := map[model.AttemptID]error{}
	for round := range 12 {
		var group sync.WaitGroup
		for i := range 8 {
			f.Standin.Inject(faults[(round+i)%len(faults)], 1)
			group.Go(func() {
				id, err := f.Execute(context.Background())
				mu.Lock()
				defer mu.Unlock()
				results[id] = err
			})
		}
		group.Wait()
	}
	ran := f.runCounts()
	require.Len(f.t, results, 12*8)
	for id, err := range results {
		require.LessOrEqual(f.t, ran[id], 1, "attempt %s ran twice", id)
		require.False(f.t, err == nil && ran[id] != 1, "attempt %s has an outcome but did not run", id)
		require.False(f.t, targetclient.IsNotRun(err) && ran[id] != 0, "attempt %s ran, but: %v", id, err)
	}
}
