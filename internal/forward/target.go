package forward

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/budget"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/replica"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
)

const (
	// budgetShare is the part of the allowed extra attempts that is used. The rest absorbs requests whose window has passed
	// and hosts that are not known yet.
	budgetShare = 0.9
	// coldHostRate is the rate of requests to a cold target below which a host gets none: a rate that is divided among too
	// many hosts would leave each of them less than one request in the time that the target is cold.
	coldHostRate = 1.0
	// connectionShare is the part of a target's connections that all hosts together use.
	connectionShare = 0.9
)

// targetState is what this host knows about one target. It belongs to the engine's mutex.
type targetState struct {
	pace        replica.Pace
	incarnation model.Incarnation
	// coldTokens is the right to send to the target while it is cold; coldFilled is the time of its last refill.
	coldTokens float64
	coldFilled time.Duration
}

// serviceState is what this host knows about one service. It belongs to the engine's mutex.
type serviceState struct {
	extra   *budget.Bucket
	part    float64
	latency replica.Sketch
}

func (e *Engine) target(t *registry.Target) *targetState {
	state := e.targets[t.Target]
	if state == nil || state.incarnation != t.Incarnation {
		state = &targetState{incarnation: t.Incarnation, coldTokens: 1}
		e.targets[t.Target] = state
	}
	return state
}

func (e *Engine) service(id model.ServiceID, part float64) *serviceState {
	state := e.services[id]
	if state == nil {
		state = &serviceState{}
		state.resize(e.cfg, part)
		e.services[id] = state
	}
	return state
}

// resize gives the service this host's part of the budget. A bucket that is made anew starts empty unless it is the first,
// because what the former one held may have been spent.
func (s *serviceState) resize(cfg Config, part float64) {
	if s.part == part {
		return
	}
	former := s.extra
	s.part = part
	s.extra = budget.New(budget.Config{
		Share: cfg.ExtraRatio * budgetShare,
		Burst: cfg.ExtraSlack * budgetShare * part,
	})
	if former != nil {
		s.extra.Limit(former.Tokens())
	}
}

// takeCold takes the right to one request to a target that is cold. All hosts together stay within the rate, because each
// of them has an equal part of it, or none.
func (e *Engine) takeCold(now time.Duration, w *World, t *registry.Target, state *targetState) bool {
	service := w.Table.Services[t.Service]
	if service.ColdRate <= 0 || now >= t.ColdUntil {
		return true
	}
	senders := min(len(w.Fleet.Relays), max(1, int(service.ColdRate/coldHostRate)))
	if !e.isSender(t.Target, senders, w.Fleet.Relays) {
		return false
	}
	rate := service.ColdRate / float64(senders)
	state.coldTokens = min(1, state.coldTokens+rate*(now-state.coldFilled).Seconds())
	state.coldFilled = now
	if state.coldTokens < 1 {
		return false
	}
	state.coldTokens--
	return true
}

// isSender tells whether this host is among the relays that send to a cold target: those with the highest hashes. All hosts
// know the same relays, so that they agree on the senders.
func (e *Engine) isSender(target model.TargetID, senders int, relays []model.HostID) bool {
	own := senderRank(target, e.cfg.Host)
	higher, known := 0, false
	for _, host := range relays {
		known = known || host == e.cfg.Host
		if senderRank(target, host) > own {
			higher++
		}
	}
	return known && higher < senders
}

func senderRank(target model.TargetID, host model.HostID) uint64 {
	return xxhash.Sum64String(string(target) + "/" + string(host))
}

// connections returns the number of connections that this host may have to a target of the service.
func connections(service routing.Service, part float64) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(connectionShare*float64(service.MaxConnections)*part))
}
