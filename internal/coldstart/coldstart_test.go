package coldstart

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/share"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "60")
}

var (
	coldTarget = Target{ID: "t1", Slots: 6, ColdSlots: 1}
	permits    = share.Key{Kind: share.Cold, ID: "t1"}
)

// event is one step of a schedule: time advances, and a host sends attempts.
type event struct {
	host     int
	advance  time.Duration
	attempts int
	duration time.Duration
	outcome  ObservationKind
	restarts bool
	delay    time.Duration
}

func schedule(hosts int) *rapid.Generator[[]event] {
	millis := func(t *rapid.T, name string, choices ...int) time.Duration {
		return time.Duration(choices[rapid.IntRange(0, len(choices)-1).Draw(t, name)]) * time.Millisecond
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		e := event{host: rapid.IntRange(0, hosts-1).Draw(t, "host"), outcome: Succeeded}
		e.advance = millis(t, "advance", 1, 10, 30, 60)
		e.attempts = rapid.IntRange(0, 4).Draw(t, "attempts")
		e.duration = millis(t, "lasts", 5, 5, 20, 20, 60, 1400)
		e.delay = millis(t, "delay", 1, 1, 10, 50, 900)
		if unusual := rapid.IntRange(0, 199).Draw(t, "unusual"); unusual >= 90 && unusual < 96 {
			// The generator is biased towards small numbers, so values in this range are rare.
			e.outcome = []ObservationKind{Shed, Reset}[unusual%2]
			e.restarts = unusual == 90
		}
		return e
	}), 800, 800)
}

type attempt struct {
	host          int
	starts        time.Duration
	ends          time.Duration
	unit          share.Unit
	withoutPermit bool
	outcome       ObservationKind
	incarnation   model.Incarnation
}

type message struct {
	at       time.Duration
	from, to int
	body     any
}

type simulation struct {
	// naive makes each host ramp up on its own instead of sending with permits.
	naive       bool
	shares      []*share.State
	phases      []*State
	now         time.Duration
	incarnation model.Incarnation
	running     []attempt
	messages    []message
	allowances  []message // the quota owner's allowance over time, in the body
	// warmed counts the checks at which a host considered the target warm.
	warmed int
	// disagreedAt is the last time at which the target was warm to any host or the hosts had different statements.
	disagreedAt time.Duration
}

func newSimulation(hosts int, naive bool) *simulation {
	s := &simulation{naive: naive, incarnation: 1}
	table := share.Table{Generation: 1}
	for i := range hosts {
		table.Hosts = append(table.Hosts, share.TableHost{ID: hostID(i)})
	}
	for i := range hosts {
		s.shares = append(s.shares, share.New(share.Config{Self: hostID(i)}))
		s.shares[i].SetTable(0, table)
		s.phases = append(s.phases, New())
		s.phases[i].SetTargets(0, []Target{coldTarget})
	}
	s.now = 10 * time.Second
	return s
}

func hostID(i int) model.HostID { return model.HostID(fmt.Sprintf("h%d", i)) }

func (s *simulation) run(events []event) error {
	for _, e := range events {
		s.now += e.advance
		s.endAttempts(e)
		s.deliver(e)
		for i := range s.phases {
			s.tick(i, e)
		}
		s.startAttempts(e)
		if err := s.checkInvariant(); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) post(from, to int, body any, delay time.Duration) {
	s.messages = append(s.messages, message{s.now + delay, from, to, body})
}

func (s *simulation) broadcast(from int, statement Statement, ok bool, delay time.Duration) {
	for to := range s.phases {
		if ok && to != from {
			s.post(from, to, statement, delay)
		}
	}
}

func (s *simulation) deliver(e event) {
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.at > s.now {
			s.messages = append(s.messages, m)
			continue
		}
		switch body := m.body.(type) {
		case Statement:
			s.phases[m.to].Apply(s.now, body)
		case Progress:
			statement, ok := s.phases[m.to].ApplyProgress(s.now, hostID(m.from), body)
			s.broadcast(m.to, statement, ok, e.delay)
		case share.Message:
			s.postAll(m.to, s.shares[m.to].Step(s.now, share.Sender{Host: hostID(m.from)}, body), e.delay)
		}
	}
}

func (s *simulation) postAll(from int, messages []share.OutgoingMessage, delay time.Duration) {
	for _, outgoing := range messages {
		var to int
		fmt.Sscanf(string(outgoing.To), "h%d", &to)
		s.post(from, to, outgoing.Message, delay)
	}
}

