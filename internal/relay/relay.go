package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/knapweedrouter/knapweedrouter/internal/atomicmax"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/duty"
	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// replyGrace is how long after the wait of a pull the relay's reply may arrive, beside the time that it takes on this host's link.
	replyGrace = 600 * time.Millisecond
	// storeFallbackDelay is how long a host goes without a relay's answer before it follows the store directly. A
	// random jitter of up to the same length is added, to spread the hosts.
	storeFallbackDelay = 1500 * time.Millisecond
	// censusInterval is the interval at which relays send their host counts to each other.
	censusInterval = 2 * time.Second
)

// errNoRelay means that no relay of any data centre answered.
var errNoRelay = fmt.Errorf("%w: no relay answered", store.ErrUnavailable)

// Config configures a host's Relay.
type Config struct {
	Feed      store.Feed
	Transport peer.Transport
	Host      model.HostID
	// Address is the address at which other hosts reach this one.
	Address    string
	DataCentre model.DataCentreID
	// Large hosts claim free slots immediately and act as aggregators for other hosts. Other hosts wait a few seconds
	// before they claim a slot.
	Large bool
	// LinkMbps is the bandwidth of this host's link; 0 means that it is not known and counts as unlimited.
	LinkMbps float64
	// OlderIncarnation is called when another host knows a later incarnation of this host.
	OlderIncarnation func(known model.Incarnation)
	// ChangeBound is the time within which a change must be in force after the store has acknowledged it; 0 means 3 s, the least one.
	ChangeBound time.Duration
	// Clock reads the boot clock; nil means monotime.SinceBoot.
	Clock func() time.Duration
	// Evidence is exchanged with the other hosts; nil means that this host has none. Learned, if set, is called with facts
	// of another host that were new.
	Evidence *evidence.Log
	Learned  func(from model.HostID, facts []evidence.Fact)
}

// Relay reads the store's data from relays or from the store itself, and competes for a relay slot. It implements the
// read half of store.Feed.
type Relay struct {
	logger    *zap.Logger
	cfg       Config
	directory *directory
	log       *changeLog
	slot      *slotKeeper
	// lastAnswer is the monotime reading of the last answer by a relay or the store; fallbackJitter is added to
	// storeFallbackDelay.
	lastAnswer     atomic.Int64
	fallbackJitter time.Duration
	// transferTime is the time that the largest reply takes on this host's link.
	transferTime time.Duration
	// lastPull is the number of the last pull of this process. lastSource is the relay that answered a pull last.
	lastPull   atomic.Uint64
	lastSource atomic.Pointer[slotRecord]
	// lastRelays holds the relays that were known last.
	lastRelays atomic.Pointer[[]slotRecord]
	// newestRevision is the highest revision announced by another relay; revisionRaised is signalled when it rises.
	newestRevision atomic.Uint64
	revisionRaised chan struct{}
	// storeFailed is set while this relay's source of changes, the store or the leaders, fails. The relay then serves
	// no pulls, so that relays which the store refuses do not wait for each other.
	storeFailed atomic.Bool
	// direct decides on calls to the store without a slot. delivered is the contact of the data that the follower got last. Both are
	// used by the follower's goroutine only.
	direct    *directAccess
	delivered time.Duration
	// lateness is how much longer than asked the store took for its latest answer, in ns.
	lateness atomic.Int64
	news     *newsLinks
	// replyRoom is the room for replies to pulls that are under way, in bytes.
	replyRoom *semaphore.Weighted
	// fetching is set while this host fetches evidence because of a census.
	fetching atomic.Bool
}

