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
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// tickInterval is the period of the control loop's timer.
	tickInterval = 50 * time.Millisecond
	// eventQueueSize bounds the events queued for the control loop.
	eventQueueSize = 1024
	// hostListInterval is the mean time between two reads of the host list. It can be long because the list only adds
	// hosts.
	hostListInterval = 5 * time.Second
	hostListTimeout  = 2 * time.Second
)

var (
	errBusy    = errors.New("control: the event queue is full; try again")
	errStopped = errors.New("control: the control loop is stopped")
)

// Transport is the subset of the peer transport that the control loop uses.
type Transport interface {
	peer.Transport
	// SetIncarnation sets the incarnation to send in subsequent frames.
	SetIncarnation(incarnation model.Incarnation)
}

// Config holds the dependencies of a control loop.
type Config struct {
	// Self is this host with its peer address and the incarnation of this process.
	Self      membership.Member
	Store     store.Store
	HostList  hostlist.HostList
	Transport Transport
	// Suspended returns the time for which the machine has been suspended; nil means monotime.Suspended.
	Suspended func() time.Duration
	// OnCatalogue is called from the control loop with each newly applied catalogue. It must not block and may be
	// nil.
	OnCatalogue func(*model.Catalogue)
}

// Loop runs the control plane of one host. A single goroutine owns all state; other goroutines send it events over a
// bounded queue. It implements View and change.Acceptor, and is safe for concurrent use.
type Loop struct {
	logger *zap.Logger
	cfg    Config
	clock  monotime.Clock
	// events is the queue of the control loop. When it is full, frames and notices are rejected, while results of this
	// host's own calls wait.
	events        chan func(now time.Duration)
	stopped       chan struct{}
	tasks         conc.WaitGroup
	node          *node
	subscribers   map[rumor.Topic][]func(rumor.Notice)
	droppedEvents atomic.Uint64

	catalogue         atomic.Pointer[model.Catalogue]
	servesUntil       atomic.Int64 // nanoseconds since start
	members           atomic.Pointer[[]membership.Member]
	fleet             atomic.Pointer[FleetTable]
	changes           atomic.Pointer[[]change.Accepted]
	publishedVersion  uint64 // membership version of the last published members
	nextMembersUpdate time.Duration
}

// New returns a control loop that has not been started, and registers its handlers with the transport.
func New(logger *zap.Logger, cfg Config) *Loop {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	l := &Loop{
		logger:      logger,
		cfg:         cfg,
		clock:       monotime.NewClock(cfg.Suspended),
		events:      make(chan func(time.Duration), eventQueueSize),
		stopped:     make(chan struct{}),
		node:        newNode(cfg.Self, membership.Config{}, rng),
		subscribers: map[rumor.Topic][]func(rumor.Notice){},
	}
	for _, kind := range []peer.Kind{KindProbe, KindIndirectProbe, KindIndirectProbeAck, KindPull, KindRumor, KindSegment} {
		cfg.Transport.Handle(kind, l.handler(kind))
	}
	l.publishState(0)
	return l
}

func (l *Loop) now() time.Duration { return l.clock.Now() }

// Run runs the control loop until the context is cancelled.
func (l *Loop) Run(ctx context.Context) {
	defer l.tasks.Wait()
	defer close(l.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.tasks.Go(func() { l.pollHostList(ctx) })
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
		l.flushOutput(ctx)
	}
}

// flushOutput performs the actions requested by the node, publishes its state and notifies subscribers.
func (l *Loop) flushOutput(ctx context.Context) {
	out := l.node.takeOutput()
	for _, c := range out.calls {
		l.tasks.Go(func() { l.sendCall(ctx, c) })
	}
	if out.readStore {
		l.tasks.Go(func() { l.readStore(ctx) })
	}
	if out.watch {
		l.tasks.Go(func() { l.watch(ctx, out.watchAfter) })
	}
	for _, id := range out.segments {
		l.tasks.Go(func() { l.readSegment(ctx, id) })
	}
	if out.fleet != nil {
		l.tasks.Go(func() { l.writeFleet(ctx, *out.fleet) })
	}
	l.publishState(l.now())
	for _, notice := range out.notices {
		for _, receive := range l.subscribers[notice.Topic] {
			receive(notice)
		}
	}
}

// publishState makes the node's state visible to other goroutines.
func (l *Loop) publishState(now time.Duration) {
	l.servesUntil.Store(int64(l.node.servesUntil(now)))
	if catalogue := l.node.state.Catalogue.Document(); catalogue != l.catalogue.Load() {
		l.catalogue.Store(catalogue)
		recent := acceptedChanges(l.node.state.Catalogue.Records(), 0)
		l.changes.Store(&recent)
		if l.cfg.OnCatalogue != nil {
			l.cfg.OnCatalogue(catalogue)
		}
	}
	// A partition of a region changes a thousand members within seconds, so copies of the list are rate-limited.
	if version := l.node.members.Version(); version != l.publishedVersion && now >= l.nextMembersUpdate {
		l.publishedVersion = version
		l.nextMembersUpdate = now + tickInterval
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

// post enqueues an event that must not be lost, blocking while the queue is full.
func (l *Loop) post(event func(now time.Duration)) {
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

// tryPost enqueues an event that the sender repeats if it is lost. It drops and counts the event if the queue is
// full.
func (l *Loop) tryPost(event func(now time.Duration)) bool {
	select {
	case l.events <- event:
		return true
	default:
		l.droppedEvents.Add(1)
		return false
	}
}

// runInLoop runs a function on the control loop's goroutine and waits for it to return.
func (l *Loop) runInLoop(ctx context.Context, run func(now time.Duration)) error {
	done := make(chan struct{})
	if !l.tryPost(func(now time.Duration) {
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

// Fenced implements View. It reads the clock on each call, so that a process resuming from a pause is fenced before
// the control loop has run.
func (l *Loop) Fenced() bool { return l.now() >= time.Duration(l.servesUntil.Load()) }

// Ready returns nil if this host accepts new work, and otherwise the error to reject requests with.
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

// Changes returns the recently accepted changes in generation order. It does not access the store.
func (l *Loop) Changes(context.Context) ([]change.Accepted, error) {
	if changes := l.changes.Load(); changes != nil {
		return *changes, nil
	}
	return []change.Accepted{}, nil
}

// Publish implements View. The notice is dropped and counted if the event queue is full.
func (l *Loop) Publish(notice rumor.Notice) {
	l.tryPost(func(now time.Duration) { l.node.publish(now, notice) })
}

// Subscribe implements View.
func (l *Loop) Subscribe(topic rumor.Topic, receive func(rumor.Notice)) {
	l.subscribers[topic] = append(l.subscribers[topic], receive)
}

// Accept implements change.Acceptor. On success this host announces the new generation immediately.
func (l *Loop) Accept(ctx context.Context, c change.Change) (model.Generation, error) {
	generation, err := Accept(ctx, l.cfg.Store, c)
	if err == nil {
		l.post(func(now time.Duration) { l.node.changeAccepted(now, generation, c) })
	}
	return generation, err
}

// Leave announces a planned shutdown of this host.
func (l *Loop) Leave(ctx context.Context) error {
	var failed error
	if err := l.runInLoop(ctx, func(now time.Duration) { failed = l.node.leave(now) }); err != nil {
		return err
	}
	return failed
}
