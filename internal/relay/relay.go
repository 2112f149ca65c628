package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/atomicmax"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// replyGrace is the time after the wait of a pull within which the relay's reply arrives.
	replyGrace = 600 * time.Millisecond
	// aloneTime is the time without an answer from any relay after which a host follows the store itself. A random time as
	// long spreads the hosts.
	aloneTime = 1500 * time.Millisecond
	// censusInterval is the time between two counts that relays send to each other.
	censusInterval = 2 * time.Second
)

// errNoRelay means that no relay of any data centre has answered.
var errNoRelay = fmt.Errorf("%w: no relay has answered", store.ErrUnavailable)

// Config describes a host.
type Config struct {
	Feed      store.Feed
	Transport peer.Transport
	Host      model.HostID
	// Address is where other hosts reach this one.
	Address    string
	DataCentre model.DataCentreID
	// Large hosts claim a free slot at once, and gather the answers of the others' queries. The others leave them the slots
	// for some seconds.
	Large bool
	// OlderIncarnation is called when other hosts know a later incarnation of this host.
	OlderIncarnation func(known model.Incarnation)
}

// Relay is one host's part: the source of what it follows, and its slot. It implements the reading half of store.Feed.
type Relay struct {
	logger    *zap.Logger
	cfg       Config
	directory *directory
	log       *changeLog
	slot      *slotKeeper
	// answered is the time of the last answer of a relay, as monotime reads it; patience is added to aloneTime.
	answered atomic.Int64
	patience time.Duration
	// newest is the highest revision that another relay has; noticed receives when it rises.
	newest atomic.Uint64
	// refused tells that the last call of this relay to the store failed. It follows other relays then, and answers no pulls, so
	// that relays which the store refuses do not wait for each other.
	refused atomic.Bool
	noticed chan struct{}
}

// New returns a relay that has not started, and registers its handlers with the transport.
func New(logger *zap.Logger, cfg Config) *Relay {
	self := record{Host: cfg.Host, Address: cfg.Address, DataCentre: cfg.DataCentre, Large: cfg.Large}
	r := &Relay{
		logger:    logger,
		cfg:       cfg,
		directory: newDirectory(self),
		log:       newChangeLog(),
		patience:  rand.N(aloneTime),
		noticed:   make(chan struct{}, 1),
	}
	r.slot = newSlotKeeper(logger, cfg, self, r.directory)
	r.answered.Store(int64(monotime.Now()))
	cfg.Transport.Handle(kindPull, r.handlePull)
	cfg.Transport.Handle(kindCensus, r.handleCensus)
	return r
}

// Hosts returns the greatest number of hosts that may serve at present.
func (r *Relay) Hosts() int { return r.directory.hosts(time.Now()) }

// Fleet returns what this host knows of the hosts that share budgets.
func (r *Relay) Fleet() Fleet { return r.directory.fleet(time.Now(), r.IsRelay()) }

// Gatherers returns the large relays of this host's data centre in the order in which it asks them; none if this host is
// large itself.
func (r *Relay) Gatherers() []Gatherer {
	if r.cfg.Large {
		return nil
	}
	now := time.Now()
	var found []Gatherer
	for _, relay := range r.directory.relays(now) {
		if relay.Large && relay.DataCentre == r.cfg.DataCentre && !r.directory.isAvoided(relay.Host, now) {
			found = append(found, Gatherer{Host: relay.Host, Address: relay.Address})
		}
	}
	return found
}

// Addresses returns the addresses of the other relays.
func (r *Relay) Addresses() []string {
	var all []string
	for _, relay := range r.directory.relays(time.Now()) {
		all = append(all, relay.Address)
	}
	return all
}

// Leave tells the other hosts that this one stops as planned, so that they ask other relays.
func (r *Relay) Leave(ctx context.Context) {
	if err := r.slot.leave(ctx); err != nil {
		r.logger.Warn("leave not announced", zap.Error(err))
	}
}

// Avoid notes that a host did not answer.
func (r *Relay) Avoid(host model.HostID) { r.directory.failed(host, time.Now()) }

// IsRelay tells whether this host follows the store itself.
func (r *Relay) IsRelay() bool { return r.slot.isHeld() }

// Run keeps a slot and tells the other relays how many hosts pull from this one, until the context ends.
func (r *Relay) Run(ctx context.Context) {
	go r.slot.run(ctx)
	for ctxtime.Sleep(ctx, censusInterval) == nil {
		r.sendCensus()
	}
}

func (r *Relay) sendCensus() {
	key, ok := r.directory.own()
	if !ok || !r.IsRelay() {
		return
	}
	now := time.Now()
	message := census{Key: key, Hosts: r.directory.served(now), Revision: r.log.latest()}
	for _, other := range r.directory.relays(now) {
		if err := r.cfg.Transport.Send(other.Address, kindCensus, message); err != nil {
			r.logger.Debug("census not sent", zap.String("relay", string(other.Host)), zap.Error(err))
		}
	}
}

func (r *Relay) handleCensus(_ context.Context, _ peer.Sender, decode func(any) error) (any, error) {
	var c census
	if err := decode(&c); err != nil {
		return nil, err
	}
	r.directory.take(c, time.Now())
	if atomicmax.Raise(&r.newest, uint64(c.Revision)) {
		select {
		case r.noticed <- struct{}{}:
		default: // the notice before it has not been taken yet
		}
	}
	return nil, nil
}

