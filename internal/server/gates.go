package server

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/coldstart"
	"github.com/knapweedrouter/knapweedrouter/internal/control"
	"github.com/knapweedrouter/knapweedrouter/internal/eligibility"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
	"github.com/knapweedrouter/knapweedrouter/internal/share"
)

const (
	gateTick = 50 * time.Millisecond
	// addressRefresh is the age at which the addresses of the members are read again.
	addressRefresh = time.Second
)

// gates holds the limits that hosts share and decides which targets get work. It implements gate.TargetGate and
// gate.CallerLimits. The state machines are guarded by one mutex; no message is sent under it.
type gates struct {
	logger    *zap.Logger
	self      model.HostID
	view      control.View
	transport peer.Transport
	started   time.Time

	mu          sync.Mutex
	shares      *share.State
	eligibility *eligibility.State
	phases      *coldstart.State
	catalogue   *model.Catalogue
	targets     map[model.TargetID]model.Target
	callers     map[model.CallerID]model.Caller
	owners      map[model.TargetID]model.HostID
	unreachable map[model.TargetID]bool
	ownersOf    uint64
	addresses   map[model.HostID]string
	addressesAt time.Duration
	// waiting counts the requests that wait for a loan.
	waiting atomic.Int64
	// earlyTick tells run to tick early, because a caller was refused and this host may borrow more.
	earlyTick chan struct{}
	outbox
}

// outbox collects what was decided under the mutex and is sent after it.
type outbox struct {
	sends   []share.Send
	reports []addressedProgress
	notices []rumor.Notice
}

type addressedProgress struct {
	to       model.HostID
	progress coldstart.Progress
}

// newGates registers the handlers and receivers. It is called before the transport and the control loop start.
func newGates(logger *zap.Logger, self model.HostID, run model.Incarnation, view control.View, transport peer.Transport) *gates {
	g := &gates{
		logger:      logger,
		self:        self,
		view:        view,
		transport:   transport,
		started:     time.Now(),
		shares:      share.New(share.Config{Self: self, Run: run}),
		eligibility: eligibility.New(),
		phases:      coldstart.New(),
		owners:      map[model.TargetID]model.HostID{},
		unreachable: map[model.TargetID]bool{},
		earlyTick:   make(chan struct{}, 1),
	}
	g.register()
	return g
}

// run ends loans, asks for others and reports progress until the context ends.
func (g *gates) run(ctx context.Context) {
	ticker := time.NewTicker(gateTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.earlyTick:
		}
		g.do(func(now time.Duration) { g.tick(now) })
	}
}

// now is the monotonic time since the start of this host.
func (g *gates) now() time.Duration { return time.Since(g.started) }

// do runs a step under the mutex with the present configuration, and then sends what the step decided.
func (g *gates) do(step func(now time.Duration)) {
	g.mu.Lock()
	now := g.now()
	g.refresh(now)
	step(now)
	out := g.outbox
	g.outbox = outbox{}
	addresses := g.addresses
	g.mu.Unlock()
	g.deliver(out, addresses)
}

// refresh takes over the catalogue, the fence and the fleet table. The fence is read first, so that the table is at
// least as new as the fence says.
func (g *gates) refresh(now time.Duration) {
	fenced := g.view.Fenced()
	table := g.view.FleetTable()
	g.shares.SetFenced(now, fenced)
	if !fenced && table.Generation == 0 {
		g.shares.ConfirmNoTable()
	}
	if table.Generation > g.shares.Generation() {
		g.shares.SetTable(now, shareTable(table))
		g.addresses = nil
	}
	if catalogue := g.view.Catalogue(); catalogue != nil && catalogue != g.catalogue {
		g.setCatalogue(now, catalogue)
	}
	if g.addresses == nil || now-g.addressesAt > addressRefresh {
		g.readAddresses(now, table)
	}
}

func shareTable(table control.FleetTable) share.Table {
	result := share.Table{Generation: table.Generation}
	for _, host := range table.Hosts {
		result.Hosts = append(result.Hosts, share.TableHost{ID: host.ID, Region: host.Region})
	}
	return result
}

