package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/concurrency"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	slots       = 10
	serviceTime = 10 * time.Millisecond
	tick        = time.Millisecond
)

// scheduler is implemented by Controller and by the naive version that the tests compare it with.
type scheduler interface {
	Offer(now time.Duration, r Request) Decision
	Finish(now time.Duration, workName string, latency time.Duration, outcome concurrency.Outcome) []Request
	Expire(now time.Duration) []Request
}

// fifo is a naive scheduler: one queue for all callers, in order of arrival.
type fifo struct {
	running int
	queue   []Request
}

func (f *fifo) Offer(_ time.Duration, r Request) Decision {
	if f.running < slots {
		f.running++
		return Decision{Verdict: Started}
	}
	f.queue = append(f.queue, r)
	return Decision{Verdict: Queued}
}

func (f *fifo) Finish(now time.Duration, _ string, _ time.Duration, _ concurrency.Outcome) []Request {
	f.running--
	if len(f.queue) == 0 {
		return nil
	}
	next := f.queue[0]
	f.queue = f.queue[1:]
	f.running++
	return []Request{next}
}

func (f *fifo) Expire(time.Duration) []Request { return nil }

func newFixedController() *Controller {
	return New(Config{
		Running:        concurrency.Config{Variant: concurrency.VariantFixed, Initial: slots, Max: slots},
		QueuePerCaller: 256,
		Latency:        serviceTime,
	})
}

// callerStats holds what the simulation recorded for one caller.
type callerStats struct {
	waits   []time.Duration
	refused int
	late    int
}

// simulate offers load to a scheduler. The rates are in requests per millisecond. Each request runs for the
// service time.
func simulate(s scheduler, seed uint64, rates map[model.CallerID]float64) map[model.CallerID]*callerStats {
	const duration = 2 * time.Second
	rng := rand.New(rand.NewPCG(seed, 0))
	result := map[model.CallerID]*callerStats{}
	arrived := map[uint64]time.Duration{}
	ends := map[time.Duration][]Request{}
	start := func(now time.Duration, r Request) {
		stats := result[r.Caller]
		stats.waits = append(stats.waits, now-arrived[r.ID])
		if now+serviceTime > r.Deadline {
			stats.late++
		}
		ends[now+serviceTime] = append(ends[now+serviceTime], r)
	}
	callers := []model.CallerID{}
	for caller := range rates {
		callers = append(callers, caller)
		result[caller] = &callerStats{}
	}
	slices.Sort(callers)
	id := uint64(0)
	for now := time.Duration(0); now < duration; now += tick {
		for _, r := range s.Expire(now) {
			result[r.Caller].refused++
		}
		for range ends[now] {
			for _, r := range s.Finish(now, "", serviceTime, concurrency.Success) {
				start(now, r)
			}
		}
		for _, caller := range callers {
			for due := rates[caller]; due > 0 && rng.Float64() < due; due-- {
				id++
				r := Request{ID: id, Caller: caller, Class: model.ClassInteractive, Cost: 1, Deadline: now + 100*time.Millisecond}
				arrived[id] = now
				switch s.Offer(now, r).Verdict {
				case Started:
					start(now, r)
				case TooLate, QueueFull:
					result[caller].refused++
				}
			}
		}
	}
	return result
}

func p99(waits []time.Duration) time.Duration {
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// TestCallerOverItsShareDoesNotDelayOthers guards against a caller far above its share filling the queue in which
// others wait. The bound is the duration of one round of the fair queue.
func TestCallerOverItsShareDoesNotDelayOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rates := map[model.CallerID]float64{"calm": 0.2, "careless": rapid.Float64Range(2, 10).Draw(t, "careless")}
		calm := simulate(newFixedController(), seed, rates)["calm"]
		require.Zero(t, calm.refused)
		require.LessOrEqual(t, p99(calm.waits), 2*serviceTime)
		naive := simulate(&fifo{}, seed, rates)["calm"]
		require.Greater(t, p99(naive.waits), 5*serviceTime, "the naive version should fail")
	})
}

