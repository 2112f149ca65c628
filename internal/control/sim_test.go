package control

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	simStep  = time.Millisecond
	simSlots = 1 << 13 // the longest delay in steps
	tickStep = 50      // a host ticks every 50 steps
	// simFrameBytes is the size of a frame beside its body: length, code, and an envelope with a name of ten letters.
	simFrameBytes = 4 + 16 + 36
)

// simHost is one host of a simulation. Its clock starts with each run.
type simHost struct {
	index   int
	self    membership.Member
	node    *node
	run     int
	started time.Duration
	up      bool
	resume  time.Duration // the host is paused until then
	backlog []func()
	serves  time.Duration // end of the time in which the host takes new work, in simulation time
	best    model.Generation
	bytes   uint64 // of frames sent and received
	calls   int    // store calls
}

// sim delivers the frames of several nodes in one process. Times are since the start of the simulation.
type sim struct {
	rng   *rand.Rand
	now   time.Duration
	step  int
	slots [][]func()
	hosts []*simHost
	// listed is the platform's host list.
	listed []membership.Member

	loss, duplicate float64
	delay           func(from, to *simHost) time.Duration
	cut             func(from, to *simHost) bool
	// storeFails tells whether the store is out of reach of a host.
	storeFails func(h *simHost) bool
	measure    bool // encode the frames to count their bytes

	onPut    func() // a head was written
	kv       map[string]store.Entry
	revision store.Revision
	watchers []func()
	// accepted lists when the acceptance of each generation became known to the operator.
	accepted []time.Duration
}

func newSim(seed uint64) *sim {
	return &sim{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		slots:      make([][]func(), simSlots),
		delay:      func(_, _ *simHost) time.Duration { return 2 * simStep },
		cut:        func(_, _ *simHost) bool { return false },
		storeFails: func(*simHost) bool { return false },
		kv:         map[string]store.Entry{},
	}
}

// addHosts adds hosts that are spread over the data centres. They know each other if known is set, as after hours of work.
func (s *sim) addHosts(count int, centres []model.DataCentreInfo, known bool) {
	for i := range count {
		centre := centres[i%len(centres)]
		self := membership.Member{
			ID: model.HostID(fmt.Sprintf("host-%05d", i)), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1),
			DataCentre: centre.ID, Region: centre.Region, State: membership.Alive,
		}
		s.listed = append(s.listed, self)
		if known {
			s.listed[i].Incarnation = 1
		}
		s.hosts = append(s.hosts, &simHost{index: i, self: self})
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	for i := range s.listed {
		s.listed[i].Incarnation = 0
	}
}

// start begins a new run of a host.
func (s *sim) start(h *simHost) {
	h.run++
	h.up = true
	h.started = s.now
	h.serves = 0
	h.resume = 0
	h.backlog = nil
	self := h.self
	self.Incarnation = model.Incarnation(h.run)
	h.node = newNode(self, membership.Config{}, rand.New(rand.NewPCG(s.rng.Uint64(), uint64(h.index))))
	h.node.members.Seed(0, s.listed)
}

func (s *sim) stop(h *simHost) {
	h.up = false
	h.serves = 0
}

// at runs an event of a host's present run after a delay. A paused host runs it when it wakes.
func (s *sim) at(h *simHost, delay time.Duration, event func()) {
	run := h.run
	var guarded func()
	guarded = func() {
		switch {
		case !h.up || h.run != run:
		case s.now < h.resume:
			h.backlog = append(h.backlog, guarded)
		default:
			event()
			s.settle(h)
		}
	}
	s.after(delay, guarded)
}

func (s *sim) after(delay time.Duration, event func()) {
	steps := min(max(int(delay/simStep), 1), simSlots-1)
	slot := (s.step + steps) % simSlots
	s.slots[slot] = append(s.slots[slot], event)
}

// advance runs the simulation and calls check every 50 ms.
func (s *sim) advance(d time.Duration, check func()) {
	for end := s.now + d; s.now < end; {
		s.step++
		s.now += simStep
		slot := s.step % simSlots
		events := s.slots[slot]
		s.slots[slot] = nil
		for _, event := range events {
			event()
		}
		for i := s.step % tickStep; i < len(s.hosts); i += tickStep {
			s.tick(s.hosts[i])
		}
		if check != nil && s.step%tickStep == 0 {
			check()
		}
	}
}

func (s *sim) tick(h *simHost) {
	if !h.up || s.now < h.resume {
		return
	}
	backlog := h.backlog
	h.backlog = nil
	for _, event := range backlog {
		event()
	}
	h.node.tick(s.now - h.started)
	s.settle(h)
}

// settle carries out what a node asks for.
func (s *sim) settle(h *simHost) {
	now := s.now - h.started
	out := h.node.drain()
	for _, c := range out.calls {
		s.carry(h, c)
	}
	if out.readStore {
		s.readStore(h)
	}
	if out.watch {
		s.watch(h, out.watchAfter)
	}
	for _, id := range out.segments {
		s.readSegment(h, id)
	}
	if out.fleet != nil {
		s.writeFleet(h, *out.fleet)
	}
	h.serves = 0
	if until := h.node.servesUntil(now); until > now {
		h.serves = h.started + until
	}
}

