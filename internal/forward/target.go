package forward

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/budget"
	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/replica"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
)

const (
	// budgetShare is the fraction of the allowed extra attempts that is used. The rest is a margin for requests that have
	// left the window and for hosts that are not known yet.
	budgetShare = 0.9
	// coldHostRate is the minimum rate, in requests per second, at which a host sends to a cold target. If the rate were
	// divided among more hosts, each of them would send less than one request in the time that the target is cold.
	coldHostRate = 1.0
	// connectionShare is the fraction of a target's connections that all hosts together use.
	connectionShare = 0.9
)

// targetState is this host's state about one target. It is guarded by the engine's mutex.
type targetState struct {
	stats       replica.ShortTermStats
	id          model.TargetID
	incarnation model.Incarnation
	address     string
	// witness relates attempts without an answer to the end of the instance; endVerdict is how that became known. probing
	// is set while a probe is in progress.
	witness    evidence.Witness
	endVerdict TargetVerdict
	probing    bool
	// endLearned means that another host has found that the instance ended, and that no probe has confirmed or refuted it yet.
	endLearned bool
	// nextProbe is the monotime reading from which the instance may be probed again, if it was probed.
	probed    bool
	nextProbe time.Duration
	// leaving means that the instance has said that it is shutting down; quietUntil is the time until which it wants nothing
	// from this host.
	leaving    bool
	quietUntil time.Duration
	// coldUntil is until when the target is cold by its own word. lastPicked is when an attempt was last sent to it. asked is set while
	// it is asked for its health because the store is away.
	coldUntil, lastPicked time.Duration
	asked                 bool
	// coldTokens is the token bucket for requests to the target while it is cold; coldRefilled is the time of its last
	// refill.
	coldTokens   float64
	coldRefilled time.Duration
}

// serviceState is this host's state about one service. It is guarded by the engine's mutex.
type serviceState struct {
	extra *budget.Bucket
	// fleetShare is this host's fraction of fleet-wide budgets, from 0 to 1.
	fleetShare float64
	latency    replica.LatencyHistogram
}

// target returns the state of a target. A new incarnation of a target starts with a new state.
func (e *Engine) target(t *registry.Target) *targetState {
	state := e.targets[t.Target]
	if state == nil || state.incarnation != t.Incarnation {
		state = &targetState{id: t.Target, incarnation: t.Incarnation, address: t.Address, coldTokens: 1}
		state.leaving = e.cfg.Evidence.IsLeaving(state.instance())
		state.endLearned = e.cfg.Evidence.HasEnded(state.instance())
		e.targets[t.Target] = state
		delete(e.unwilling, t.Target)
		if state.leaving {
			e.unwilling[t.Target] = state
		}
	}
	return state
}

func (e *Engine) service(id model.ServiceID, fleetShare float64) *serviceState {
	state := e.services[id]
	if state == nil {
		state = &serviceState{}
		state.resize(e.cfg, fleetShare)
		e.services[id] = state
	}
	return state
}

// resize sets the budget of the service to this host's share. A replacement bucket starts with at most the tokens of the
// previous one, because the difference may already have been spent. The first bucket starts full.
func (s *serviceState) resize(cfg Config, fleetShare float64) {
	if s.fleetShare == fleetShare {
		return
	}
	previous := s.extra
	s.fleetShare = fleetShare
	s.extra = budget.New(budget.Config{
		Share: cfg.ExtraRatio * budgetShare,
		Burst: cfg.ExtraSlack * budgetShare * fleetShare,
	})
	if previous != nil {
		s.extra.Cap(previous.Tokens())
	}
}

// isCold reports whether a target is cold, by its entry in the store or by its own word.
func (t *targetState) isCold(now time.Duration, registered *registry.Target) bool {
	return now < max(registered.ColdUntil, t.coldUntil)
}

// takeColdToken takes the token for a request to a cold target. It returns true for targets that are not cold. All hosts
// together stay within the rate, because each host has either an equal share of it or none.
func (e *Engine) takeColdToken(now time.Duration, rs *RoutingState, t *registry.Target, state *targetState) bool {
	service := rs.Table.Services[t.Service]
	if service.ColdRate <= 0 || !state.isCold(now, t) {
		return true
	}
	senders := min(len(rs.Fleet.Relays), max(1, int(service.ColdRate/coldHostRate)))
	if !e.isColdSender(t.Target, senders, rs.Fleet.Relays) {
		return false
	}
	rate := service.ColdRate / float64(senders)
	state.coldTokens = min(1, state.coldTokens+rate*(now-state.coldRefilled).Seconds())
	state.coldRefilled = now
	if state.coldTokens < 1 {
		return false
	}
	state.coldTokens--
	return true
}

// isColdSender reports whether this host is one of the relays that send to a cold target. They are selected by rendezvous
// hashing: hosts that know the same relays agree on the senders.
func (e *Engine) isColdSender(target model.TargetID, senders int, relays []model.HostID) bool {
	own := coldSenderRank(target, e.cfg.Host)
	higher, known := 0, false
	for _, host := range relays {
		known = known || host == e.cfg.Host
		if coldSenderRank(target, host) > own {
			higher++
		}
	}
	return known && higher < senders
}

func coldSenderRank(target model.TargetID, host model.HostID) uint64 {
	return xxhash.Sum64String(string(target) + "/" + string(host))
}

// connectionLimit returns the number of connections that this host may have to a target of the service, 0 for no limit.
func connectionLimit(service routing.Service, fleetShare float64) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(connectionShare*float64(service.MaxConnections)*fleetShare))
}
