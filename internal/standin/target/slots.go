package target

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	// queuePerSlot is the queue length per slot at which a target starts to shed attempts.
	queuePerSlot = 2
	// coldSlowdown multiplies the service time of a cold target.
	coldSlowdown = 4
	// warmAfter is the number of attempts after which a cold target becomes warm.
	warmAfter = 40
	// coldCrashFactor times its cold slots is the number of attempts in flight that a cold target survives. One more
	// crashes it.
	coldCrashFactor = 4
	// restartTime is how long a crashed target is unreachable.
	restartTime = time.Second
)

// queuedAttempt is an admitted attempt. start is closed when it gets a slot.
type queuedAttempt struct {
	start chan struct{}
	ctx   context.Context
}

// run queues an attempt for a slot, occupies the slot for the service time and records the attempt.
func (t *Target) run(ctx context.Context, record Record, deadlineMS int64) error {
	ctx, cancel := context.WithTimeoutCause(ctx, time.Duration(deadlineMS)*time.Millisecond, targetclient.ErrDeadline)
	defer cancel()
	queued, err := t.admit(ctx, &record)
	if err != nil {
		return err
	}
	defer t.finish(&record)
	if err := t.awaitSlot(queued, &record); err != nil {
		return err
	}
	defer t.freeSlot()
	return t.process(queued.ctx, &record)
}

// admit adds an attempt to the target and starts it if a slot is free, or refuses it.
func (t *Target) admit(ctx context.Context, record *Record) (*queuedAttempt, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record.Start = time.Now()
	record.State = t.state
	record.InFlight = t.inFlight + 1
	if err := t.refusal(); err != nil {
		t.records = append(t.records, *record)
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	t.inFlight++
	t.cancels[record.Attempt] = cancel
	queued := &queuedAttempt{start: make(chan struct{}), ctx: ctx}
	if t.state == model.TargetCold && t.inFlight > coldCrashFactor*t.cfg.Target.ColdSlots {
		t.crash()
		return queued, nil
	}
	if t.running < t.concurrency() {
		t.running++
		close(queued.start)
		return queued, nil
	}
	t.queue = append(t.queue, queued)
	return queued, nil
}

// refusal returns the error with which a new attempt is refused, or nil. The caller holds the mutex.
func (t *Target) refusal() error {
	switch {
	case t.down:
		return targetclient.ErrNotSent
	case t.state == model.TargetDraining:
		return targetclient.ErrDraining
	case t.state != model.TargetCold && t.inFlight >= t.cfg.Target.Slots*(1+queuePerSlot):
		return targetclient.ErrShed
	}
	return nil
}

// concurrency returns the maximum number of attempts that run at once. The caller holds the mutex.
func (t *Target) concurrency() int {
	if t.state == model.TargetCold {
		return max(1, t.cfg.Target.ColdSlots)
	}
	return t.cfg.Target.Slots
}

// awaitSlot waits until the attempt gets a slot. An attempt that is cancelled or expires before that did not run.
func (t *Target) awaitSlot(queued *queuedAttempt, record *Record) error {
	select {
	case <-queued.start:
		return nil
	case <-queued.ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-queued.start: // the slot was assigned concurrently: pass it on
		t.running--
		t.startNext()
	default:
		t.removeQueued(queued)
	}
	record.Refused = true
	return context.Cause(queued.ctx)
}

// removeQueued removes an attempt from the queue. The caller holds the mutex.
func (t *Target) removeQueued(queued *queuedAttempt) {
	for i, other := range t.queue {
		if other == queued {
			t.queue = append(t.queue[:i], t.queue[i+1:]...)
			return
		}
	}
}

// process waits for the service time, unless the attempt is stopped.
func (t *Target) process(ctx context.Context, record *Record) error {
	t.mu.Lock()
	record.Ran = true
	duration := t.drawServiceTime()
	poison := t.poison != "" && record.Payload != "" && strings.Contains(record.Payload, t.poison)
	if poison {
		t.crash()
	}
	t.mu.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
	}
	if cause := context.Cause(ctx); errors.Is(cause, targetclient.ErrLost) {
		return cause
	}
	// The attempt was partly executed, so an expired deadline is reported as a cancellation.
	return targetclient.ErrCancelled
}

// drawServiceTime returns a random service time. The caller holds the mutex.
func (t *Target) drawServiceTime() time.Duration {
	// Half of the configured time is fixed and the rest exponentially distributed (0.72 ln 2 is about 0.5), so that the
	// configured time is the median.
	factor := 0.5 + t.rng.ExpFloat64()*0.72
	if t.state == model.TargetCold {
		factor *= coldSlowdown
	}
	return time.Duration(float64(t.cfg.ServiceTime) * factor * t.slowdown)
}

func (t *Target) freeSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.startNext()
}

// startNext assigns free slots to queued attempts. The caller holds the mutex.
func (t *Target) startNext() {
	for t.running < t.concurrency() && len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		close(next.start)
	}
}

// finish records the end of an attempt and makes a cold target warm after enough attempts.
func (t *Target) finish(record *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	delete(t.cancels, record.Attempt)
	record.End = time.Now()
	t.records = append(t.records, *record)
	if !record.Ran || t.state != model.TargetCold || t.down {
		return
	}
	t.servedWhileCold++
	if t.servedWhileCold >= warmAfter {
		t.state = model.TargetReady
	}
}

// Crash ends all attempts without a reply. After restartTime the target is available again, cold and with a new
// incarnation.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crash()
}

// crash implements Crash. The caller holds the mutex.
func (t *Target) crash() {
	if t.down {
		return
	}
	t.down = true
	t.crashes++
	for _, cancel := range t.cancels {
		cancel(targetclient.ErrLost)
	}
	time.AfterFunc(restartTime, t.restart)
}

func (t *Target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = false
	t.incarnation++
	t.state = model.TargetCold
	t.servedWhileCold = 0
}

// TurnCold makes the target cold without a restart, as if it had lost its caches.
func (t *Target) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = model.TargetCold
	t.servedWhileCold = 0
}

// SetPoison makes the target crash on every request whose payload contains the text.
func (t *Target) SetPoison(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.poison = text
}

// Crashes returns how often the target has crashed.
func (t *Target) Crashes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// HideState makes status reports say "ready" whatever the state, like outdated reports.
func (t *Target) HideState(hide bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hideState = hide
}
