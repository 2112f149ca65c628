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
	// slotsPerDataCentre is the number of relays of a data centre. Any of them may be lost; the others serve its hosts.
	slotsPerDataCentre = 3
	// slotTTL is the time after which the slot of a relay that does not renew its lease is free.
	slotTTL     = 9 * time.Second
	slotRenewal = slotTTL / 3
	slotTimeout = time.Second
	// eagerWait and reluctantWait bound the random time after which a host claims a free slot. The others wait for the large
	// hosts, and for the news of their claims, by eagerLead more.
	eagerWait     = 150 * time.Millisecond
	reluctantWait = 2 * time.Second
	eagerLead     = time.Second
	// lookInterval is the time between two looks at the slots.
	lookInterval = time.Second
)

// slotKeeper claims and keeps one of the slots of this host's data centre.
type slotKeeper struct {
	logger    *zap.Logger
	cfg       Config
	self      record
	directory *directory

	held   atomic.Bool
	looked atomic.Bool
	// placed is closed once this host knows the relays and has tried to take back the slot that it had.
	placed chan struct{}

	mu    sync.Mutex // guards key and lease, which leave reads
	key   string
	lease store.LeaseID
}

func newSlotKeeper(logger *zap.Logger, cfg Config, self record, d *directory) *slotKeeper {
	return &slotKeeper{logger: logger, cfg: cfg, self: self, directory: d, placed: make(chan struct{})}
}

func (k *slotKeeper) isHeld() bool { return k.held.Load() }

// hasLooked tells whether this host has had the chance to learn who the relays are.
func (k *slotKeeper) hasLooked() bool { return k.looked.Load() }

// run keeps a slot until the context ends.
func (k *slotKeeper) run(ctx context.Context) {
	for ctx.Err() == nil && !k.looked.Load() {
		k.look(ctx)
	}
	for first := true; ctx.Err() == nil; first = false {
		_, owner := k.directory.own()
		if first && !owner {
			close(k.placed)
		}
		pause, err := k.step(ctx)
		if first && owner {
			close(k.placed)
		}
		if err != nil && ctx.Err() == nil {
			k.logger.Warn("relay slot not kept", zap.String("slot", k.key), zap.Error(err))
			pause = lookInterval
		}
		_ = ctxtime.Sleep(ctx, pause) // the loop ends with the context
	}
}

// look learns who the relays are. The answer may be seconds old. A host that held a slot before its restart takes it again.
func (k *slotKeeper) look(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	entries, err := k.cfg.Feed.Peek(bounded, slotPrefix)
	if err != nil {
		k.logger.Warn("relays not known", zap.Error(err))
		_ = ctxtime.Sleep(ctx, lookInterval/2) // the caller's loop ends with the context
		return
	}
	k.directory.reset(entries)
	k.looked.Store(true)
}

// step renews the slot or looks for a free one, and returns the pause before the next step.
func (k *slotKeeper) step(ctx context.Context) (time.Duration, error) {
	if k.held.Load() {
		return slotRenewal, k.renew(ctx)
	}
	if key, ok := k.directory.own(); ok {
		return slotRenewal, k.take(ctx, key, k.cfg.Feed.Put)
	}
	if len(k.directory.free(slotsPerDataCentre)) == 0 {
		return lookInterval, nil
	}
	if k.cfg.Large {
		if err := ctxtime.Sleep(ctx, rand.N(eagerWait)); err != nil {
			return 0, err
		}
		return k.claim(ctx)
	}
	if err := ctxtime.Sleep(ctx, eagerLead+rand.N(reluctantWait)); err != nil {
		return 0, err
	}
	if len(k.directory.relays(time.Now())) == 0 {
		k.look(ctx)
	}
	return k.claim(ctx)
}

// claim takes the first free slot that nobody has taken meanwhile.
func (k *slotKeeper) claim(ctx context.Context) (time.Duration, error) {
	for _, key := range k.directory.free(slotsPerDataCentre) {
		err := k.take(ctx, key, k.cfg.Feed.Create)
		if !errors.Is(err, store.ErrConflict) {
			return slotRenewal, err
		}
	}
	// All of them are taken: who holds them is learnt from the feed.
	k.look(ctx)
	return lookInterval, nil
}

// take writes the slot under a lease.
func (k *slotKeeper) take(ctx context.Context, key string,
	write func(ctx context.Context, key string, value []byte, lease store.LeaseID) error) error {
	bounded, cancel := context.WithTimeout(ctx, slotTimeout)
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
			k.lease = 0
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

// leave marks the slot as that of a host which stops. The slot stays reserved until the lease ends.
func (k *slotKeeper) leave(ctx context.Context) error {
	if !k.held.Load() {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, slotTimeout)
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

// renew renews the lease. A host whose lease has ended, or whose slot another one holds, gives it up.
func (k *slotKeeper) renew(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	err := k.cfg.Feed.Renew(bounded, k.lease)
	own, ok := k.directory.own()
	if errors.Is(err, store.ErrLeaseEnded) || ok && own != k.key {
		k.lease = 0
		k.held.Store(false)
		k.logger.Info("relay slot given up", zap.String("slot", k.key), zap.String("holds", own))
		return nil
	}
	return err
}
