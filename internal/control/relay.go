package control

import (
	"errors"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// storeReadInterval is the time between two store reads by a relay.
	storeReadInterval = 500 * time.Millisecond
	// unreachableThreshold is the number of consecutive failed reads after which a relay reports the store
	// unreachable.
	unreachableThreshold = 3
	// unreachableReadInterval is the maximum delay between reads of an unreachable store. With a read timeout of
	// 500 ms, a relay's report is at most 1 s old when it is passed on.
	unreachableReadInterval = 400 * time.Millisecond
	// watchRetryDelay is the delay before retrying a failed watch.
	watchRetryDelay = time.Second
	// storeTimeout bounds a store read.
	storeTimeout = 500 * time.Millisecond
)

// relayState tracks a relay's store calls. At most one read and one watch are in progress at a time.
type relayState struct {
	reading             bool
	watching            bool
	nextRead            time.Duration
	nextWatch           time.Duration
	consecutiveFailures int
	// hasRead is set after the first successful read; lastReadAt is when the last successful read began.
	hasRead      bool
	lastReadAt   time.Duration
	headRevision store.Revision // revision of the key head
	// readRequested triggers an immediate read, also on a host that is not a relay, after it has accepted a change
	// itself.
	readRequested bool
	// pendingSegmentReads is the number of segment reads in progress.
	pendingSegmentReads int
}

// tickRelay starts the store reads and watches that are due. Only relays access the store periodically.
func (n *node) tickRelay(now time.Duration) {
	r := &n.relay
	isRelay := n.topology.slot >= 0
	if !r.reading && (r.readRequested || isRelay && now >= r.nextRead) {
		r.reading = true
		r.readRequested = false
		n.out.readStore = true
	}
	if isRelay && !r.watching && r.hasRead && r.consecutiveFailures == 0 && now >= r.nextWatch {
		r.watching = true
		n.out.watch = true
		n.out.watchAfter = r.headRevision
	}
	if isRelay && r.pendingSegmentReads == 0 && r.consecutiveFailures == 0 {
		missing := n.state.MissingSegments()
		missing = missing[:min(len(missing), maxSegmentCalls)]
		r.pendingSegmentReads = len(missing)
		n.out.segments = append(n.out.segments, missing...)
	}
}

// relayIsCurrent reports whether this host is a relay with recent successful store reads, so that it need not pull.
func (n *node) relayIsCurrent(now time.Duration) bool {
	r := &n.relay
	return n.topology.slot >= 0 && r.hasRead && r.consecutiveFailures == 0 && now-r.lastReadAt < 2*storeReadInterval+storeTimeout
}

// changeAccepted handles a change that this host has just committed to the store for an operator. Announcing it from
// here spreads it even if the store fails before a relay reads it.
func (n *node) changeAccepted(now time.Duration, generation model.Generation, c change.Change) {
	record := configstate.Record[change.Change]{ID: c.ID, Generation: generation, Change: &c}
	head := configstate.Head[change.Change]{Generation: generation, Records: []configstate.Record[change.Change]{record}}
	n.state.ObserveGeneration(generation)
	if n.state.Catalogue.Generation() == generation-1 {
		if err := n.state.Catalogue.ApplyHead(head); err != nil {
			n.applyFailures++
		}
	}
	n.publish(now, rumor.Notice{
		Topic: rumor.TopicGeneration, Key: generationKey, Epoch: uint64(generation), Origin: n.members.Self().ID,
	})
	n.requestRead()
}

// requestRead schedules an immediate store read.
func (n *node) requestRead() { n.relay.readRequested = true }

// storeResult handles the result of reading the keys head and fleet.
func (n *node) storeResult(now time.Duration, read storeRead) {
	r := &n.relay
	r.reading = false
	if read.err != nil {
		r.consecutiveFailures++
		r.nextRead = now
		if r.consecutiveFailures >= unreachableThreshold {
			// Jitter prevents the relays of all data centres from calling a recovering store at the same moment.
			r.nextRead = now + unreachableReadInterval/2 + time.Duration(n.rng.Int64N(int64(unreachableReadInterval/2)))
		}
		n.recordReport(now, read.sent)
		return
	}
	r.consecutiveFailures = 0
	r.hasRead = true
	r.lastReadAt = read.sent
	r.headRevision = read.head.Revision
	r.nextRead = read.sent + storeReadInterval - storeReadInterval/10 + time.Duration(n.rng.Int64N(int64(storeReadInterval/10)))
	n.applyStoreRead(now, read)
	n.recordReport(now, read.sent)
}

func (n *node) applyStoreRead(now time.Duration, read storeRead) {
	before := n.state.Catalogue.Generation()
	n.fleet.revision = read.fleet.Revision
	n.fleet.value = read.fleet.Value
	n.fleet.loaded = true
	if err := n.state.ApplyStoreRead(read.sent, read.head.Value, read.fleet.Value); err != nil {
		n.applyFailures++
	}
	if n.state.Catalogue.Generation() > before {
		n.announce(now)
	}
}

// recordReport records this relay's report about the store. Successful reads are reported only while some relay
// reports a failure.
func (n *node) recordReport(now, at time.Duration) {
	reach := configstate.Reachable
	switch {
	case n.topology.slot < 0:
		return
	case n.relay.consecutiveFailures >= unreachableThreshold:
		reach = configstate.Unreachable
	case n.relay.consecutiveFailures > 0:
		reach = configstate.Failing
	case !n.state.Reports.HasFailures(now):
		return
	}
	n.state.Reports.Put(configstate.Report{
		DataCentre: n.members.Self().DataCentre,
		Slot:       uint8(n.topology.slot),
		Reach:      reach,
		Generation: n.state.Catalogue.Generation(),
		At:         at,
	})
}

// watchResult handles the result of a watch. A watch reveals a new generation sooner than the next periodic read, but
// it was started too long ago to confirm that the generation is current.
func (n *node) watchResult(now time.Duration, entry store.Entry, err error) {
	r := &n.relay
	r.watching = false
	if err != nil {
		r.nextWatch = now + watchRetryDelay
		return
	}
	r.headRevision = max(r.headRevision, entry.Revision)
	r.nextRead = now // the read confirms the generation, which children receive with their next pull
}

// segmentResult handles the result of reading a segment from the store.
func (n *node) segmentResult(content []byte, err error) {
	n.relay.pendingSegmentReads--
	if err != nil {
		return
	}
	if err := n.state.AddSegment(content); err != nil {
		n.applyFailures++
	}
}

// emptyIfNotFound maps a missing key to an empty entry.
func emptyIfNotFound(entry store.Entry, err error) (store.Entry, error) {
	if errors.Is(err, store.ErrNotFound) {
		return store.Entry{}, nil
	}
	return entry, err
}
