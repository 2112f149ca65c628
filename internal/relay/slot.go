package relay

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// slotsPerDataCentre is the number of relays per data centre. If any of them is lost, the others serve its hosts.
	slotsPerDataCentre = 3
	// slotTTL is the lease duration of a slot. The slot of a relay that stops renewing becomes free after it.
	slotTTL           = 9 * time.Second
	slotRenewInterval = slotTTL / 3
	slotCallTimeout   = time.Second
	// largeClaimJitter and smallClaimJitter bound the random delay before a host claims a free slot. Hosts that are not
	// large wait a further smallClaimDelay, to leave the slots to large hosts and learn of their claims.
	largeClaimJitter = 150 * time.Millisecond
	smallClaimJitter = 2 * time.Second
	smallClaimDelay  = time.Second
	// slotCheckInterval is the interval between checks for a free slot.
	slotCheckInterval = time.Second
)

// slotKeeper claims and renews one of the slots of this host's data centre.
type slotKeeper struct {
	logger    *zap.Logger
	cfg       Config
	self      slotRecord
	directory *directory

	held   atomic.Bool
	listed atomic.Bool
	// ready is closed once the relays are known and this host has tried to reclaim its previous slot.
	ready     chan struct{}
	readyOnce sync.Once

	// storeServes is signalled when the store serves this host again.
	storeServes chan struct{}

	mu    sync.Mutex // guards key and lease, which markLeaving reads
	key   string
	lease store.LeaseID
}

func newSlotKeeper(logger *zap.Logger, cfg Config, self slotRecord, d *directory) *slotKeeper {
	return &slotKeeper{logger: logger, cfg: cfg, self: self, directory: d, ready: make(chan struct{}), storeServes: make(chan struct{}, 1)}
}

func (k *slotKeeper) isHeld() bool { return k.held.Load() }

// hasListed reports whether the slots have been listed at least once.
func (k *slotKeeper) hasListed() bool { return k.listed.Load() }

// run maintains a slot until the context ends.
func (k *slotKeeper) run(ctx context.Context) {
	for ctx.Err() == nil && !k.listed.Load() {
		k.listSlots(ctx)
	}
	for first := true; ctx.Err() == nil; first = false {
		_, hasSlot := k.directory.ownSlot()
		if first && !hasSlot {
			k.markReady()
		}
		pause, err := k.step(ctx)
		if first && hasSlot {
			k.markReady()
		}
		if err != nil && ctx.Err() == nil {
			k.logger.Warn("relay slot not kept", zap.String("slot", k.key), zap.Error(err))
			pause = slotCheckInterval
		}
		k.await(ctx, pause)
	}
}

// await waits for the time of the next step, or until the store serves this host again.
func (k *slotKeeper) await(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.storeServes:
	case <-ctx.Done():
	}
}

// wake makes the next step begin at once: the lease may have ended while the store was away.
func (k *slotKeeper) wake() {
	select {
	case k.storeServes <- struct{}{}:
	default: // a previous signal is still pending
	}
}

func (k *slotKeeper) markReady() { k.readyOnce.Do(func() { close(k.ready) }) }

// listSlots lists the relays. The result may be seconds old. A host that held a slot before a restart finds it here and
// reclaims it.
func (k *slotKeeper) listSlots(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	entries, err := k.cfg.Feed.ListStale(bounded, slotPrefix)
	if err != nil {
		k.logger.Warn("relays not known", zap.Error(err))
		_ = ctxtime.Sleep(ctx, slotCheckInterval/2) // the caller's loop ends with the context
		return
	}
	k.directory.learn(entries)
	k.listed.Store(true)
}