// readAddresses makes a new map, because the old one may be in use outside the mutex.
func (g *gates) readAddresses(now time.Duration, table control.FleetTable) {
	addresses := make(map[model.HostID]string, len(table.Hosts))
	for _, host := range table.Hosts {
		addresses[host.ID] = host.Address
	}
	for _, member := range g.view.Members() {
		addresses[member.ID] = member.Address
	}
	g.addresses = addresses
	g.addressesAt = now
}

func (g *gates) setCatalogue(now time.Duration, catalogue *model.Catalogue) {
	g.catalogue = catalogue
	returned := g.eligibility.SetCatalogue(catalogue)
	g.targets = make(map[model.TargetID]model.Target, len(catalogue.Targets))
	var targets []coldstart.Target
	for _, t := range catalogue.Targets {
		g.targets[t.ID] = t
		targets = append(targets, coldstart.Target{ID: t.ID, Slots: t.Slots, ColdSlots: t.ColdSlots})
	}
	g.phases.SetTargets(now, targets)
	maps.DeleteFunc(g.unreachable, func(id model.TargetID, _ bool) bool { return g.targets[id].ID == "" })
	for _, id := range returned {
		g.spreadPhase(g.phases.Return(now, id))
	}
	g.setCallers(now, catalogue.Callers)
}

func (g *gates) setCallers(now time.Duration, callers []model.Caller) {
	before := g.callers
	g.callers = make(map[model.CallerID]model.Caller, len(callers))
	for _, caller := range callers {
		g.callers[caller.ID] = caller
		g.grant(now, caller)
	}
	for id := range before {
		if _, kept := g.callers[id]; !kept {
			g.grant(now, model.Caller{ID: id})
		}
	}
}

func (g *gates) grant(now time.Duration, caller model.Caller) {
	for key, amount := range map[share.Key]float64{
		rateKey(caller.ID):     caller.Rate,
		costKey(caller.ID):     caller.Cost,
		inFlightKey(caller.ID): float64(caller.InFlight),
	} {
		if !g.shares.SetGrant(now, key, amount) {
			g.logger.Error("too many limits; this host refuses the caller", zap.String("caller", string(caller.ID)),
				zap.String("limit", string(key.Kind)), zap.Int("keys", share.MaxKeys))
		}
	}
}

func rateKey(id model.CallerID) share.Key { return share.Key{Kind: share.Rate, ID: string(id)} }
func costKey(id model.CallerID) share.Key { return share.Key{Kind: share.Cost, ID: string(id)} }
func inFlightKey(id model.CallerID) share.Key {
	return share.Key{Kind: share.InFlight, ID: string(id)}
}
func coldKey(id model.TargetID) share.Key { return share.Key{Kind: share.Cold, ID: string(id)} }

// tick runs under the mutex.
func (g *gates) tick(now time.Duration) {
	for id, target := range g.targets {
		g.tickTarget(now, target, id)
	}
	g.sends = append(g.sends, g.shares.Tick(now)...)
}

// tickTarget sets the permits of a target and reports its progress to the permit owner.
func (g *gates) tickTarget(now time.Duration, target model.Target, id model.TargetID) {
	if g.phases.IsWarm(id) {
		g.shares.SetGrant(now, coldKey(id), 0)
		return
	}
	owner := g.ownerOf(id)
	permits := target.Slots
	if owner == g.self {
		permits = g.phases.Allowance(now, id)
	}
	g.shares.SetGrant(now, coldKey(id), float64(permits))
	progress, ok := g.phases.Report(now, id)
	switch {
	case !ok:
	case owner == g.self:
		g.spreadPhase(g.phases.Progress(now, g.self, progress))
	default:
		g.reports = append(g.reports, addressedProgress{owner, progress})
	}
}

// ownerOf returns the permit owner of a target. It is computed once for each fleet table.
func (g *gates) ownerOf(id model.TargetID) model.HostID {
	if generation := g.shares.Generation(); generation != g.ownersOf {
		g.owners = map[model.TargetID]model.HostID{}
		g.ownersOf = generation
	}
	owner, ok := g.owners[id]
	if !ok {
		owner = g.shares.Owner(coldKey(id))
		g.owners[id] = owner
	}
	return owner
}
