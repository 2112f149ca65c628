package share

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

var (
	rateKey = Key{Rate, "depot"}
	unitKey = Key{InFlight, "depot"}
	coldKey = Key{Cold, "parts-g00-0"}
	grants  = map[Key]float64{rateKey: 2400, unitKey: 14, coldKey: 3}
)

// A fixed seed generates the same schedules in every run. Fifty keep the test under four seconds with the race
// detector.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "50")
}

// tokensPerRequest is the number of tokens that a request takes.
const tokensPerRequest = 6

type action int

const (
	serve action = iota
	pause
	restart
	isolate
	dropOwner
	addOwner
	delayFrames
	changeDemand
	actions
)

// event is one step of a schedule. Most events only serve requests at a host.
type event struct {
	host    int
	action  action
	advance time.Duration
	// duration is the length of a pause or of an isolation.
	duration time.Duration
	delay    time.Duration
	lost     bool
	repeated bool
	takes    int
	deadline time.Duration
	release  bool
}

func schedules(hosts int) *rapid.Generator[[]event] {
	millis := func(t *rapid.T, name string, choices ...int) time.Duration {
		return time.Duration(choices[rapid.IntRange(0, len(choices)-1).Draw(t, name)]) * time.Millisecond
	}
	singleEvent := rapid.Custom(func(t *rapid.T) event {
		e := event{host: rapid.IntRange(0, hosts-1).Draw(t, "host")}
		e.advance = millis(t, "advance", 0, 5, 20, 50, 100, 400, 1100)
		if rapid.IntRange(0, 19).Draw(t, "unusual") == 10 {
			e.action = action(rapid.IntRange(0, int(actions)-1).Draw(t, "do"))
			e.duration = millis(t, "lasts", 500, 2500, 8000)
			e.delay = millis(t, "delay", 0, 1, 20, 200, 700, 1400, 3000)
			e.takes = []int{0, 12, 60, 600}[rapid.IntRange(0, 3).Draw(t, "takes")]
		}
		chance := rapid.IntRange(0, 35).Draw(t, "chance")
		e.lost = chance%6 == 0
		e.repeated = chance/6 == 0
		e.release = chance%2 == 1
		e.deadline = millis(t, "deadline", 50, 1200, 9000)
		return e
	})
	return rapid.SliceOfN(singleEvent, 400, 400)
}

type frame struct {
	at   time.Duration
	from Sender
	to   int
	body Message
}

type work struct {
	host  int
	unit  Unit
	ends  time.Duration
	state *State
}

type simHost struct {
	state            *State
	incarnation      model.Incarnation
	rate             float64
	pausedUntil      time.Duration
	isolatedUntil    time.Duration
	takes            int
	dropAt           time.Duration
	confirmedAt      time.Duration
	wholeGrantBucket *bucket
}

// sim runs a schedule on a simulated reference clock. Host clocks run at 1/1.1 to 1 times its rate. With
// wholeGrantPerHost, each host allows the whole grant, as a limiter without coordination does.
type sim struct {
	hosts             []*simHost
	wholeGrantPerHost bool
	now               time.Duration
	table             Table
	frames            []frame
	inProgress        map[Key][]work
	delay             time.Duration
	// level is the number of tokens taken above the rate as of the time lastTake, as in a leaky bucket.
	level    float64
	lastTake time.Duration
}

func newSim(hosts int, wholeGrantPerHost bool) *sim {
	s := &sim{wholeGrantPerHost: wholeGrantPerHost, inProgress: map[Key][]work{}, table: Table{Generation: 1}}
	for i := range hosts {
		h := &simHost{rate: 1 - float64(i)/float64(hosts-1)*(1-1/1.1), takes: 60 * i, wholeGrantBucket: &bucket{rate: grants[rateKey]}}
		s.hosts = append(s.hosts, h)
		if i != 1 {
			s.table.Hosts = append(s.table.Hosts, TableHost{ID: hostID(i)}) // host 1 joins later
		}
		s.start(i)
	}
	return s
}

func hostID(i int) model.HostID { return model.HostID(fmt.Sprintf("h%02d", i)) }

func (s *sim) start(i int) {
	h := s.hosts[i]
	h.incarnation++
	h.state = New(Config{Self: hostID(i), Incarnation: h.incarnation << 32, Started: s.clock(i)})
	for key, grant := range grants {
		h.state.SetGrant(s.clock(i), key, grant)
	}
}

