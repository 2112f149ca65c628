package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

func init() {
	_ = flag.Set("rapid.seed", "20261")
	_ = flag.Set("rapid.shrinktime", "5s")
	_ = flag.Set("rapid.nofailfile", "true")
}

const (
	hostCount   = 12
	groupCount  = 10
	replicas    = 3
	tick        = 10 * time.Millisecond
	serviceTime = 20 * time.Millisecond
	downTime    = time.Second
	noticeDelay = time.Second // the longest delay of a message between hosts
	poison      = Fingerprint(1)
)

// testRun is a request in progress.
type testRun struct {
	host     int
	run      Run
	waiting  []int // groups without an attempt so far
	sent     []testAttempt
	complete bool
}

type testAttempt struct {
	Attempt
	group   int
	retries int
	endsAt  time.Duration
}

type notice struct {
	to      int
	due     time.Duration
	message Message
}

// fleet simulates twelve hosts and thirty targets under a random schedule. draw returns a random number below its
// argument. With naive set, no request is suspected, and lost attempts are retried at other replicas.
type fleet struct {
	draw          func(int) int
	naive         bool
	now           time.Duration
	hosts         []*State
	incarnation   map[model.TargetID]model.Incarnation
	downUntil     map[model.TargetID]time.Duration
	active        []*testRun
	notices       []notice
	sequence      uint64
	lostTargets   int           // targets crashed by the poison request
	lostAlone     int           // of these, in isolated runs
	normalRuns    int           // runs of the poison request admitted as Normal
	lastNormalRun time.Duration // start of the last of them
	firstLoss     time.Duration
}

func newFleet(draw func(int) int, naive bool) *fleet {
	f := &fleet{
		draw: draw, naive: naive, firstLoss: -1,
		incarnation: map[model.TargetID]model.Incarnation{}, downUntil: map[model.TargetID]time.Duration{},
	}
	for i := range hostCount {
		f.hosts = append(f.hosts, New(model.HostID(fmt.Sprint(i))))
	}
	for group := range groupCount {
		for replica := range replicas {
			f.incarnation[targetOf(group, replica)] = 1
			f.observeIncarnation(targetOf(group, replica))
		}
	}
	return f
}

func targetOf(group, replica int) model.TargetID {
	return model.TargetID(fmt.Sprintf("g%d-%d", group, replica))
}

func (f *fleet) observeIncarnation(target model.TargetID) {
	for _, h := range f.hosts {
		h.ObserveIncarnation(f.now, target, f.incarnation[target])
	}
}

// step advances the simulation by one tick, with the given arrivals.
func (f *fleet) step(arrivals []Fingerprint) {
	f.now += tick
	for _, fingerprint := range arrivals {
		f.arrive(f.draw(hostCount), fingerprint)
	}
	for _, r := range f.active {
		f.endAttempts(r)
	}
	f.deliver()
	running := f.active[:0]
	for _, r := range f.active {
		if len(r.sent) == 0 && len(r.waiting) == 0 {
			f.hosts[r.host].End(r.run, r.complete)
			f.broadcast(r.host)
			continue
		}
		running = append(running, r)
	}
	f.active = running
}

// arrive admits a request at a host and starts it unless it is refused.
func (f *fleet) arrive(host int, fingerprint Fingerprint) Verdict {
	run := f.hosts[host].Admit(f.now, fingerprint)
	if f.naive {
		run.Verdict = Normal
	}
	if run.Verdict == Busy || run.Verdict == Quarantined {
		return run.Verdict
	}
	r := &testRun{host: host, run: run, complete: true}
	for group := range groupCount {
		r.waiting = append(r.waiting, group)
	}
	if fingerprint == poison && run.Verdict == Normal {
		f.normalRuns++
		f.lastNormalRun = f.now
	}
	f.active = append(f.active, r)
	f.send(r)
	return run.Verdict
}

// send starts the attempts that are allowed now: all of them, or a single one if the request runs alone and no
// attempt has succeeded yet.
func (f *fleet) send(r *testRun) {
	alone := r.run.Verdict == Alone
	count := len(r.waiting)
	if alone && count == groupCount {
		count = 1
	}
	for _, group := range r.waiting[:count] {
		f.attempt(r, group, 0)
	}
	r.waiting = r.waiting[count:]
}

