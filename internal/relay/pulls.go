package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// transferTime returns the time that the largest reply to a pull takes on a link.
func transferTime(linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	const bits = 8 * (replyBytes + store.MaxValueBytes)
	return time.Duration(bits / linkMbps * float64(time.Microsecond))
}

// sources returns the known relays in the order in which this host tries them. A host that knows none any more, because their leases
// have expired, asks those that it knew last: most of them take their slots again.
func (r *Relay) sources() []slotRecord {
	relays := r.directory.relays(time.Now())
	if len(relays) > 0 {
		r.lastRelays.Store(&relays)
	} else if known := r.lastRelays.Load(); known != nil {
		relays = *known
	}
	return relays
}

// pullInOrder tries the given relays in order and returns the first accepted reply.
func (r *Relay) pullInOrder(ctx context.Context, relays []slotRecord, p pull, accept func(*pullReply) bool) (pullReply, error) {
	for _, relay := range relays {
		reply, err := r.pullFrom(ctx, relay, p)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			r.logger.Info("relay lost", zap.String("relay", string(relay.Host)), zap.Error(err))
			r.directory.markUnresponsive(relay.Host, time.Now())
			continue
		}
		if !reply.NoRelay {
			r.lastAnswer.Store(int64(monotime.Now()))
		}
		if !accept(&reply) {
			continue
		}
		switch reply.Status {
		case pullUnavailable:
			r.directory.markSourceLost(relay.Host, time.Now())
			continue
		case pullHistoryLost:
			return pullReply{}, store.ErrHistoryLost
		}
		r.directory.recordReport(fleetSize{Hosts: reply.Hosts, Large: reply.Large}, time.Now())
		r.announceMove(relay)
		return reply, nil
	}
	return pullReply{}, errNoRelay
}

// announceMove tells the relay that answered before this one that it no longer counts this host.
func (r *Relay) announceMove(relay slotRecord) {
	previous := r.lastSource.Swap(&relay)
	if previous == nil || previous.Host == relay.Host {
		return
	}
	if err := r.cfg.Transport.Send(previous.Address, kindMoved, moved{Number: r.lastPull.Load()}); err != nil {
		r.logger.Debug("failed to announce move", zap.String("relay", string(previous.Host)), zap.Error(err))
	}
}

func (r *Relay) pullFrom(ctx context.Context, relay slotRecord, p pull) (pullReply, error) {
	p.Number = r.lastPull.Add(1)
	p.Large = r.cfg.Large
	p.News = r.news.request(relay.Host)
	bounded, cancel := context.WithTimeout(ctx, p.Wait+replyGrace+r.transferTime)
	defer cancel()
	started := r.cfg.Clock()
	var reply pullReply
	err := r.cfg.Transport.Call(bounded, relay.Address, kindPull, p, &reply)
	var older *peer.OlderIncarnationError
	if errors.As(err, &older) {
		r.cfg.OlderIncarnation(older.Known)
	}
	if err == nil {
		r.mergeNews(relay.Host, reply.News)
		r.news.recordReply(relay.Host, p.News, reply.News)
		ended := r.cfg.Clock()
		reply.source, reply.contact = reply.sourceContact(started, ended), reply.contactOf(started, ended)
	}
	return reply, err
}
