package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/duty"
	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
)

// Evidence spreads as state, in three ways that make up for each other. A host sends what it has seen of crashes to all relays at
// once. That a target leaves is met by most hosts before they are told; each of them tells one relay, and relays tell each other.
// Hosts that pull get what is new with the reply, which does not wait then, and hand over what the relay may have missed. Relays
// compare digests with each census and fetch what they lack, as does every host when it starts.

const (
	// spreadInterval is the pause after facts were sent, so that facts in quick succession share a frame.
	spreadInterval = 20 * time.Millisecond
	// newsGather is how long a relay gathers evidence before it answers a pull, so that every host pulls a few times a second
	// at most while many targets leave.
	newsGather = 250 * time.Millisecond
	// Facts are sent again at spreadRepeats ticks of repeatInterval, because a frame may be lost.
	repeatInterval = time.Second
	spreadRepeats  = 2
	// fetchTimeout bounds a call for the evidence of a relay.
	fetchTimeout = time.Second
	// maxLinks bounds the remembered positions. Without one, all facts are exchanged again.
	maxLinks = 256
	// maxFetches bounds the batches fetched in a row.
	maxFetches = 8
)

// newsRequest hands over facts and, if Fetch is set, asks for the receiver's facts after a position.
type newsRequest struct {
	Facts         evidence.Batch
	Origin, After uint64
	Fetch         bool
}

// newsLinks tracks which facts were exchanged with each relay. It is safe for concurrent use.
type newsLinks struct {
	log *evidence.Log

	mu    sync.Mutex
	links map[model.HostID]newsLink
}

// newsLink is the state of the exchange with one relay. origin and received are the position in the relay's log up to which
// this host has its facts; sent is the position in this host's log up to which the relay has its facts.
type newsLink struct {
	origin, received, sent uint64
}

func newNewsLinks(log *evidence.Log) *newsLinks {
	return &newsLinks{log: log, links: map[model.HostID]newsLink{}}
}

// request returns the next request to a relay.
func (n *newsLinks) request(relay model.HostID) newsRequest {
	n.mu.Lock()
	link := n.links[relay]
	n.mu.Unlock()
	own, _ := n.log.Changed()
	facts := evidence.Batch{Position: own}
	if link.sent < own {
		facts = n.log.OwnSince(monotime.Now(), link.sent)
	}
	return newsRequest{Facts: facts, Origin: link.origin, After: link.received, Fetch: true}
}

// recordReply records that a relay has answered a request with facts that were merged.
func (n *newsLinks) recordReply(relay model.HostID, request newsRequest, b evidence.Batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := n.links[relay]
	link.sent = max(link.sent, request.Facts.Position)
	if b.Origin != 0 && b.Origin != link.origin {
		// The relay has restarted and has lost what it was sent before.
		link = newsLink{origin: b.Origin}
	}
	link.received = max(link.received, b.Position)
	if len(n.links) >= maxLinks {
		clear(n.links)
	}
	n.links[relay] = link
}

// mergeNews adds facts of another host to the evidence. A relay passes on what a host without a slot has told it of leaving targets.
func (r *Relay) mergeNews(from model.HostID, b evidence.Batch) {
	added := r.cfg.Evidence.Merge(monotime.Now(), b)
	if len(added) == 0 {
		return
	}
	if r.cfg.Learned != nil {
		r.cfg.Learned(from, added)
	}
	if leaving, _ := splitLeaving(added); len(leaving) > 0 && r.IsRelay() {
		relays := r.directory.relays(time.Now())
		if !slices.ContainsFunc(relays, func(s slotRecord) bool { return s.Host == from }) {
			r.sendTo(relays, leaving)
		}
	}
}

// newsFor returns the evidence that a pulling host may lack.
func (r *Relay) newsFor(p *pull) evidence.Batch {
	return r.cfg.Evidence.Since(monotime.Now(), p.News.Origin, p.News.After)
}

// awaitReplyOrNews returns the reply to a pull. It waits for changes up to p.Wait. If there is evidence that the host may lack, it
// waits for further evidence only, except at the first pull of a host.
func (r *Relay) awaitReplyOrNews(ctx context.Context, p pull) pullReply {
	_, changed := r.cfg.Evidence.Changed()
	if len(r.newsFor(&p).Facts) > 0 {
		p.Wait = 0
	}
	reply := r.log.awaitReply(ctx, p, changed)
	if p.After > 0 && len(reply.Changes) == 0 && len(r.newsFor(&p).Facts) > 0 {
		_ = ctxtime.Sleep(ctx, newsGather) // a call that has ended needs no reply
	}
	reply.News = r.newsFor(&p)
	return reply
}

