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
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
	"github.com/knapweedrouter/knapweedrouter/internal/share"
)

const (
	gateTick = 50 * time.Millisecond
	// addressRefresh is the interval at which the addresses of members are refreshed.
	addressRefresh = time.Second
)

// gates enforces the limits that hosts share and decides which targets may receive work. It implements gate.TargetGate and
// gate.CallerLimits. One mutex guards the state machines; messages are sent after it is released.
type gates struct {
	logger    *zap.Logger
	self      model.HostID
	view      control.View
	transport peer.Transport
	clock     monotime.Clock

	mu               sync.Mutex
	shares           *share.State
	eligibility      *eligibility.State
	phases           *coldstart.State
	catalogue        *model.Catalogue
	targets          map[model.TargetID]model.Target
	callers          map[model.CallerID]model.Caller
	owners           map[model.TargetID]model.HostID
	unreachable      map[model.TargetID]bool
	ownersGeneration uint64
	addresses        map[model.HostID]string
	addressesAt      time.Duration
	// loanWaiters is the number of requests that are waiting for a loan.
	loanWaiters atomic.Int64
	// earlyTick makes run tick early, because a caller was refused and this host may be able to borrow more.
	earlyTick chan struct{}
	outbox
}

// outbox collects messages under the mutex that are sent once it is released.
type outbox struct {
	messages []share.OutgoingMessage
	reports  []outgoingProgress
	notices  []rumor.Notice
}

type outgoingProgress struct {
	to       model.HostID
	progress coldstart.Progress
}

// newGates returns gates with their handlers and subscriptions registered. It must be called before the transport and the
// control loop start.
func newGates(
	logger *zap.Logger, self model.HostID, incarnation model.Incarnation, view control.View, transport peer.Transport,
) *gates {
	g := &gates{
		logger:      logger,
		self:        self,
		view:        view,
		transport:   transport,
		clock:       monotime.NewClock(nil),
		shares:      share.New(share.Config{Self: self, Incarnation: incarnation}),
		eligibility: eligibility.New(),
		phases:      coldstart.New(),
		owners:      map[model.TargetID]model.HostID{},
		unreachable: map[model.TargetID]bool{},
		earlyTick:   make(chan struct{}, 1),
	}
	g.register()
	return g
}

// run periodically expires and requests loans and reports progress until the context ends.
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
		g.update(func(now time.Duration) { g.tick(now) })
	}
}

// now returns the time since the start of this host. Permits and loans that ran out while the machine was suspended are not used.
func (g *gates) now() time.Duration { return g.clock.Now() }

// update runs step under the mutex with the current configuration, and then sends the messages that it queued.
func (g *gates) update(step func(now time.Duration)) {
	out, addresses := g.updateLocked(step)
	g.deliver(out, addresses)
}

// updateLocked runs step under the mutex and returns the messages that it queued, and where hosts are.
func (g *gates) updateLocked(step func(now time.Duration)) (out outbox, addresses map[model.HostID]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.refresh(now)
	step(now)
	out = g.outbox
	g.outbox = outbox{}
	return out, g.addresses
}

// refresh reads the catalogue, the fenced state and the fleet table from the control view. It reads the fenced state first,
// so that the table is at least as recent as that state implies.
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
		g.refreshAddresses(now, table)
	}
}

func shareTable(table control.FleetTable) share.Table {
	result := share.Table{Generation: table.Generation}
	for _, host := range table.Hosts {
		result.Hosts = append(result.Hosts, share.TableHost{ID: host.ID, Region: host.Region})
	}
	return result
}

// refreshAddresses builds a new map, because the old one may be in use without the mutex.
func (g *gates) refreshAddresses(now time.Duration, table control.FleetTable) {
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
		g.publishPhase(g.phases.MarkReturned(now, id))
	}
	g.setCallers(now, catalogue.Callers)
}

func (g *gates) setCallers(now time.Duration, callers []model.Caller) {
	before := g.callers
	g.callers = make(map[model.CallerID]model.Caller, len(callers))
	for _, caller := range callers {
		g.callers[caller.ID] = caller
		g.setGrants(now, caller)
	}
	for id := range before {
		if _, kept := g.callers[id]; !kept {
			g.setGrants(now, model.Caller{ID: id})
		}
	}
}

func (g *gates) setGrants(now time.Duration, caller model.Caller) {
	for key, amount := range map[share.Key]float64{
		rateKey(caller.ID):     caller.Rate,
		costKey(caller.ID):     caller.Cost,
		inFlightKey(caller.ID): float64(caller.InFlight),
	} {
		if !g.shares.SetGrant(now, key, amount) {
			g.logger.Error("too many limits; this host refuses requests of the caller", zap.String("caller", string(caller.ID)),
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

// tick updates the permits of all targets and the loans. The mutex must be held.
func (g *gates) tick(now time.Duration) {
	for id, target := range g.targets {
		g.tickTarget(now, target, id)
	}
	g.messages = append(g.messages, g.shares.Tick(now)...)
}

// tickTarget sets the permits of a target and reports its cold-start progress to the quota owner.
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
		g.publishPhase(g.phases.ApplyProgress(now, g.self, progress))
	default:
		g.reports = append(g.reports, outgoingProgress{owner, progress})
	}
}

// ownerOf returns the quota owner of a target. Owners are cached for each fleet table.
func (g *gates) ownerOf(id model.TargetID) model.HostID {
	if generation := g.shares.Generation(); generation != g.ownersGeneration {
		g.owners = map[model.TargetID]model.HostID{}
		g.ownersGeneration = generation
	}
	owner, ok := g.owners[id]
	if !ok {
		owner = g.shares.Owner(coldKey(id))
		g.owners[id] = owner
	}
	return owner
}