// carry delivers a frame and its reply, each of which may be lost, delayed or doubled.
func (s *sim) carry(from *simHost, c call) {
	to := s.lookup(c.to)
	if to == nil || to.self.Address != c.address {
		return
	}
	s.count(from, to, c.body)
	for range s.copies(from, to) {
		s.at(to, s.delay(from, to), func() {
			reply, err := to.node.handle(s.now-to.started, c.body)
			s.count(to, from, reply)
			for range s.copies(to, from) {
				s.at(from, s.delay(to, from), func() {
					from.node.reply(s.now-from.started, c.token, to.self.ID, reply, err)
				})
			}
		})
	}
}

func (s *sim) copies(from, to *simHost) int {
	switch {
	case s.cut(from, to) || s.rng.Float64() < s.loss:
		return 0
	case s.rng.Float64() < s.duplicate:
		return 2
	}
	return 1
}

func (s *sim) lookup(id model.HostID) *simHost {
	var index int
	if _, err := fmt.Sscanf(string(id), "host-%d", &index); err != nil || index >= len(s.hosts) {
		return nil
	}
	return s.hosts[index]
}

func (s *sim) count(from, to *simHost, body any) {
	if !s.measure {
		return
	}
	encoded, err := peer.Marshal(body)
	if err != nil {
		panic(err) // a body without an encoding is a programming error
	}
	size := uint64(len(encoded) + simFrameBytes)
	from.bytes += size
	to.bytes += size
}

// storeCall runs a call at the store, and answers with an error after the timeout if the store is out of reach.
func (s *sim) storeCall(h *simHost, run func() func(err error)) {
	h.calls++
	if s.storeFails(h) {
		answer := run
		s.at(h, storeTimeout, func() { answer()(store.ErrUnavailable) })
		return
	}
	s.after(2*simStep, func() {
		answer := run()
		s.at(h, 2*simStep, func() { answer(nil) })
	})
}

func (s *sim) readStore(h *simHost) {
	sent := s.now - h.started
	h.calls++ // it reads two keys
	s.storeCall(h, func() func(error) {
		read := storeRead{sent: sent, head: s.kv[configstate.HeadKey], fleet: s.kv[configstate.FleetKey]}
		return func(err error) {
			read.err = err
			h.node.storeResult(s.now-h.started, read)
		}
	})
}

func (s *sim) watch(h *simHost, after store.Revision) {
	h.calls++
	run := h.run
	var look func()
	look = func() {
		if h.run != run || !h.up {
			return
		}
		if entry := s.kv[configstate.HeadKey]; entry.Revision > after && !s.storeFails(h) {
			s.at(h, 4*simStep, func() { h.node.watchResult(s.now-h.started, entry, nil) })
			return
		}
		s.watchers = append(s.watchers, look)
	}
	look()
}

func (s *sim) readSegment(h *simHost, id configstate.SegmentID) {
	s.storeCall(h, func() func(error) {
		entry := s.kv[id.Key()]
		return func(err error) { h.node.segmentRead(entry.Value, err) }
	})
}

func (s *sim) writeFleet(h *simHost, w fleetWrite) {
	s.storeCall(h, func() func(error) {
		reached := !s.storeFails(h)
		if reached && s.kv[configstate.FleetKey].Revision == w.expected {
			s.put(configstate.FleetKey, w.value, w.segments)
		}
		return func(error) { h.node.fleetWritten() }
	})
}

func (s *sim) put(key string, value []byte, segments map[configstate.SegmentID][]byte) {
	for id, content := range segments {
		s.kv[id.Key()] = store.Entry{Key: id.Key(), Value: content, Revision: s.revision}
	}
	s.revision++
	s.kv[key] = store.Entry{Key: key, Value: value, Revision: s.revision}
	if s.onPut != nil && key == configstate.HeadKey {
		s.onPut()
	}
	watchers := s.watchers
	s.watchers = nil
	for _, look := range watchers {
		look()
	}
}

// accept makes a change the next generation, as an operator does who reaches the store. known tells whether the operator
// learns of it at once; the answer may be lost.
func (s *sim) accept(edits []change.Edit, known bool) change.Change {
	format := configstate.CatalogueFormat()
	var head configstate.Head[change.Change]
	if entry, ok := s.kv[configstate.HeadKey]; ok {
		head = must(configstate.DecodeHead[change.Change](entry.Value))
	}
	segments := map[configstate.SegmentID][]byte{}
	for _, id := range head.Base.Segments {
		segments[id] = s.kv[id.Key()].Value
	}
	var document *model.Catalogue
	if head.Generation > 0 {
		document = must(format.Open(head, segments))
	}
	id := fmt.Sprint("change-", head.Generation+1)
	c := change.Change{ID: id, BasedOn: head.Generation, Edits: edits}
	proposal := must(format.Next(head, document, id, c))
	s.put(configstate.HeadKey, must(proposal.Head.Encode()), proposal.Segments)
	s.accepted = append(s.accepted, never)
	if known {
		s.learn()
	}
	return c
}

// never is a time after every simulation.
const never = 1 << 62

// learn tells the operator which changes have been accepted.
func (s *sim) learn() {
	for i := range s.accepted {
		s.accepted[i] = min(s.accepted[i], s.now)
	}
}

// required returns the generation that a host has to have in force to take new work: the newest whose acceptance was
// known 3 s ago.
func (s *sim) required() model.Generation {
	var generation model.Generation
	for i, at := range s.accepted {
		if at < s.now-configstate.FenceAge {
			generation = model.Generation(i + 1)
		}
	}
	return generation
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // the simulation itself is wrong
	}
	return value
}