// step renews the slot or tries to claim a free one, and returns the delay before the next step.
func (k *slotKeeper) step(ctx context.Context) (time.Duration, error) {
	if k.held.Load() {
		if err := k.renew(ctx); err != nil || k.held.Load() {
			return slotRenewInterval, err
		}
		return k.reclaim(ctx)
	}
	if key, ok := k.directory.ownSlot(); ok {
		return slotRenewInterval, k.writeSlot(ctx, key, k.cfg.Feed.Put)
	}
	if len(k.directory.freeSlots(slotsPerDataCentre)) == 0 {
		return slotCheckInterval, nil
	}
	if k.cfg.Large {
		if err := ctxtime.Sleep(ctx, rand.N(largeClaimJitter)); err != nil {
			return 0, err
		}
		return k.claim(ctx)
	}
	if err := ctxtime.Sleep(ctx, smallClaimDelay+rand.N(smallClaimJitter)); err != nil {
		return 0, err
	}
	if len(k.directory.relays(time.Now())) == 0 {
		k.listSlots(ctx)
	}
	return k.claim(ctx)
}

// reclaim takes the slot again that was given up because its lease has ended, unless another host has it. While a relay has no slot,
// the hosts that pull from it hear nothing.
func (k *slotKeeper) reclaim(ctx context.Context) (time.Duration, error) {
	if own, ok := k.directory.ownSlot(); ok && own != k.key {
		return 0, nil
	}
	err := k.writeSlot(ctx, k.key, k.cfg.Feed.Create)
	if errors.Is(err, store.ErrConflict) {
		k.listSlots(ctx)
		return 0, nil
	}
	return slotRenewInterval, err
}

// claim claims the first free slot.
func (k *slotKeeper) claim(ctx context.Context) (time.Duration, error) {
	for _, key := range k.directory.freeSlots(slotsPerDataCentre) {
		err := k.writeSlot(ctx, key, k.cfg.Feed.Create)
		if !errors.Is(err, store.ErrConflict) {
			return slotRenewInterval, err
		}
	}
	// All slots are taken; list them to learn the holders.
	k.listSlots(ctx)
	return slotCheckInterval, nil
}

// writeSlot writes the slot under a lease, which it obtains first if this host has none.
func (k *slotKeeper) writeSlot(ctx context.Context, key string,
	write func(ctx context.Context, key string, value []byte, lease store.LeaseID) error) error {
	bounded, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	if k.lease == 0 {
		lease, err := k.cfg.Feed.Grant(bounded, slotTTL)
		if err != nil {
			return err
		}
		k.mu.Lock()
		k.lease = lease
		k.mu.Unlock()
	}
	value, err := json.Marshal(k.self)
	if err != nil {
		return err
	}
	if err := write(bounded, key, value, k.lease); err != nil {
		if errors.Is(err, store.ErrLeaseEnded) {
			k.dropLease()
		}
		return err
	}
	k.mu.Lock()
	k.key = key
	k.mu.Unlock()
	k.directory.apply([]store.Change{{Entry: store.Entry{Key: key, Value: value}}})
	k.held.Store(true)
	k.logger.Info("relay slot taken", zap.String("slot", key), zap.Uint64("lease", uint64(k.lease)))
	return nil
}

// dropLease forgets a lease that has ended.
func (k *slotKeeper) dropLease() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = 0
}

// markLeaving marks the slot's holder as stopping. The slot stays reserved until the lease ends.
func (k *slotKeeper) markLeaving(ctx context.Context) error {
	if !k.held.Load() {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	leaving := k.self
	leaving.Leaving = true
	value, err := json.Marshal(leaving)
	if err != nil {
		return err
	}
	k.mu.Lock()
	key, lease := k.key, k.lease
	k.mu.Unlock()
	return k.cfg.Feed.Put(bounded, key, value, lease)
}

// renew renews the lease. The slot is given up if the lease has ended or the store lists this host under another slot.
func (k *slotKeeper) renew(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	err := k.cfg.Feed.Renew(bounded, k.lease)
	own, ok := k.directory.ownSlot()
	if errors.Is(err, store.ErrLeaseEnded) || ok && own != k.key {
		k.dropLease()
		k.held.Store(false)
		k.logger.Info("relay slot given up", zap.String("slot", k.key), zap.String("holds", own))
		return nil
	}
	return err
}