func (s *sim) clock(i int) time.Duration {
	return time.Hour*time.Duration(i) + time.Duration(float64(s.now)*s.hosts[i].rate)
}

func (s *sim) isPaused(i int) bool { return s.hosts[i].pausedUntil > s.now }

func (s *sim) isIsolated(i int) bool { return s.hosts[i].isolatedUntil > s.now }

// refresh updates the fenced state, as a host does before every operation.
func (s *sim) refresh(i int) {
	h := s.hosts[i]
	h.state.SetFenced(s.clock(i), s.clock(i)-h.confirmedAt > fenceTime)
}

// pull confirms the configuration, which is at most one event old.
func (s *sim) pull(i int) {
	if h := s.hosts[i]; !s.isIsolated(i) {
		h.confirmedAt = s.clock(i)
		h.state.SetTable(s.clock(i), Table{s.table.Generation, append([]TableHost(nil), s.table.Hosts...)})
	}
}

func (s *sim) run(events []event) error {
	for _, e := range events {
		s.now += e.advance
		s.removeDeadHosts()
		s.deliver(e)
		s.applyAction(e)
		for i, h := range s.hosts {
			if !s.isPaused(i) {
				s.pull(i)
				s.refresh(i)
				s.send(i, h.state.Tick(s.clock(i)), e)
			}
		}
		if !s.isPaused(e.host) {
			s.serveRequests(e)
		}
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) applyAction(e event) {
	h := s.hosts[e.host]
	switch e.action {
	case pause:
		h.pausedUntil = max(h.pausedUntil, s.now+e.duration)
	case restart:
		s.start(e.host)
		h.pausedUntil = 0
		h.dropAt = 0
		// The callers of the former incarnation are gone, but its attempts at targets continue.
		s.inProgress[unitKey] = slices.DeleteFunc(s.inProgress[unitKey], func(w work) bool { return w.host == e.host })
	case isolate:
		h.isolatedUntil = s.now + e.duration
	case dropOwner:
		// A host leaves the table after it has been dead for 30 s.
		h.pausedUntil = max(h.pausedUntil, s.now+32*time.Second)
		h.dropAt = s.now + 30*time.Second
	case addOwner:
		s.changeTable(e.host, true)
	case delayFrames:
		s.delay = e.delay
	case changeDemand:
		h.takes = e.takes
	}
}

// removeDeadHosts removes hosts from the table that have been dead for 30 s.
func (s *sim) removeDeadHosts() {
	for i, h := range s.hosts {
		if h.dropAt > 0 && h.dropAt <= s.now {
			h.dropAt = 0
			s.changeTable(i, false)
		}
	}
}

// changeTable writes a new table that contains the host if add is set and omits it otherwise.
func (s *sim) changeTable(i int, add bool) {
	var hosts []TableHost
	for _, h := range s.table.Hosts {
		if h.ID != hostID(i) {
			hosts = append(hosts, h)
		}
	}
	if add {
		hosts = append(hosts, TableHost{ID: hostID(i)})
	}
	s.table = Table{s.table.Generation + 1, hosts}
}

func (s *sim) send(i int, messages []OutgoingMessage, e event) {
	for n, outgoing := range messages {
		var to int
		fmt.Sscanf(string(outgoing.To), "h%d", &to)
		if e.lost && n%2 == 0 || s.isIsolated(i) || s.isIsolated(to) {
			continue
		}
		f := frame{s.now + s.delay*time.Duration(1+n%2)/2, Sender{hostID(i), s.hosts[i].incarnation << 32}, to, outgoing.Message}
		s.frames = append(s.frames, f)
		if e.repeated {
			f.at += s.delay
			s.frames = append(s.frames, f)
		}
	}
}

// deliver delivers the frames that are due, newest first.
func (s *sim) deliver(e event) {
	due := s.frames
	s.frames = nil
	for n := len(due) - 1; n >= 0; n-- {
		f := due[n]
		if f.at > s.now || s.isPaused(f.to) {
			s.frames = append(s.frames, f)
			continue
		}
		s.refresh(f.to)
		s.send(f.to, s.hosts[f.to].state.Step(s.clock(f.to), f.from, f.body), e)
	}
}

// serveRequests takes tokens and units at the event's host.
func (s *sim) serveRequests(e event) {
	h, now := s.hosts[e.host], s.clock(e.host)
	h.wholeGrantBucket.advance(now)
	for range h.takes / tokensPerRequest {
		if s.wholeGrantPerHost && h.wholeGrantBucket.take(tokensPerRequest) || !s.wholeGrantPerHost && h.state.Take(now, rateKey, tokensPerRequest) {
			s.level = max(0, s.level-grants[rateKey]*(s.now-s.lastTake).Seconds()) + tokensPerRequest
			s.lastTake = s.now
		}
	}
	for _, key := range []Key{unitKey, coldKey} {
		for range min(8, h.takes) {
			s.acquire(e, key)
		}
		if e.release {
			s.release(e.host, key)
		}
	}
}

func (s *sim) acquire(e event, key Key) {
	h, now := s.hosts[e.host], s.clock(e.host)
	var unit Unit
	ok := s.count(e.host, key) < int(grants[key])
	if !s.wholeGrantPerHost {
		unit, ok = h.state.Acquire(now, key, now+e.deadline)
	}
	if ok {
		ends := s.now + time.Duration(float64(e.deadline)/h.rate)
		s.inProgress[key] = append(s.inProgress[key], work{e.host, unit, ends, h.state})
	}
}

func (s *sim) release(host int, key Key) {
	var kept []work
	for n, w := range s.inProgress[key] {
		if w.host != host || w.state != s.hosts[host].state || n%2 == 0 {
			kept = append(kept, w)
		} else if w.unit.owner != "" {
			w.state.Release(s.clock(host), w.unit)
		}
	}
	s.inProgress[key] = kept
}

func (s *sim) count(host int, key Key) int {
	count := 0
	for _, w := range s.inProgress[key] {
		if host < 0 || w.host == host {
			count++
		}
	}
	return count
}

// check ends the work whose deadline has passed, including that of dead hosts, and compares the totals with the
// grants.
func (s *sim) check() error {
	for key, works := range s.inProgress {
		var running []work
		for _, w := range works {
			if w.ends > s.now {
				running = append(running, w)
			} else if w.unit.owner != "" && w.state == s.hosts[w.host].state {
				w.state.Release(s.clock(w.host), w.unit)
			}
		}
		s.inProgress[key] = running
		if count := s.count(-1, key); count > int(grants[key]) {
			return fmt.Errorf("at %v %d units of %v are in use", s.now, count, key)
		}
	}
	if burst := grants[rateKey]*burstTime.Seconds() + tokensPerRequest*float64(len(s.hosts)); s.level > burst+1e-6 {
		return fmt.Errorf("at %v %.1f tokens were taken above the rate; the allowed burst is %.1f", s.now, s.level, burst)
	}
	sum := 0.0
	for i, h := range s.hosts {
		if !s.isPaused(i) && !s.wholeGrantPerHost {
			s.refresh(i)
			sum += h.state.Usable(s.clock(i), rateKey)
		}
	}
	if sum > grants[rateKey]+1e-6 {
		return fmt.Errorf("at %v the usable rates add up to %.2f", s.now, sum)
	}
	return nil
}

// TestLoadStaysWithinGrant guards against callers and cold targets getting more than their grant because of lost,
// late, duplicated or reordered messages, pauses, restarts, isolated hosts, table changes or clock rates that
// differ by 10 %.
func TestLoadStaysWithinGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 5).Draw(t, "hosts")
		require.NoError(t, newSim(hosts, false).run(schedules(hosts).Draw(t, "events")))
	})
}

// TestLoanTermsAllowForSlowClocks guards against an owner lending an amount again while a borrower, or the former
// owner, whose clock is 10 % slower still uses it.
func TestLoanTermsAllowForSlowClocks(t *testing.T) {
	for term := RateTerm; term <= LongestTerm; term += 100 * time.Millisecond {
		require.Greater(t, lenderTerm(term), term+term/10+300*time.Millisecond)
	}
	for _, key := range []Key{rateKey, unitKey, coldKey} {
		require.Greater(t, key.takeoverWait(), (fenceTime+key.longestTerm())*11/10)
	}
}

// TestWholeGrantAtEachHostIsDetected verifies that the simulation of TestLoadStaysWithinGrant detects a limiter that
// allows the whole grant at each host.
func TestWholeGrantAtEachHostIsDetected(t *testing.T) {
	failed := 0
	for seed := range 10 {
		if newSim(3, true).run(schedules(3).Example(seed)) != nil {
			failed++
		}
	}
	require.Equal(t, 10, failed)
}
