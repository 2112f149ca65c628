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

// busyPoll is the time between two looks at a suspect that is running alone.
const busyPoll = 10 * time.Millisecond

// cutEvery is the number of requests of a cut caller of which one is admitted: the inverse of quarantine.CutGrant.
const cutEvery = 10

// guard keeps requests that crash targets from the other targets. It is safe for concurrent use.
type guard struct {
	logger  *zap.Logger
	started time.Time
	self    model.HostID

	mu      sync.Mutex
	state   *quarantine.State
	alone   map[quarantine.Fingerprint]bool // the requests that this host is running alone
	cut     map[model.CallerID]int          // requests of cut callers
	publish func(rumor.Notice)              // nil while there are no other hosts
}

var _ execute.Guard = (*guard)(nil)

func newGuard(logger *zap.Logger, self model.HostID) *guard {
	return &guard{
		logger:  logger,
		started: time.Now(),
		self:    self,
		state:   quarantine.New(self),
		alone:   map[quarantine.Fingerprint]bool{},
		cut:     map[model.CallerID]int{},
	}
}

// connect joins the guards of all hosts by notices. It is called before the control loop starts.
func (g *guard) connect(publish func(rumor.Notice), subscribe func(rumor.Topic, func(rumor.Notice))) {
	g.publish = publish
	subscribe(rumor.TopicQuarantine, func(notice rumor.Notice) {
		var message quarantine.Message
		if err := msgpack.Unmarshal(notice.Payload, &message); err != nil || notice.Origin == g.self {
			return
		}
		g.do(func(now time.Duration) { g.state.Step(now, message) })
	})
}

// do runs a step under the mutex and then publishes what it decided.
func (g *guard) do(step func(now time.Duration)) {
	g.mu.Lock()
	step(time.Since(g.started))
	messages := g.state.Drain()
	g.mu.Unlock()
	for _, message := range messages {
		g.spread(message)
	}
}

func (g *guard) spread(message quarantine.Message) {
	if message.Report != nil {
		g.logger.Warn("target lost with requests in flight", zap.String("target", string(message.Report.Target)),
			zap.Int("suspects", len(message.Report.Entries)))
	}
	if g.publish == nil {
		return
	}
	payload, err := msgpack.Marshal(message)
	if err != nil {
		g.logger.Error("quarantine notice", zap.Error(err))
		return
	}
	key, epoch := message.Key()
	g.publish(rumor.Notice{Topic: rumor.TopicQuarantine, Key: key, Epoch: epoch, Origin: g.self, Payload: payload})
}

// Admit implements execute.Guard. A suspect that is running alone already waits for up to half of its time.
func (g *guard) Admit(ctx context.Context, caller model.CallerID, fingerprint uint64) (bool, func(bool), error) {
	deadline, _ := ctx.Deadline()
	waitUntil := time.Now().Add(time.Until(deadline) / 2)
	for {
		run, err := g.tryAdmit(caller, quarantine.Fingerprint(fingerprint))
		if err != nil {
			return false, nil, err
		}
		isBusy := run.Verdict == quarantine.Busy
		if isBusy && time.Now().Before(waitUntil) {
			ctxtime.Sleep(ctx, busyPoll)
			continue
		}
		if isBusy || run.Verdict == quarantine.Quarantined {
			return false, nil, refusedRun(run)
		}
		return run.Verdict == quarantine.Alone, func(whole bool) { g.end(run, whole) }, nil
	}
}

func (g *guard) tryAdmit(caller model.CallerID, fingerprint quarantine.Fingerprint) (run quarantine.Run, err error) {
	g.do(func(now time.Duration) {
		run = g.state.Admit(now, fingerprint)
		switch {
		case run.Verdict == quarantine.Busy || run.Verdict == quarantine.Quarantined:
		case !g.passesCut(now, caller):
			g.state.End(run, false)
			err = fault.New(fault.RateLimited, fault.NotRun, "find out which of your requests crash targets",
				"the grant of caller %s is cut to a tenth: its requests have crashed targets", caller).WithRetryAfter(time.Second)
		case run.Verdict == quarantine.Alone:
			g.alone[fingerprint] = true
		}
	})
	return run, err
}

// passesCut admits one of cutEvery requests of a caller whose grant is cut. It runs under the mutex.
func (g *guard) passesCut(now time.Duration, caller model.CallerID) bool {
	if g.state.Grant(now, caller) == 1 {
		delete(g.cut, caller)
		return true
	}
	g.cut[caller]++
	return g.cut[caller]%cutEvery == 1
}

func refusedRun(run quarantine.Run) error {
	if run.Verdict == quarantine.Busy {
		return fault.New(fault.Overloaded, fault.NotRun, "send the request again later",
			"a target was lost while the request ran; it runs alone until it has succeeded").WithRetryAfter(run.RetryAfter)
	}
	return fault.New(fault.Quarantined, fault.NotRun, "do not send this request again: change it",
		"targets were lost each time the request ran").WithRetryAfter(run.RetryAfter)
}

func (g *guard) end(run quarantine.Run, whole bool) {
	g.do(func(time.Duration) {
		if run.Verdict == quarantine.Alone {
			delete(g.alone, run.Fingerprint)
		}
		g.state.End(run, whole)
	})
}

// Started implements execute.Guard.
func (g *guard) Started(id model.AttemptID, target model.TargetID, caller model.CallerID, fingerprint uint64) {
	g.do(func(time.Duration) {
		of := quarantine.Fingerprint(fingerprint)
		g.state.Started(quarantine.Attempt{ID: id, Target: target, Caller: caller, Fingerprint: of, Alone: g.alone[of]})
	})
}

// Ended implements execute.Guard.
func (g *guard) Ended(id model.AttemptID, target model.TargetID, incarnation model.Incarnation, err error) {
	g.do(func(now time.Duration) {
		if errors.Is(err, targetclient.ErrLost) {
			g.state.Lost(now, id, target)
			return
		}
		g.state.Replied(now, id, target, incarnation)
	})
}

// seen takes a target's status report.
func (g *guard) seen(status model.TargetStatus) {
	g.do(func(now time.Duration) {
		g.state.Seen(now, status.Target, status.Incarnation)
		g.state.Draining(status.Target, status.State == model.TargetDraining)
	})
}

// forget drops the state of targets that the catalogue does not name any more.
func (g *guard) forget(targets []model.Target) {
	known := make(map[model.TargetID]bool, len(targets))
	for _, target := range targets {
		known[target.ID] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Forget(func(id model.TargetID) bool { return known[id] })
}

// statistics returns the state for dumps.
func (g *guard) statistics() quarantine.Statistics {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Statistics(time.Since(g.started))
}