// New returns a Relay and registers its handlers with the transport. Call Run to start it.
func New(logger *zap.Logger, cfg Config) *Relay {
	if cfg.Evidence == nil {
		cfg.Evidence = evidence.NewLog(rand.Uint64())
	}
	if cfg.Clock == nil {
		cfg.Clock = monotime.SinceBoot
	}
	self := slotRecord{Host: cfg.Host, Address: cfg.Address, DataCentre: cfg.DataCentre, Large: cfg.Large}
	r := &Relay{
		logger:         logger,
		cfg:            cfg,
		directory:      newDirectory(self),
		log:            newChangeLog(cfg.Clock, newContactLimits(cfg.ChangeBound)),
		direct:         newDirectAccess(),
		fallbackJitter: rand.N(storeFallbackDelay),
		transferTime:   transferTime(cfg.LinkMbps),
		revisionRaised: make(chan struct{}, 1),
		news:           newNewsLinks(cfg.Evidence),
		replyRoom:      semaphore.NewWeighted(maxRepliesBytes),
	}
	r.slot = newSlotKeeper(logger, cfg, self, r.directory)
	r.lastAnswer.Store(int64(monotime.Now()))
	cfg.Transport.Handle(kindPull, r.handlePull)
	cfg.Transport.Handle(kindCensus, r.handleCensus)
	cfg.Transport.Handle(kindMoved, r.handleMoved)
	cfg.Transport.Handle(kindNews, r.handleNews)
	return r
}

// Hosts returns an estimate of the number of hosts that may be serving, which errs on the high side.
func (r *Relay) Hosts() int { return r.directory.size(time.Now()).Hosts }

// Fleet returns this host's view of the hosts that share budgets.
func (r *Relay) Fleet() Fleet { return r.directory.fleet(time.Now()) }

// Aggregators returns the large relays of this host's data centre in order of preference. It returns none if this host is
// itself large.
func (r *Relay) Aggregators() []Aggregator {
	if r.cfg.Large {
		return nil
	}
	now := time.Now()
	var found []Aggregator
	for _, relay := range r.directory.relays(now) {
		if relay.Large && relay.DataCentre == r.cfg.DataCentre && r.directory.isResponsive(relay.Host, now) {
			found = append(found, Aggregator{Host: relay.Host, Address: relay.Address})
		}
	}
	return found
}

// Leave announces a planned stop to the other hosts, so that they use other relays.
func (r *Relay) Leave(ctx context.Context) {
	if err := r.slot.markLeaving(ctx); err != nil {
		r.logger.Warn("failed to announce planned stop", zap.Error(err))
	}
}

// Avoid records that a host did not answer, so that other hosts are preferred for a while.
func (r *Relay) Avoid(host model.HostID) { r.directory.markUnresponsive(host, time.Now()) }

// IsRelay reports whether this host holds a relay slot.
func (r *Relay) IsRelay() bool { return r.slot.isHeld() }

// Run maintains the slot, spreads evidence and sends host counts to the other relays until the context ends.
func (r *Relay) Run(ctx context.Context) {
	var duties conc.WaitGroup
	for name, body := range map[string]func(context.Context){
		"relay slot":      r.slot.run,
		"fetch evidence":  r.fetchFirstNews,
		"spread evidence": r.spreadNews,
		"census":          r.sendCensuses,
	} {
		duties.Go(func() { duty.Run(ctx, r.logger, name, body) })
	}
	duties.Wait()
}

func (r *Relay) sendCensuses(ctx context.Context) {
	for ctxtime.Sleep(ctx, censusInterval) == nil {
		r.sendCensus()
	}
}

// sendCensus sends the host count and revision of this host to the other relays, if it holds a slot.
func (r *Relay) sendCensus() {
	key, ok := r.directory.ownSlot()
	if !ok || !r.IsRelay() {
		return
	}
	now := time.Now()
	served := r.directory.served(now)
	message := census{Key: key, Hosts: served.Hosts, Large: served.Large, Revision: r.log.latest(),
		Digest: r.cfg.Evidence.Digest()}
	for _, other := range r.directory.relays(now) {
		if err := r.cfg.Transport.Send(other.Address, kindCensus, message); err != nil {
			r.logger.Debug("failed to send census", zap.String("relay", string(other.Host)), zap.Error(err))
		}
	}
}