func (r *Relay) handleNews(_ context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var request newsRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	r.mergeNews(from.Host, request.Facts)
	if !request.Fetch {
		return nil, nil
	}
	return r.cfg.Evidence.Since(monotime.Now(), request.Origin, request.After), nil
}

// spreadNews sends the facts that this host has seen to all relays, and repeats them, until the context ends.
func (r *Relay) spreadNews(ctx context.Context) {
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	var sent uint64
	var earlier [spreadRepeats]uint64 // what had been sent at the latest ticks, oldest first
	for ctx.Err() == nil {
		position, changed := r.cfg.Evidence.Changed()
		if position > sent {
			sent = r.sendFacts(sent, false)
			_ = ctxtime.Sleep(ctx, spreadInterval) // the loop ends with the context
			continue
		}
		select {
		case <-changed:
		case <-ticker.C:
			r.sendFacts(earlier[0], true)
			copy(earlier[:], earlier[1:])
			earlier[spreadRepeats-1] = sent
		case <-ctx.Done():
		}
	}
}

// sendFacts sends the facts after a position that this host has seen, and returns the position that they reach. Crashes and answers
// go to all relays, what leaves to those that leavingReceivers names. A repeated call leaves out the latter: pulls carry them.
func (r *Relay) sendFacts(after uint64, repeated bool) uint64 {
	b := r.cfg.Evidence.OwnSince(monotime.Now(), after)
	if len(b.Facts) == 0 {
		return b.Position
	}
	leaving, others := splitLeaving(b.Facts)
	relays := r.directory.relays(time.Now())
	r.sendTo(relays, others)
	if !repeated {
		r.sendTo(r.leavingReceivers(relays), leaving)
	}
	return b.Position
}

// leavingReceivers returns the relays that this host tells of leaving targets: all of them if it is one, else the first.
func (r *Relay) leavingReceivers(relays []slotRecord) []slotRecord {
	if r.IsRelay() {
		return relays
	}
	return relays[:min(1, len(relays))]
}

// sendTo sends facts to relays. Frames may be lost.
func (r *Relay) sendTo(relays []slotRecord, facts []evidence.Fact) {
	if len(facts) == 0 {
		return
	}
	for _, relay := range relays {
		if err := r.cfg.Transport.Send(relay.Address, kindNews, newsRequest{Facts: evidence.Batch{Facts: facts}}); err != nil {
			r.logger.Info("failed to send evidence", zap.String("relay", string(relay.Host)), zap.Error(err))
		}
	}
}

// splitLeaving divides facts into those about leaving targets and the others.
func splitLeaving(facts []evidence.Fact) (leaving, others []evidence.Fact) {
	for _, f := range facts {
		if f.Kind == evidence.Leaving {
			leaving = append(leaving, f)
		} else {
			others = append(others, f)
		}
	}
	return leaving, others
}

// fetchFirstNews fetches the evidence of one relay, once the relays are known.
func (r *Relay) fetchFirstNews(ctx context.Context) {
	select {
	case <-r.slot.ready:
	case <-ctx.Done():
	}
	for _, relay := range r.directory.relays(time.Now()) {
		if r.fetchNews(ctx, relay) == nil || ctx.Err() != nil {
			return
		}
	}
}

// fetchNews exchanges evidence with a relay.
func (r *Relay) fetchNews(ctx context.Context, relay slotRecord) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for range maxFetches {
		request := r.news.request(relay.Host)
		var b evidence.Batch
		if err := r.cfg.Transport.Call(bounded, relay.Address, kindNews, request, &b); err != nil {
			r.logger.Info("failed to fetch evidence", zap.String("relay", string(relay.Host)), zap.Error(err))
			return err
		}
		r.mergeNews(relay.Host, b)
		r.news.recordReply(relay.Host, request, b)
		if len(b.Facts) == 0 {
			return nil
		}
	}
	return nil
}

// compareNews fetches the evidence of a relay whose digest differs from this host's, unless a fetch is in progress.
func (r *Relay) compareNews(host model.HostID, digest uint64) {
	if digest == r.cfg.Evidence.Digest() || !r.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer r.fetching.Store(false)
		_ = duty.Try(r.logger, "compare evidence", func() { r.fetchNewsOf(host) }) // it is logged
	}()
}

// fetchNewsOf exchanges evidence with a relay, if the host is one.
func (r *Relay) fetchNewsOf(host model.HostID) {
	for _, relay := range r.directory.relays(time.Now()) {
		if relay.Host == host {
			_ = r.fetchNews(context.Background(), relay) // it is logged; the next census starts another fetch
			return
		}
	}
}
