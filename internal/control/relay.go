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
	// readInterval is the time between two reads of the store by a relay.
	readInterval = 500 * time.Millisecond
	// failuresToUnreachable is the number of failed reads in a row after which a relay calls the store unreachable.
	failuresToUnreachable = 3
	// downInterval is the wait between reads of an unreachable store. With a read of at most 500 ms, the relay's report
	// is at most 1 s old when it is passed on.
	downInterval = 400 * time.Millisecond
	// watchRetry is the wait after a watch that failed.
	watchRetry = time.Second
	// storeTimeout bounds a read of the store.
	storeTimeout = 500 * time.Millisecond
)

// relay is the state of a relay's calls to the store. There is at most one read and one watch at a time.
type relay struct {
	reading  bool
	watching bool
	next     time.Duration
	watchAt  time.Duration
	failures int // in a row
	// servedAt is when the last successful read began.
	served   bool
	servedAt time.Duration
	revision store.Revision // of the key head
	// once asks for a read by a host that is no relay, because it has accepted a change itself.
	once bool
	// segmentReads is the number of reads of segments in progress.
	segmentReads int
}

// tickRelay reads the store and watches it if this host is a relay.
func (n *node) tickRelay(now time.Duration) {
	r := &n.relay
	isRelay := n.topology.slot >= 0
	if !r.reading && (r.once || isRelay && now >= r.next) {
		r.reading = true
		r.once = false
		n.out.readStore = true
	}
	if isRelay && !r.watching && r.served && r.failures == 0 && now >= r.watchAt {
		r.watching = true
		n.out.watch = true
		n.out.watchAfter = r.revision
	}
	if isRelay && r.segmentReads == 0 && r.failures == 0 {
		missing := n.state.Missing()
		missing = missing[:min(len(missing), maxSegmentCalls)]
		r.segmentReads = len(missing)
		n.out.segments = append(n.out.segments, missing...)
	}
}

// relayServes tells whether this host is a relay that reads the store, so that it need not pull.
func (n *node) relayServes(now time.Duration) bool {
	return n.topology.slot >= 0 && n.relay.served && n.relay.failures == 0 && now-n.relay.servedAt < 2*readInterval+storeTimeout
}

// accepted takes a change that this host has just written to the store for an operator. The others learn of it from here
// even if the store fails before a relay reads it.
func (n *node) accepted(now time.Duration, generation model.Generation, c change.Change) {
	record := configstate.Record[change.Change]{ID: c.ID, Generation: generation, Change: &c}
	head := configstate.Head[change.Change]{Generation: generation, Records: []configstate.Record[change.Change]{record}}
	n.state.Hear(generation)
	if n.state.Catalogue.Generation() == generation-1 {
		if err := n.state.Catalogue.Offer(head); err != nil {
			n.failed++
		}
	}
	n.publish(now, rumor.Notice{
		Topic: rumor.TopicGeneration, Key: generationKey, Epoch: uint64(generation), Origin: n.members.Self().ID,
	})
	n.readNow()
}

// readNow makes this host read the store at once.
func (n *node) readNow() { n.relay.once = true }

// storeResult takes the outcome of a read of the keys head and fleet.
func (n *node) storeResult(now time.Duration, read storeRead) {
	r := &n.relay
	r.reading = false
	if read.err != nil {
		r.failures++
		r.next = now
		if r.failures >= failuresToUnreachable {
			// Jitter keeps the relays of all data centres from calling a returning store at the same moment.
			r.next = now + downInterval/2 + time.Duration(n.rng.Int64N(int64(downInterval/2)))
		}
		n.report(now, read.sent)
		return
	}
	r.failures = 0
	r.served = true
	r.servedAt = read.sent
	r.revision = read.head.Revision
	r.next = read.sent + readInterval - readInterval/10 + time.Duration(n.rng.Int64N(int64(readInterval/10)))
	n.takeStore(now, read)
	n.report(now, read.sent)
}

func (n *node) takeStore(now time.Duration, read storeRead) {
	before := n.state.Catalogue.Generation()
	n.fleet.revision = read.fleet.Revision
	n.fleet.value = read.fleet.Value
	n.fleet.known = true
	if err := n.state.TakeStore(read.sent, read.head.Value, read.fleet.Value); err != nil {
		n.failed++
	}
	if n.state.Catalogue.Generation() > before {
		n.announce(now)
	}
}

// report notes what this relay can say about the store. In ordinary times nothing is reported.
func (n *node) report(now, at time.Duration) {
	reach := configstate.Reachable
	switch {
	case n.topology.slot < 0:
		return
	case n.relay.failures >= failuresToUnreachable:
		reach = configstate.Unreachable
	case n.relay.failures > 0:
		reach = configstate.Failing
	case !n.state.Reports.Trouble(now):
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

// watchResult takes the outcome of a watch. It shows a new generation sooner than the next read, but confirms nothing: it
// was asked for long ago.
func (n *node) watchResult(now time.Duration, entry store.Entry, err error) {
	r := &n.relay
	r.watching = false
	if err != nil {
		r.watchAt = now + watchRetry
		return
	}
	r.revision = max(r.revision, entry.Revision)
	r.next = now // the read confirms the generation, and gives it to the children with the next pull
}

// segmentRead takes the content of a segment read from the store.
func (n *node) segmentRead(content []byte, err error) {
	n.relay.segmentReads--
	if err != nil {
		return
	}
	if err := n.state.AddSegment(content); err != nil {
		n.failed++
	}
}

// entryOrNone turns a key that does not exist into an empty entry.
func entryOrNone(entry store.Entry, err error) (store.Entry, error) {
	if errors.Is(err, store.ErrNotFound) {
		return store.Entry{}, nil
	}
	return entry, err
}
