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
	simSlots = 1 << 13 // ring buffer size, which bounds the delay of an event in steps
	tickStep = 50      // each host ticks every 50 steps
	// simFrameBytes is the size of a frame excluding its body: length, authentication code, and an envelope with a
	// ten-character host id.
	simFrameBytes = 4 + 16 + 36
)

// simHost is a simulated host. Its clock restarts with each incarnation.
type simHost struct {
	index             int
	self              membership.Member
	node              *node
	incarnation       int
	started           time.Duration
	up                bool
	resume            time.Duration // the host is paused until this time
	backlog           []func()
	servesUntil       time.Duration // end of the period in which the host accepts new work, in simulation time
	highestGeneration model.Generation
	bytes             uint64 // bytes of frames sent and received
	calls             int    // number of store calls
}

// sim simulates several nodes and the network between them in one process. Times are relative to the start of the
// simulation.
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
	linkDown        func(from, to *simHost) bool
	// storeFails reports whether the store is unreachable from a host.
	storeFails func(h *simHost) bool
	measure    bool // encode frames to count their bytes

	onPut    func() // called when a head is written
	kv       map[string]store.Entry
	revision store.Revision
	watchers []func()
	// accepted holds, for each generation, the time when the operator learned of its acceptance.
	accepted []time.Duration
}

func newSim(seed uint64) *sim {
	return &sim{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		slots:      make([][]func(), simSlots),
		delay:      func(_, _ *simHost) time.Duration { return 2 * simStep },
		linkDown:   func(_, _ *simHost) bool { return false },
		storeFails: func(*simHost) bool { return false },
		kv:         map[string]store.Entry{},
	}
}

// addHosts adds hosts distributed over the data centres. If known is set, they already know each other, as in a
// long-running fleet.
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

// start starts a new incarnation of a host.
func (s *sim) start(h *simHost) {
	h.incarnation++
	h.up = true
	h.started = s.now
	h.servesUntil = 0
	h.resume = 0
	h.backlog = nil
	self := h.self
	self.Incarnation = model.Incarnation(h.incarnation)
	h.node = newNode(self, membership.Config{}, rand.New(rand.NewPCG(s.rng.Uint64(), uint64(h.index))))
	h.node.members.Seed(0, s.listed)
}

func (s *sim) stop(h *simHost) {
	h.up = false
	h.servesUntil = 0
}

// at schedules an event for the current incarnation of a host. If the host is paused, the event runs when it resumes.
func (s *sim) at(h *simHost, delay time.Duration, event func()) {
	incarnation := h.incarnation
	var guarded func()
	guarded = func() {
		switch {
		case !h.up || h.incarnation != incarnation:
		case s.now < h.resume:
			h.backlog = append(h.backlog, guarded)
		default:
			event()
			s.flushOutput(h)
		}
	}
	s.after(delay, guarded)
}

func (s *sim) after(delay time.Duration, event func()) {
	steps := min(max(int(delay/simStep), 1), simSlots-1)
	slot := (s.step + steps) % simSlots
	s.slots[slot] = append(s.slots[slot], event)
}

// advance runs the simulation for the given duration and calls check every 50 ms.
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
	s.flushOutput(h)
}

// flushOutput performs the actions requested by a node.
func (s *sim) flushOutput(h *simHost) {
	now := s.now - h.started
	out := h.node.takeOutput()
	for _, c := range out.calls {
		s.deliverCall(h, c)
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
	h.servesUntil = 0
	if until := h.node.servesUntil(now); until > now {
		h.servesUntil = h.started + until
	}
}

// deliverCall delivers a frame and its reply. Each may be lost, delayed or duplicated.
func (s *sim) deliverCall(from *simHost, c call) {
	to := s.lookup(c.to)
	if to == nil || to.self.Address != c.address {
		return
	}
	s.countBytes(from, to, c.body)
	for range s.copies(from, to) {
		s.at(to, s.delay(from, to), func() {
			reply, err := to.node.handle(s.now-to.started, c.body)
			s.countBytes(to, from, reply)
			for range s.copies(to, from) {
				s.at(from, s.delay(to, from), func() {
					from.node.reply(s.now-from.started, c.token, to.self.ID, reply, err)
				})
			}
		})
	}
}

// copies returns how many copies of a frame arrive: none if it is lost, two if it is duplicated.
func (s *sim) copies(from, to *simHost) int {
	switch {
	case s.linkDown(from, to) || s.rng.Float64() < s.loss:
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

func (s *sim) countBytes(from, to *simHost, body any) {
	if !s.measure {
		return
	}
	encoded, err := peer.Marshal(body)
	if err != nil {
		panic(err) // bodies are always encodable
	}
	size := uint64(len(encoded) + simFrameBytes)
	from.bytes += size
	to.bytes += size
}

// storeCall performs a store call. execute runs at the store and returns the function that handles the response. If
// the store is unreachable, the call fails after the store timeout.
func (s *sim) storeCall(h *simHost, execute func() func(err error)) {
	h.calls++
	if s.storeFails(h) {
		s.at(h, storeTimeout, func() { execute()(store.ErrUnavailable) })
		return
	}
	s.after(2*simStep, func() {
		respond := execute()
		s.at(h, 2*simStep, func() { respond(nil) })
	})
}

func (s *sim) readStore(h *simHost) {
	sent := s.now - h.started
	h.calls++ // a read covers two keys
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
	incarnation := h.incarnation
	var checkHead func()
	checkHead = func() {
		if h.incarnation != incarnation || !h.up {
			return
		}
		if entry := s.kv[configstate.HeadKey]; entry.Revision > after && !s.storeFails(h) {
			s.at(h, 4*simStep, func() { h.node.watchResult(s.now-h.started, entry, nil) })
			return
		}
		s.watchers = append(s.watchers, checkHead)
	}
	checkHead()
}

func (s *sim) readSegment(h *simHost, id configstate.SegmentID) {
	s.storeCall(h, func() func(error) {
		entry := s.kv[id.Key()]
		return func(err error) { h.node.segmentResult(entry.Value, err) }
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
	for _, checkHead := range watchers {
		checkHead()
	}
}

// accept commits a change as an operator with access to the store. known is false if the response to the operator is
// lost.
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
		document = must(format.Restore(head, segments))
	}
	id := fmt.Sprint("change-", head.Generation+1)
	c := change.Change{ID: id, BasedOn: head.Generation, Edits: edits}
	proposal := must(format.Next(head, document, id, c))
	s.put(configstate.HeadKey, must(proposal.Head.Encode()), proposal.Segments)
	s.accepted = append(s.accepted, never)
	if known {
		s.acknowledgeAll()
	}
	return c
}

// never is later than the end of any simulation.
const never = 1 << 62

// acknowledgeAll informs the operator of the acceptance of all changes.
func (s *sim) acknowledgeAll() {
	for i := range s.accepted {
		s.accepted[i] = min(s.accepted[i], s.now)
	}
}

// requiredGeneration returns the lowest generation that a host must have in force to accept new work: the newest whose
// acceptance was known 3 s ago.
func (s *sim) requiredGeneration() model.Generation {
	var generation model.Generation
	for i, at := range s.accepted {
		if at < s.now-configstate.MaxConfirmationAge {
			generation = model.Generation(i + 1)
		}
	}
	return generation
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // a bug in the simulation
	}
	return value
}
