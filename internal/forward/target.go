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
	hosts   int
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

func (e *Engine) service(id model.ServiceID, hosts int) *serviceState {
	state := e.services[id]
	if state == nil {
		state = &serviceState{}
		state.resize(e.cfg, hosts)
		e.services[id] = state
	}
	return state
}

// resize gives the service the budget of one of the hosts. A bucket that is made anew starts empty unless it is the first,
// because what the former one held may have been spent.
func (s *serviceState) resize(cfg Config, hosts int) {
	if s.hosts == hosts {
		return
	}
	former := s.extra
	s.hosts = hosts
	s.extra = budget.New(budget.Config{
		Share: cfg.ExtraRatio * budgetShare,
		Burst: cfg.ExtraSlack * budgetShare / float64(hosts),
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
	senders := min(w.Hosts, max(1, int(service.ColdRate/coldHostRate)))
	if !e.isSender(t.Target, senders, w.Hosts) {
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

// isSender tells whether this host is among those that send to a cold target. The hash spreads the cold targets over the
// hosts.
func (e *Engine) isSender(target model.TargetID, senders, hosts int) bool {
	if senders >= hosts {
		return true
	}
	digest := xxhash.Sum64String(string(target) + "/" + string(e.cfg.Host))
	return digest%uint64(hosts) < uint64(senders)
}

// connections returns the number of connections that this host may have to a target of the service.
func connections(service routing.Service, hosts int) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(connectionShare*float64(service.MaxConnections)/float64(hosts)))
}