func (r *Relay) handlePull(ctx context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var p pull
	if err := decode(&p); err != nil {
		return nil, err
	}
	if !r.IsRelay() || r.refused.Load() {
		return pullReply{Status: pullAway}, nil
	}
	r.directory.pulled(from.Host, time.Now())
	reply := r.log.answer(ctx, p)
	reply.Hosts = r.Hosts()
	return reply, nil
}

// Reset takes all entries that this host has learnt.
func (r *Relay) Reset(entries []store.Entry) {
	r.directory.reset(entries)
	r.log.reset(entries)
}

// Apply takes changes that this host has learnt. A leader tells the other relays how far it is, so that one whose calls to the
// store hang notices.
func (r *Relay) Apply(changes []store.Change) {
	r.directory.apply(changes)
	r.log.apply(changes)
	if r.isLeader() {
		r.sendCensus()
	}
}

// Lost notes that neither a relay nor the store answers this host.
func (r *Relay) Lost(error) { r.log.setAway(true) }

// Regained notes that the source of this host answers again.
func (r *Relay) Regained() { r.log.setAway(false) }

// List returns all entries with the prefix: from the store if this host is a relay or no relay answers, else from a relay.
func (r *Relay) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	select {
	case <-r.slot.placed:
	case <-ctx.Done():
	}
	if r.followsStore() {
		entries, revision, err := r.cfg.Feed.List(ctx, prefix)
		r.learnt(err)
		r.setRefused(err != nil)
		if err == nil {
			return entries, revision, nil
		}
	}
	reply, err := r.ask(ctx, pull{}, isAny)
	return reply.Entries, reply.Revision, err
}

// Changes waits for changes after the revision, at the store or a relay.
func (r *Relay) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Change, store.Revision, error) {
	if leaders := r.leaders(); len(leaders) > 0 {
		reply, err := r.askEach(ctx, leaders, pull{After: after, Wait: wait}, isAny)
		if !errors.Is(err, errNoRelay) || ctx.Err() != nil {
			r.setRefused(isRefusal(err))
			return reply.Changes, reply.Revision, err
		}
		wait = 0 // most of the time that this call may take can be over
	}
	if r.followsStore() {
		changes, revision, err := r.watch(ctx, prefix, after, wait)
		r.learnt(err)
		return changes, revision, err
	}
	reply, err := r.ask(ctx, pull{After: after, Wait: wait}, isAny)
	return reply.Changes, reply.Revision, err
}

// followsStore tells whether the next call goes to the store.
func (r *Relay) followsStore() bool {
	if r.IsRelay() {
		return true
	}
	alone := monotime.Now()-time.Duration(r.answered.Load()) > aloneTime+r.patience
	return alone && r.slot.hasLooked()
}

// isRefusal tells whether the error of a call for changes means that its source does not serve this host.
func isRefusal(err error) bool { return err != nil && !errors.Is(err, store.ErrHistoryLost) }

// setRefused notes whether the store answers this relay. Pulls that wait here end when it no longer does.
func (r *Relay) setRefused(refused bool) {
	if r.refused.Swap(refused) != refused {
		r.log.setAway(refused)
	}
}

// learnt notes an answer of the store, which tells who the relays are: they are asked next.
func (r *Relay) learnt(err error) {
	if err == nil {
		r.answered.Store(int64(monotime.Now()))
	}
}

// isAny takes each answer as useful.
func isAny(*pullReply) bool { return true }

// isLeader tells whether this relay follows the store itself while it can.
func (r *Relay) isLeader() bool { return slices.ContainsFunc(r.directory.leaders(), r.isSelf) }

func (r *Relay) isSelf(other record) bool { return other.Host == r.cfg.Host }

// leaders returns the relays from which this one learns changes; none if it leads itself, if none of them has answered lately, or
// if it is no relay.
func (r *Relay) leaders() []record {
	leaders := r.directory.leaders()
	if !r.IsRelay() || slices.ContainsFunc(leaders, r.isSelf) {
		return nil
	}
	now := time.Now()
	return slices.DeleteFunc(leaders, func(leader record) bool { return r.directory.isAvoided(leader.Host, now) })
}

// ask pulls from the relays in turn until one gives a useful answer.
func (r *Relay) ask(ctx context.Context, p pull, isUseful func(*pullReply) bool) (pullReply, error) {
	return r.askEach(ctx, r.directory.relays(time.Now()), p, isUseful)
}

func (r *Relay) askEach(ctx context.Context, relays []record, p pull, isUseful func(*pullReply) bool) (pullReply, error) {
	for _, relay := range relays {
		reply, err := r.call(ctx, relay, p)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			r.logger.Info("relay lost", zap.String("relay", string(relay.Host)), zap.Error(err))
			r.directory.failed(relay.Host, time.Now())
			continue
		}
		r.answered.Store(int64(monotime.Now()))
		if !isUseful(&reply) {
			continue
		}
		switch reply.Status {
		case pullAway:
			r.directory.failed(relay.Host, time.Now())
			continue
		case pullHistoryLost:
			return pullReply{}, store.ErrHistoryLost
		}
		r.directory.tell(reply.Hosts, time.Now())
		return reply, nil
	}
	return pullReply{}, errNoRelay
}

func (r *Relay) call(ctx context.Context, relay record, p pull) (pullReply, error) {
	bounded, cancel := context.WithTimeout(ctx, p.Wait+replyGrace)
	defer cancel()
	var reply pullReply
	err := r.cfg.Transport.Call(bounded, relay.Address, kindPull, p, &reply)
	var older *peer.OlderIncarnationError
	if errors.As(err, &older) {
		r.cfg.OlderIncarnation(older.Known)
	}
	return reply, err
}