func (s *simulation) tick(i int, e event) {
	owner := s.shares[i].Owner(permits)
	grant := coldTarget.Slots
	if owner == hostID(i) {
		grant = s.phases[i].Allowance(s.now, "t1")
		s.allowances = append(s.allowances, message{at: s.now, body: grant})
	}
	if s.phases[i].IsWarm("t1") {
		grant = 0
	}
	s.shares[i].SetGrant(s.now, permits, float64(grant))
	s.postAll(i, s.shares[i].Tick(s.now), e.delay)
	if progress, ok := s.phases[i].Report(s.now, "t1"); ok {
		var to int
		fmt.Sscanf(string(owner), "h%d", &to)
		s.post(i, to, progress, e.delay)
	}
}

func (s *simulation) startAttempts(e event) {
	if e.restarts {
		s.incarnation++
	}
	for range e.attempts {
		a := attempt{host: e.host, starts: s.now, ends: s.now + e.duration, outcome: e.outcome, incarnation: s.incarnation}
		a.withoutPermit = s.phases[e.host].IsWarm("t1")
		ok := a.withoutPermit
		switch {
		case !a.withoutPermit && s.naive:
			// Each host ramps up on its own, counting only its own attempts and successes.
			r := s.phases[e.host].targets["t1"]
			ok = s.inFlight(e.host) < coldTarget.allowance(int(r.successes/successesPerDoubling))
		case s.phases[e.host].MayUsePermit(s.now, "t1"):
			a.unit, ok = s.shares[e.host].Acquire(s.now, permits, a.ends)
		}
		if ok {
			s.running = append(s.running, a)
		}
	}
}

func (s *simulation) endAttempts(e event) {
	var running []attempt
	for _, a := range s.running {
		if a.ends > s.now {
			running = append(running, a)
			continue
		}
		if !a.withoutPermit && !s.naive {
			s.shares[a.host].Release(s.now, a.unit)
		}
		statement, ok := s.phases[a.host].Observe(s.now, Observation{"t1", a.incarnation, a.outcome, 10 * time.Millisecond})
		s.broadcast(a.host, statement, ok, e.delay)
	}
	s.running = running
}

func (s *simulation) inFlight(host int) int {
	count := 0
	for _, a := range s.running {
		if host < 0 || a.host == host {
			count++
		}
	}
	return count
}

// checkInvariant compares the attempts in flight at a target that all hosts know to be cold with the owner's highest
// allowance within the longest term of a permit. Attempts sent before all hosts knew have ended when the next permit is
// used.
func (s *simulation) checkInvariant() error {
	for _, phase := range s.phases {
		if phase.IsWarm("t1") {
			s.warmed++
		}
		if phase.IsWarm("t1") || phase.targets["t1"].current != s.phases[0].targets["t1"].current {
			s.disagreedAt = s.now
			return nil
		}
	}
	highest := 0
	for _, a := range s.allowances {
		if s.now-a.at <= 1500*time.Millisecond {
			highest = max(highest, a.body.(int))
		}
	}
	if s.naive {
		highest = coldTarget.ColdSlots
		for _, phase := range s.phases {
			highest = max(highest, coldTarget.allowance(int(phase.targets["t1"].successes/successesPerDoubling)))
		}
	}
	permitted := 0
	for _, a := range s.running {
		if !a.withoutPermit && a.starts > s.disagreedAt {
			permitted++
		}
	}
	if count := s.inFlight(-1); permitted > 0 && count > highest {
		return fmt.Errorf("at %v %d attempts are in flight at a cold target with an allowance of %d", s.now, count, highest)
	}
	return nil
}

// TestLoadStaysWithinAllowance guards against several hosts that together overload a cold target (P3).
func TestLoadStaysWithinAllowance(t *testing.T) {
	warmed := 0
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 4).Draw(t, "hosts")
		s := newSimulation(hosts, false)
		require.NoError(t, s.run(schedule(hosts).Draw(t, "events")))
		warmed += s.warmed
	})
	require.Positive(t, warmed, "no schedule reaches the warm phase")
}

// TestIndependentRampsAreDetected guards against a check in TestLoadStaysWithinAllowance that cannot fail: it must
// detect the overload by hosts that ramp up independently.
func TestIndependentRampsAreDetected(t *testing.T) {
	failed := 0
	for seed := range 10 {
		if newSimulation(3, true).run(schedule(3).Example(seed)) != nil {
			failed++
		}
	}
	require.Equal(t, 10, failed)
}