// TestRequestsStartedUnderOverloadFinishInTime guards against starting requests too late to be useful. At twice the
// capacity, all started requests must finish in time, and the host must stay at least 90 % busy.
func TestRequestsStartedUnderOverloadFinishInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rates := map[model.CallerID]float64{"a": 1, "b": 1}
		inTime, capacity := 0, 2*time.Second/serviceTime*slots
		for _, stats := range simulate(newFixedController(), seed, rates) {
			require.Zero(t, stats.late, "a request was started that can't end in time")
			inTime += len(stats.waits) - stats.late
		}
		require.Greater(t, inTime, int(capacity)*9/10)
	})
}

// TestClassesShareByWeight guards against a class that starves, or that gets no more than a class with a lower
// weight.
func TestClassesShareByWeight(t *testing.T) {
	c := newFixedController()
	started := map[model.CallerID]int{}
	id := uint64(0)
	for now := time.Duration(0); now < 10*time.Second; now += serviceTime {
		for range slots {
			for _, class := range []model.Class{model.ClassInteractive, model.ClassCounter, model.ClassBatch} {
				id++
				r := Request{ID: id, Caller: model.CallerID(class), Class: class, Cost: 1, Deadline: now + time.Hour}
				c.Offer(now, r)
			}
		}
		for range slots {
			for _, r := range c.Finish(now, "", serviceTime, concurrency.Success) {
				started[r.Caller]++
			}
		}
	}
	interactive := float64(started[model.CallerID(model.ClassInteractive)])
	require.InEpsilon(t, 2, interactive/float64(started[model.CallerID(model.ClassCounter)]), 0.05)
	require.InEpsilon(t, 4, interactive/float64(started[model.CallerID(model.ClassBatch)]), 0.05)
}

// TestQueuesAreBounded guards against memory growing with the load, and against keeping the state of deleted
// callers.
func TestQueuesAreBounded(t *testing.T) {
	c := newFixedController()
	for i := range uint64(10000) {
		c.Offer(0, Request{ID: i, Caller: "careless", Cost: 1, Deadline: time.Hour})
	}
	require.Equal(t, 256, c.Load().Waiting)
	c.Expire(2 * time.Hour)
	require.Zero(t, c.Load().Waiting)
	for range slots {
		c.Finish(2*time.Hour, "", serviceTime, concurrency.Success)
	}
	c.Offer(2*time.Hour, Request{ID: 1, Caller: "other", Cost: 1e6, Deadline: 3 * time.Hour})
	c.Offer(2*time.Hour, Request{ID: 2, Caller: "other", Cost: 1, Deadline: 3 * time.Hour})
	c.Forget()
	require.Equal(t, 1, c.Load().Callers)
}

// TestSlowOperationDoesNotCauseRefusals guards against a slow operation making the host refuse fast searches as too
// late.
func TestSlowOperationDoesNotCauseRefusals(t *testing.T) {
	c := newFixedController()
	now := time.Duration(0)
	for range 1000 {
		now += 10 * time.Millisecond
		require.Equal(t, Started, c.Offer(now, Request{WorkName: "slow", Deadline: now + 10*time.Second}).Verdict)
		c.Finish(now, "slow", 2*time.Second, concurrency.Success)
		require.Equal(t, Started, c.Offer(now, Request{WorkName: "quick", Deadline: now + 80*time.Millisecond}).Verdict)
		c.Finish(now, "quick", serviceTime, concurrency.Success)
	}
}

// TestRefusalsEndAfterSlowPeriod guards against an estimate so high that the host refuses every request, and so
// never learns that it is fast again.
func TestRefusalsEndAfterSlowPeriod(t *testing.T) {
	c := newFixedController()
	for range 1000 {
		c.Offer(0, Request{WorkName: "parts", Deadline: 10 * time.Second})
		c.Finish(0, "parts", 5*time.Second, concurrency.Success)
	}
	refused := time.Duration(0)
	for c.Offer(refused, Request{WorkName: "parts", Deadline: refused + 80*time.Millisecond}).Verdict == TooLate {
		refused += 100 * time.Millisecond
		require.Less(t, refused, 10*time.Second)
	}
	require.Positive(t, refused)
}
