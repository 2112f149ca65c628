package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/hostlist"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// tickInterval is the time between two looks of the control loop at what is due.
	tickInterval = 50 * time.Millisecond
	// maxEvents bounds the events that wait for the control loop.
	maxEvents = 1024
	// hostListInterval is the time between two reads of the host list, which only adds hosts.
	hostListInterval = 5 * time.Second
	hostListTimeout  = 2 * time.Second
)

var (
	errBusy    = errors.New("control: the control loop has too much to do; try again")
	errStopped = errors.New("control: the control loop has stopped")
)

// Transport is what the control loop needs of the peer transport.
type Transport interface {
	peer.Transport
	// SetIncarnation replaces the incarnation that later frames state.
	SetIncarnation(incarnation model.Incarnation)
}

// Config holds the ports of a control loop.
type Config struct {
	// Self is this host with its peer address and the incarnation of this run.
	Self      membership.Member
	Store     store.Store
	HostList  hostlist.HostList
	Transport Transport
	// OnCatalogue is called by the control loop with each new catalogue in force. It returns at once. It may be nil.
	OnCatalogue func(*model.Catalogue)
}

// Loop drives the control plane of one host. One goroutine owns all of its state; the others hand it events over a
// bounded ring. It implements View and change.Acceptor, and is safe for concurrent use.
type Loop struct {
	logger      *zap.Logger
	cfg         Config
	start       time.Time
	events      chan func(now time.Duration) // a full ring refuses frames and notices; outcomes of own calls wait
	stopped     chan struct{}
	work        conc.WaitGroup
	node        *node
	subscribers map[rumor.Topic][]func(rumor.Notice)
	dropped     atomic.Uint64

	catalogue   atomic.Pointer[model.Catalogue]
	servesUntil atomic.Int64 // nanoseconds since start
	members     atomic.Pointer[[]membership.Member]
	fleet       atomic.Pointer[FleetTable]
	changes     atomic.Pointer[[]change.Accepted]
	version     uint64 // of the members that were published last
	nextMembers time.Duration
}

// New returns a control loop that has not started. It registers its handlers at the transport.
func New(logger *zap.Logger, cfg Config) *Loop {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	l := &Loop{
		logger:      logger,
		cfg:         cfg,
		start:       time.Now(),
		events:      make(chan func(time.Duration), maxEvents),
		stopped:     make(chan struct{}),
		node:        newNode(cfg.Self, membership.Config{}, rng),
		subscribers: map[rumor.Topic][]func(rumor.Notice){},
	}
	for _, kind := range []peer.Kind{KindProbe, KindIndirect, KindIndirectAck, KindPull, KindRumor, KindSegment} {
		cfg.Transport.Handle(kind, l.handler(kind))
	}
	l.publishState(0)
	return l
}

func (l *Loop) now() time.Duration { return time.Since(l.start) }

