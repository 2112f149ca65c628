package server

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/quarantine"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// busyPollInterval is the interval at which a request checks whether another run of the same suspect has ended.
const busyPollInterval = 10 * time.Millisecond

// reducedGrantInterval: one in this many requests of a caller with a reduced grant is admitted. It is the inverse of
// quarantine.ReducedGrantFraction.
const reducedGrantInterval = 10

// guard detects requests that crash targets and keeps them from reaching more targets. It is safe for concurrent use.
type guard struct {
	logger  *zap.Logger
	started time.Time
	self    model.HostID

	mu                   sync.Mutex
	state                *quarantine.State
	alone                map[quarantine.Fingerprint]bool // suspect requests that this host is running alone
	reducedGrantRequests map[model.CallerID]int          // request counts of callers with a reduced grant
	publish              func(rumor.Notice)              // nil until connect is called
}

var _ execute.Guard = (*guard)(nil)

func newGuard(logger *zap.Logger, self model.HostID) *guard {
	return &guard{
		logger:               logger,
		started:              time.Now(),
		self:                 self,
		state:                quarantine.New(self),
		alone:                map[quarantine.Fingerprint]bool{},
		reducedGrantRequests: map[model.CallerID]int{},
	}
}

// connect exchanges quarantine notices with the guards of other hosts. It must be called before the control loop starts.
func (g *guard) connect(publish func(rumor.Notice), subscribe func(rumor.Topic, func(rumor.Notice))) {
	g.publish = publish
	subscribe(rumor.TopicQuarantine, func(notice rumor.Notice) {
		var message quarantine.Message
		if err := msgpack.Unmarshal(notice.Payload, &message); err != nil || notice.Origin == g.self {
			return
		}
		g.update(func(now time.Duration) { g.state.Step(now, message) })
	})
}

// update runs step under the mutex and then publishes the messages that it produced.
func (g *guard) update(step func(now time.Duration)) {
	g.mu.Lock()
	step(time.Since(g.started))
	messages := g.state.TakeMessages()
	g.mu.Unlock()
	for _, message := range messages {
		g.publishMessage(message)
	}
}

func (g *guard) publishMessage(message quarantine.Message) {
	if message.Report != nil {
		g.logger.Warn("target lost with requests in flight", zap.String("target", string(message.Report.Target)),
			zap.Int("suspects", len(message.Report.Entries)))
	}
	if g.publish == nil {
		return
	}
	payload, err := msgpack.Marshal(message)
	if err != nil {
		g.logger.Error("cannot encode quarantine notice", zap.Error(err))
		return
	}
	key, epoch := message.Key()
	g.publish(rumor.Notice{Topic: rumor.TopicQuarantine, Key: key, Epoch: epoch, Origin: g.self, Payload: payload})
}

// Admit implements execute.Guard. If the same suspect is already running alone, the request waits for up to half of the
// time left until its deadline.
func (g *guard) Admit(ctx context.Context, caller model.CallerID, fingerprint uint64) (bool, func(bool), error) {
	deadline, _ := ctx.Deadline()
	waitUntil := time.Now().Add(time.Until(deadline) / 2)
	for {
		if errors.Is(ctx.Err(), context.Canceled) {
			return false, nil, errCallerLeft
		}
		run, err := g.tryAdmit(caller, quarantine.Fingerprint(fingerprint))
		if err != nil {
			return false, nil, err
		}
		busy := run.Verdict == quarantine.Busy
		if busy && time.Now().Before(waitUntil) {
			_ = ctxtime.Sleep(ctx, busyPollInterval) // the loop ends with the context
			continue
		}
		if busy || run.Verdict == quarantine.Quarantined {
			return false, nil, errRefusedRun(run)
		}
		return run.Verdict == quarantine.Alone, func(succeeded bool) { g.end(run, succeeded) }, nil
	}
}

func (g *guard) tryAdmit(caller model.CallerID, fingerprint quarantine.Fingerprint) (run quarantine.Run, err error) {
	g.update(func(now time.Duration) {
		run = g.state.Admit(now, fingerprint)
		switch {
		case run.Verdict == quarantine.Busy || run.Verdict == quarantine.Quarantined:
		case !g.passesReducedGrant(now, caller):
			g.state.End(run, false)
			err = fault.New(fault.RateLimited, fault.NotRun, "find out which of your requests crash targets",
				"the grant of caller %s is reduced to a tenth because its requests have crashed targets", caller).
				WithRetryAfter(time.Second)
		case run.Verdict == quarantine.Alone:
			g.alone[fingerprint] = true
		}
	})
	return run, err
}

// passesReducedGrant reports whether to admit a request: always if the grant of the caller is not reduced, otherwise for one
// in reducedGrantInterval requests. The mutex must be held.
func (g *guard) passesReducedGrant(now time.Duration, caller model.CallerID) bool {
	if g.state.GrantFraction(now, caller) == 1 {
		delete(g.reducedGrantRequests, caller)
		return true
	}
	g.reducedGrantRequests[caller]++
	return g.reducedGrantRequests[caller]%reducedGrantInterval == 1
}

func errRefusedRun(run quarantine.Run) error {
	if run.Verdict == quarantine.Busy {
		return fault.New(fault.Overloaded, fault.NotRun, "send the request again later",
			"a target was lost while the request ran; it runs alone until it has succeeded").WithRetryAfter(run.RetryAfter)
	}
	return fault.New(fault.Quarantined, fault.NotRun, "do not send this request again: change it",
		"targets were lost each time the request ran").WithRetryAfter(run.RetryAfter)
}

func (g *guard) end(run quarantine.Run, succeeded bool) {
	g.update(func(time.Duration) {
		if run.Verdict == quarantine.Alone {
			delete(g.alone, run.Fingerprint)
		}
		g.state.End(run, succeeded)
	})
}

// Started implements execute.Guard.
func (g *guard) Started(id model.AttemptID, target model.TargetID, caller model.CallerID, fingerprint uint64) {
	g.update(func(time.Duration) {
		key := quarantine.Fingerprint(fingerprint)
		g.state.Started(quarantine.Attempt{ID: id, Target: target, Caller: caller, Fingerprint: key, Alone: g.alone[key]})
	})
}

// Ended implements execute.Guard.
func (g *guard) Ended(id model.AttemptID, target model.TargetID, incarnation model.Incarnation, err error) {
	g.update(func(now time.Duration) {
		if errors.Is(err, targetclient.ErrLost) {
			g.state.Lost(now, id, target)
			return
		}
		g.state.Replied(now, id, target, incarnation)
	})
}

// observeStatus processes a target's status report.
func (g *guard) observeStatus(status model.TargetStatus) {
	g.update(func(now time.Duration) {
		g.state.ObserveIncarnation(now, status.Target, status.Incarnation)
		g.state.Draining(status.Target, status.State == model.TargetDraining)
	})
}

// retainTargets drops the state of all targets except the given ones.
func (g *guard) retainTargets(targets []model.Target) {
	known := make(map[model.TargetID]bool, len(targets))
	for _, target := range targets {
		known[target.ID] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Forget(func(id model.TargetID) bool { return known[id] })
}

// statistics returns the quarantine state for state dumps.
func (g *guard) statistics() quarantine.Statistics {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Statistics(time.Since(g.started))
}