func (r *Relay) handleCensus(_ context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var c census
	if err := decode(&c); err != nil {
		return nil, err
	}
	r.directory.recordCensus(from.Host, fleetSize{Hosts: c.Hosts, Large: c.Large}, time.Now())
	r.compareNews(from.Host, c.Digest)
	if atomicmax.Raise(&r.newestRevision, uint64(c.Revision)) {
		select {
		case r.revisionRaised <- struct{}{}:
		default: // a previous signal is still pending
		}
	}
	return nil, nil
}

func (r *Relay) handlePull(ctx context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var p pull
	if err := decode(&p); err != nil {
		return nil, err
	}
	r.mergeNews(from.Host, p.News.Facts)
	if !r.IsRelay() || r.storeFailed.Load() {
		return pullReply{Status: pullUnavailable, News: r.newsFor(&p), NoRelay: !r.IsRelay()}, nil
	}
	r.directory.recordPull(from.Host, p, time.Now())
	reply, err := r.admitReply(ctx, &p, r.awaitReplyOrNews(ctx, p))
	if err != nil {
		return nil, err
	}
	size := r.directory.size(time.Now())
	reply.Hosts, reply.Large = size.Hosts, size.Large
	return reply, nil
}

func (r *Relay) handleMoved(_ context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var m moved
	if err := decode(&m); err != nil {
		return nil, err
	}
	r.directory.recordMove(from.Host, m.Number, time.Now())
	return nil, nil
}

// Reset replaces all entries with a full listing, which the changes after the revision follow.
func (r *Relay) Reset(entries []store.Entry, revision store.Revision) {
	r.directory.reset(entries, revision)
	r.log.reset(entries, revision, r.delivered)
}

// Apply applies incremental changes. A leader then announces its revision to the other relays, so that a relay whose
// store calls hang detects that it is behind.
func (r *Relay) Apply(changes []store.Change) {
	r.directory.apply(changes)
	r.log.apply(changes, r.delivered)
	if r.isLeader() {
		r.sendCensus()
	}
}

// Lost records that neither a relay nor the store answers.
func (r *Relay) Lost(error) { r.log.setUnavailable(true) }

// Regained records that a relay or the store answers again.
func (r *Relay) Regained() { r.log.setUnavailable(false) }

// List returns all entries with the prefix. It reads from the store if this host is a relay or no relay answers, and
// otherwise from a relay.
func (r *Relay) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	select {
	case <-r.slot.ready:
	case <-ctx.Done():
	}
	if r.followsStore() {
		entries, revision, err := r.listFromStore(ctx, prefix)
		r.setStoreFailed(err != nil)
		if err == nil {
			return entries, revision, nil
		}
	}
	entries, revision, err := r.listFromRelays(ctx)
	if !errors.Is(err, errNoRelay) || ctx.Err() != nil || !r.mayCallStore() {
		return entries, revision, err
	}
	r.logContactLost("listing")
	entries, revision, err = r.listFromStore(ctx, prefix)
	r.direct.record(err)
	return entries, revision, err
}

func (r *Relay) listFromStore(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	started := r.cfg.Clock()
	entries, revision, err := r.cfg.Feed.List(ctx, prefix)
	r.recordStoreAnswer(err)
	if err == nil {
		r.delivered = started
	}
	return entries, revision, err
}

// listFromRelays reads a listing page by page. Its revision is that of the first page, because the pages are not a snapshot. A page
// that is older than the first one, or than what this host has already seen, is rejected: it would undo changes.
func (r *Relay) listFromRelays(ctx context.Context) ([]store.Entry, store.Revision, error) {
	var entries []store.Entry
	revision := store.Revision(0)
	oldest := r.log.latest()
	isFresh := func(reply *pullReply) bool { return reply.Status != pullEntries || reply.Revision >= oldest }
	for page := ""; ; {
		reply, err := r.pullInOrder(ctx, r.sources(), pull{Paged: true, Page: page}, isFresh)
		if err != nil {
			return nil, 0, err
		}
		if page == "" {
			revision = reply.Revision
			oldest = revision
			r.delivered = reply.contact
		}
		ctxtime.Progress(ctx)
		entries = append(entries, reply.Entries...)
		if !reply.More || len(reply.Entries) == 0 {
			return entries, revision, nil
		}
		page = reply.Entries[len(reply.Entries)-1].Key
	}
}