// Run drives the control plane until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer l.work.Wait()
	defer close(l.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.work.Go(func() { l.followHostList(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-l.events:
			event(l.now())
		case <-ticker.C:
			l.node.tick(l.now())
		case <-ctx.Done():
			return
		}
		l.settle(ctx)
	}
}

// settle carries out what the node asks for and publishes what others see of it.
func (l *Loop) settle(ctx context.Context) {
	out := l.node.drain()
	for _, c := range out.calls {
		l.work.Go(func() { l.carry(ctx, c) })
	}
	if out.readStore {
		l.work.Go(func() { l.readStore(ctx) })
	}
	if out.watch {
		l.work.Go(func() { l.watch(ctx, out.watchAfter) })
	}
	for _, id := range out.segments {
		l.work.Go(func() { l.readSegment(ctx, id) })
	}
	if out.fleet != nil {
		l.work.Go(func() { l.writeFleet(ctx, *out.fleet) })
	}
	l.publishState(l.now())
	for _, notice := range out.notices {
		for _, receive := range l.subscribers[notice.Topic] {
			receive(notice)
		}
	}
}

// publishState makes the state visible to other goroutines.
func (l *Loop) publishState(now time.Duration) {
	l.servesUntil.Store(int64(l.node.servesUntil(now)))
	if catalogue := l.node.state.Catalogue.Document(); catalogue != l.catalogue.Load() {
		l.catalogue.Store(catalogue)
		recent := accepted(l.node.state.Catalogue.Records(), 0)
		l.changes.Store(&recent)
		if l.cfg.OnCatalogue != nil {
			l.cfg.OnCatalogue(catalogue)
		}
	}
	// A cut of a region changes a thousand members within seconds, so the list is not copied at each change.
	if version := l.node.members.Version(); version != l.version && (now >= l.nextMembers) {
		l.version = version
		l.nextMembers = now + tickInterval
		members := l.node.members.Members()
		l.members.Store(&members)
	}
	fleet := l.node.state.Fleet.Document()
	if known := l.fleet.Load(); known == nil || known.Generation != uint64(fleet.Generation) {
		table := &FleetTable{Generation: uint64(fleet.Generation)}
		for _, host := range fleet.Hosts {
			table.Hosts = append(table.Hosts, FleetHost(host))
		}
		l.fleet.Store(table)
	}
}

// post hands the control loop an event of the host itself, which must not be lost.
func (l *Loop) post(event func(now time.Duration)) {
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

// offer hands the control loop an event that others repeat if it is lost.
func (l *Loop) offer(event func(now time.Duration)) bool {
	select {
	case l.events <- event:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// ask runs a function in the control loop and waits for it.
func (l *Loop) ask(ctx context.Context, run func(now time.Duration)) error {
	done := make(chan struct{})
	if !l.offer(func(now time.Duration) {
		defer close(done)
		run(now)
	}) {
		return errBusy
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return errStopped
	}
}

// Catalogue implements View.
func (l *Loop) Catalogue() *model.Catalogue { return l.catalogue.Load() }

// Fenced implements View. It compares the clock at each call, so a process that wakes up after a pause is fenced before
// the control loop has run.
func (l *Loop) Fenced() bool { return l.now() >= time.Duration(l.servesUntil.Load()) }

// Ready returns nil if this host takes new work, or the refusal to send.
func (l *Loop) Ready() error {
	switch {
	case l.Catalogue() == nil:
		return fault.New(fault.NotReady, fault.NotRun, "use another host", "this host has no configuration yet")
	case l.Fenced():
		return fault.New(fault.CutOff, fault.NotRun, "use another host", "this host may be cut off from accepted changes")
	}
	return nil
}

// Members implements View.
func (l *Loop) Members() []membership.Member { return *l.members.Load() }

// FleetTable implements View.
func (l *Loop) FleetTable() FleetTable { return *l.fleet.Load() }

// Changes returns the recent accepted changes in the order of their generations. It needs no store.
func (l *Loop) Changes(context.Context) ([]change.Accepted, error) {
	if changes := l.changes.Load(); changes != nil {
		return *changes, nil
	}
	return []change.Accepted{}, nil
}

// Publish implements View. The notice is dropped and counted if the control loop has too much to do.
func (l *Loop) Publish(notice rumor.Notice) {
	l.offer(func(now time.Duration) { l.node.publish(now, notice) })
}

// Subscribe implements View.
func (l *Loop) Subscribe(topic rumor.Topic, receive func(rumor.Notice)) {
	l.subscribers[topic] = append(l.subscribers[topic], receive)
}

// Accept implements change.Acceptor. This host tells the others of the new generation at once.
func (l *Loop) Accept(ctx context.Context, c change.Change) (model.Generation, error) {
	generation, err := Accept(ctx, l.cfg.Store, c)
	if err == nil {
		l.post(func(now time.Duration) { l.node.accepted(now, generation, c) })
	}
	return generation, err
}

// Leave announces that this host stops by plan.
func (l *Loop) Leave(ctx context.Context) error {
	var failed error
	if err := l.ask(ctx, func(now time.Duration) { failed = l.node.leave(now) }); err != nil {
		return err
	}
	return failed
}