// attempt starts an attempt at an available replica of the group, preferably a random one.
func (f *fleet) attempt(r *testRun, group, retries int) {
	target := targetOf(group, f.draw(replicas))
	if retries > 0 || f.now < f.downUntil[target] {
		for replica := range replicas {
			if f.now >= f.downUntil[targetOf(group, replica)] {
				target = targetOf(group, replica)
			}
		}
	}
	if f.now < f.downUntil[target] {
		r.complete = false
		return
	}
	f.sequence++
	a := testAttempt{
		Attempt: Attempt{
			ID: model.AttemptID{Sequence: f.sequence}, Target: target, Caller: "caller",
			Fingerprint: r.run.Fingerprint, Alone: r.run.Verdict == Alone,
		},
		group: group, retries: retries, endsAt: f.now + serviceTime,
	}
	f.hosts[r.host].Started(a.Attempt)
	r.sent = append(r.sent, a)
}

// endAttempts ends the attempts whose service time is over. Those of the poison request crash their targets. After a
// success, the remaining attempts of an isolated run start.
func (f *fleet) endAttempts(r *testRun) {
	for _, a := range r.sent {
		if f.now >= a.endsAt && a.Fingerprint == poison {
			f.crash(a.Attempt)
		}
	}
	var running []testAttempt
	succeeded := false
	for _, a := range r.sent {
		if f.now < a.endsAt {
			running = append(running, a)
			continue
		}
		f.hosts[r.host].Replied(f.now, a.ID, a.Target, f.incarnation[a.Target])
		succeeded = true
	}
	r.sent = running
	if succeeded {
		f.send(r)
	}
}

// crash ends a target's incarnation: every attempt in flight there loses its connection.
func (f *fleet) crash(by Attempt) {
	f.lostTargets++
	if by.Alone {
		f.lostAlone++
	}
	if f.firstLoss < 0 {
		f.firstLoss = f.now
	}
	f.downUntil[by.Target] = f.now + downTime
	for _, r := range f.active {
		var kept, retried []testAttempt
		for _, a := range r.sent {
			if a.Target != by.Target {
				kept = append(kept, a)
				continue
			}
			f.hosts[r.host].Lost(f.now, a.ID, a.Target)
			retried = append(retried, a)
		}
		r.sent = kept
		f.broadcast(r.host)
		for _, a := range retried {
			f.afterLoss(r, a)
		}
	}
	f.incarnation[by.Target]++
	f.observeIncarnation(by.Target)
}

// afterLoss marks a request that lost an attempt as incomplete. The naive version retries the attempt at the other
// replicas.
func (f *fleet) afterLoss(r *testRun, a testAttempt) {
	r.complete = false
	if f.naive && a.retries < replicas-1 {
		f.attempt(r, a.group, a.retries+1)
		return
	}
	if r.run.Verdict == Alone {
		r.waiting = nil
	}
}

func (f *fleet) broadcast(from int) {
	for _, m := range f.hosts[from].TakeMessages() {
		for to := range f.hosts {
			delay := time.Duration(f.draw(int(noticeDelay/tick))) * tick
			f.notices = append(f.notices, notice{to, f.now + delay, m})
		}
	}
}

func (f *fleet) deliver() {
	kept := f.notices[:0]
	for _, n := range f.notices {
		if n.due > f.now {
			kept = append(kept, n)
			continue
		}
		f.hosts[n.to].Step(f.now, n.message)
	}
	f.notices = kept
}

// drawArrivals draws the arrivals of a tick: the poison request, sent repeatedly, and innocent requests.
func (f *fleet) drawArrivals(poisonPeriod int) []Fingerprint {
	var arrivals []Fingerprint
	if f.draw(poisonPeriod) == 0 {
		arrivals = append(arrivals, poison)
	}
	if f.draw(3) == 0 {
		arrivals = append(arrivals, Fingerprint(2+f.draw(20)))
	}
	return arrivals
}

