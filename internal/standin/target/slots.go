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
	// queuePerSlot is the number of waiting attempts per slot that a target holds before it sheds.
	queuePerSlot = 2
	// coldSlowdown multiplies the service time of a cold target.
	coldSlowdown = 4
	// warmAfter is the number of attempts that a cold target serves before it is warm.
	warmAfter = 40
	// collapseFactor times its cold slots is the load at which a cold target fails.
	collapseFactor = 4
	// restartTime is the time that a crashed target is unreachable.
	restartTime = time.Second
)

// waiting is an attempt in the queue. start is closed when it gets a slot.
type waiting struct {
	start chan struct{}
	ctx   context.Context
}

// run holds a slot for the service time.
func (t *Target) run(ctx context.Context, record Record, deadlineMS int64) error {
	ctx, cancel := context.WithTimeoutCause(ctx, time.Duration(deadlineMS)*time.Millisecond, targetclient.ErrDeadline)
	defer cancel()
	place, err := t.enter(ctx, &record)
	if err != nil {
		return err
	}
	defer t.leave(&record)
	if err := t.awaitSlot(place, &record); err != nil {
		return err
	}
	defer t.freeSlot()
	return t.work(place.ctx, &record)
}

// enter takes a place at the target, or refuses.
func (t *Target) enter(ctx context.Context, record *Record) (*waiting, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record.Start = time.Now()
	record.State = t.state
	record.InFlight = t.inFlight + 1
	if err := t.refusal(); err != nil {
		t.records = append(t.records, *record)
		return nil, err
	}
	ctx, stop := context.WithCancelCause(ctx)
	t.inFlight++
	t.stops[record.Attempt] = stop
	place := &waiting{start: make(chan struct{}), ctx: ctx}
	if t.state == model.TargetCold && t.inFlight > collapseFactor*t.cfg.Target.ColdSlots {
		t.crash()
		return place, nil
	}
	if t.running < t.parallel() {
		t.running++
		close(place.start)
		return place, nil
	}
	t.queue = append(t.queue, place)
	return place, nil
}

// refusal returns the reason why a new attempt is refused. The caller holds the mutex.
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

// parallel returns the number of attempts that run at once. The caller holds the mutex.
func (t *Target) parallel() int {
	if t.state == model.TargetCold {
		return max(1, t.cfg.Target.ColdSlots)
	}
	return t.cfg.Target.Slots
}

// awaitSlot waits until the attempt gets a slot. An attempt that gives up before that did not run.
func (t *Target) awaitSlot(place *waiting, record *Record) error {
	select {
	case <-place.start:
		return nil
	case <-place.ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-place.start: // the slot came at the same moment and is handed on
		t.running--
		t.startNext()
	default:
		t.dropWaiting(place)
	}
	record.Refused = true
	return context.Cause(place.ctx)
}

// dropWaiting removes an attempt from the queue. The caller holds the mutex.
func (t *Target) dropWaiting(place *waiting) {
	for i, other := range t.queue {
		if other == place {
			t.queue = append(t.queue[:i], t.queue[i+1:]...)
			return
		}
	}
}

// work takes the service time, unless the attempt is stopped.
func (t *Target) work(ctx context.Context, record *Record) error {
	t.mu.Lock()
	record.Ran = true
	duration := t.duration()
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
	// The attempt has run in part, so its deadline is reported as a cancellation.
	return targetclient.ErrCancelled
}

// duration draws a service time. The caller holds the mutex.
func (t *Target) duration() time.Duration {
	// Half of the time is fixed and half is exponential, with the configured time as the median.
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

// startNext gives free slots to waiting attempts. The caller holds the mutex.
func (t *Target) startNext() {
	for t.running < t.parallel() && len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		close(next.start)
	}
}

// leave records the end of an attempt and warms a cold target.
func (t *Target) leave(record *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	delete(t.stops, record.Attempt)
	record.End = time.Now()
	t.records = append(t.records, *record)
	if !record.Ran || t.state != model.TargetCold || t.down {
		return
	}
	t.servedCold++
	if t.servedCold >= warmAfter {
		t.state = model.TargetReady
	}
}

// Crash ends all attempts without an answer. The target returns cold with a new incarnation after a second.
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
	for _, stop := range t.stops {
		stop(targetclient.ErrLost)
	}
	time.AfterFunc(restartTime, t.restart)
}

func (t *Target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = false
	t.incarnation++
	t.state = model.TargetCold
	t.servedCold = 0
}

// TurnCold makes the target cold without a restart, as after the loss of its caches.
func (t *Target) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = model.TargetCold
	t.servedCold = 0
}

// SetPoison makes the target crash on each request whose payload contains text.
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

// HideState makes reports say "ready" whatever the state, as a lagging report does.
func (t *Target) HideState(hide bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hideState = hide
}