// Changes waits for changes after the revision, from the store or a relay.
func (r *Relay) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Change, store.Revision, error) {
	r.log.confirm(r.delivered) // the follower drops changes that its listing includes without a call of Apply
	return r.deliver(r.awaitChanges(ctx, prefix, after, wait))
}

func (r *Relay) awaitChanges(ctx context.Context, prefix string, after store.Revision, wait time.Duration) sourceResult {
	p := pull{After: after, Wait: wait}
	if wait > 0 {
		p.Wait += pullSlack
	}
	if leaders := r.leaders(); len(leaders) > 0 {
		got := r.pullOrCallStore(ctx, prefix, leaders, p)
		if !errors.Is(got.err, errNoRelay) || ctx.Err() != nil {
			r.setStoreFailed(isSourceFailure(got.err))
			return got
		}
		wait = 0 // the leaders may have used most of the time allowed for this call
	}
	if r.followsStore() {
		got := r.watchStore(ctx, prefix, after, wait)
		r.recordStoreAnswer(got.err)
		return got
	}
	for tries := 1; ; tries++ {
		got := r.pullOrCallStore(ctx, prefix, r.sources(), p)
		if !errors.Is(got.err, errNoRelay) || ctx.Err() != nil {
			if got.err == nil {
				r.direct.serves.Store(false)
			}
			return got
		}
		if r.mayCallStore() {
			return r.callDirectly(ctx, prefix, after, wait)
		}
		// The source counts as lost only when the contact is too old: removals are not trusted for a while after it is regained.
		if wait == 0 || r.untilTooOld() <= 0 {
			return got
		}
		_ = ctxtime.Sleep(ctx, min(r.untilTooOld()+timerMargin, pullBackoff.Wait(r.direct.rng, tries))) // the next pull ends with the context
	}
}

// callDirectly calls the store after no relay has answered.
func (r *Relay) callDirectly(ctx context.Context, prefix string, after store.Revision, wait time.Duration) sourceResult {
	if r.untilTooOld() <= 0 {
		r.logContactLost("no relay")
		wait = 0
	}
	got := r.watchStore(ctx, prefix, after, wait)
	r.direct.record(got.err)
	return got
}

// followsStore reports whether the next call goes to the store.
func (r *Relay) followsStore() bool {
	if r.IsRelay() {
		return true
	}
	unanswered := monotime.Now()-time.Duration(r.lastAnswer.Load()) > storeFallbackDelay+r.fallbackJitter
	return unanswered && r.slot.hasListed()
}

// setStoreFailed records whether this relay's source of changes failed, and wakes waiting pulls when that changes.
func (r *Relay) setStoreFailed(failed bool) {
	if r.storeFailed.Swap(failed) == failed {
		return
	}
	r.log.setUnavailable(failed)
	if !failed {
		r.slot.wake()
	}
}

// recordStoreAnswer restarts the fallback delay after a successful store call: the store's data includes the relays,
// which are to be tried next.
func (r *Relay) recordStoreAnswer(err error) {
	if err == nil {
		r.lastAnswer.Store(int64(monotime.Now()))
	}
}

// acceptAny accepts every reply.
func acceptAny(*pullReply) bool { return true }

// isLeader reports whether this relay is one of those that follow the store directly.
func (r *Relay) isLeader() bool { return slices.ContainsFunc(r.directory.leaders(), r.isSelf) }

func (r *Relay) isSelf(other slotRecord) bool { return other.Host == r.cfg.Host }

// leaders returns the leaders that this relay pulls changes from. It returns none if this host is a leader or
// not a relay, or if all leaders recently failed to answer.
func (r *Relay) leaders() []slotRecord {
	leaders := r.directory.leaders()
	if !r.IsRelay() || slices.ContainsFunc(leaders, r.isSelf) {
		return nil
	}
	now := time.Now()
	return slices.DeleteFunc(leaders, func(leader slotRecord) bool { return !r.directory.hasSource(leader.Host, now) })
}