// checkBounds runs a schedule and returns the first violated bound as an error.
func checkBounds(draw func(int) int, ticks int) error {
	f := newFleet(draw, false)
	period := 1 + draw(50)
	for range ticks {
		f.step(f.drawArrivals(period))
	}
	if f.firstLoss >= 0 && f.lastNormalRun > f.firstLoss+noticeDelay+tick {
		return fmt.Errorf("a run of the poison request was admitted as Normal %s after the first loss", f.lastNormalRun-f.firstLoss)
	}
	if bound := f.normalRuns*groupCount + 3 + hostCount - 1; f.lostTargets > bound {
		return fmt.Errorf("%d targets lost, %d of them in isolated runs: the bound is %d", f.lostTargets, f.lostAlone, bound)
	}
	for range int(2 * noticeDelay / tick) { // let the last requests end
		f.step(nil)
	}
	f.now += quarantineDuration
	for fingerprint := Fingerprint(2); fingerprint < 22; fingerprint++ {
		host := f.draw(hostCount)
		f.arrive(host, fingerprint)
		for range 10 {
			f.step(nil)
		}
		if verdict := f.hosts[host].Admit(f.now, fingerprint).Verdict; verdict != Normal {
			return fmt.Errorf("innocent request %d is still a suspect: verdict %d", fingerprint, verdict)
		}
	}
	return nil
}

// TestCrashesByOneRequestAreBounded guards against unlimited losses to a poison request that is sent repeatedly to
// any host. The bound is the number of shards for each run that began before the report of the first loss arrived,
// plus three isolated runs, plus one isolated run for each other host that had not received their reports.
func TestCrashesByOneRequestAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		require.NoError(t, checkBounds(draw, 60))
	})
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		require.NoError(t, checkBounds(rng.IntN, 1000), "seed %d", seed)
	}
}

// TestOneRunCrashesOneTargetPerShard guards the bound for a caller that waits for each answer before it sends the
// poison request again. For comparison, a naive version that tries the other replicas after a loss loses every
// target.
func TestOneRunCrashesOneTargetPerShard(t *testing.T) {
	lost := func(naive bool) int {
		rng := rand.New(rand.NewPCG(1, 3))
		f := newFleet(rng.IntN, naive)
		for range 20 {
			f.step([]Fingerprint{poison})
			for range int(2 * noticeDelay / tick) {
				f.step(nil)
			}
			if naive {
				break
			}
		}
		return f.lostTargets
	}
	require.Equal(t, groupCount+1, lost(false), "one per shard, and one more in an isolated run")
	require.Equal(t, groupCount*replicas, lost(true), "the naive version loses every target of each group")
}

// TestGrantOfCallerWithManyQuarantinesIsReduced guards against a caller that keeps sending new poison requests.
func TestGrantOfCallerWithManyQuarantinesIsReduced(t *testing.T) {
	s := New("h")
	for i := range 4 {
		require.Equal(t, 1.0, s.GrantFraction(0, "careless"))
		fingerprint := Fingerprint(i)
		for _, target := range []model.TargetID{"a", "b"} {
			s.ObserveIncarnation(0, target, model.Incarnation(i+1))
			run := s.Admit(0, fingerprint)
			id := model.AttemptID{Sequence: uint64(i)}
			s.Started(Attempt{ID: id, Target: target, Caller: "careless", Fingerprint: fingerprint, Alone: run.Verdict == Alone})
			s.Lost(0, id, target)
			s.End(run, false)
		}
		require.Equal(t, Quarantined, s.Admit(0, fingerprint).Verdict)
	}
	require.Equal(t, ReducedGrantFraction, s.GrantFraction(0, "careless"))
	require.Equal(t, 1.0, s.GrantFraction(0, "other"))
	require.Equal(t, 1.0, s.GrantFraction(quarantineDuration, "careless"))
	require.Equal(t, Alone, s.Admit(quarantineDuration, 0).Verdict, "after its quarantine a request runs alone first")
}

// TestTablesAreBounded guards against memory growing with the number of requests and callers, and against counting
// the announced end of a draining target as a loss.
func TestTablesAreBounded(t *testing.T) {
	s := New("h")
	for i := range 2 * maxEntries {
		id := model.AttemptID{Sequence: uint64(i)}
		s.Started(Attempt{ID: id, Target: "a", Caller: model.CallerID(fmt.Sprint(i)), Fingerprint: Fingerprint(i)})
		s.ObserveIncarnation(0, "a", model.Incarnation(i+1))
		s.Replied(0, id, "a", 0)
	}
	require.LessOrEqual(t, s.Statistics(0).Suspects, maxEntries)
	require.LessOrEqual(t, s.Statistics(0).Losses, maxEntries)
	s.TakeMessages()
	s.Draining("a", true)
	s.Started(Attempt{Target: "a", Fingerprint: 1})
	s.Lost(0, model.AttemptID{}, "a")
	require.Empty(t, s.TakeMessages(), "the end of a draining target is no loss")
}
