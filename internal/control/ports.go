package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// handler answers the frames of a kind in the control loop.
func (l *Loop) handler(kind peer.Kind) peer.Handler {
	return func(ctx context.Context, _ peer.Sender, decode func(into any) error) (any, error) {
		body := newBody(kind)
		if err := decode(body); err != nil {
			return nil, err
		}
		var reply any
		var failed error
		if err := l.ask(ctx, func(now time.Duration) { reply, failed = l.node.handle(now, body) }); err != nil {
			return nil, err
		}
		return reply, failed
	}
}

// carry makes a call to another host and gives its outcome to the node.
func (l *Loop) carry(ctx context.Context, c call) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply := newReply(c.kind)
	err := l.cfg.Transport.Call(ctx, c.address, c.kind, c.body, reply)
	var older *peer.OlderIncarnationError
	if errors.As(err, &older) {
		l.post(func(time.Duration) { l.takeOlder(older.Known) })
	}
	l.post(func(now time.Duration) { l.node.reply(now, c.token, c.to, reply, err) })
}

func (l *Loop) takeOlder(known model.Incarnation) {
	incarnation, restarted := l.node.olderIncarnation(known)
	if restarted {
		l.cfg.Transport.SetIncarnation(incarnation)
		l.logger.Warn("peers know a higher incarnation of this host; the clock has stepped back",
			zap.Uint64("incarnation", uint64(incarnation)))
		return
	}
	l.logger.Error("another process runs with this host id; this one takes no more work; give each host its own host_id")
}

// readStore reads the keys head and fleet.
func (l *Loop) readStore(ctx context.Context) {
	sent := l.now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	read := storeRead{sent: sent}
	var headErr, fleetErr error
	var group sync.WaitGroup
	group.Go(func() { read.head, headErr = entryOrNone(l.cfg.Store.Get(ctx, configstate.HeadKey)) })
	group.Go(func() { read.fleet, fleetErr = entryOrNone(l.cfg.Store.Get(ctx, configstate.FleetKey)) })
	group.Wait()
	read.err = errors.Join(headErr, fleetErr)
	l.post(func(now time.Duration) { l.node.storeResult(now, read) })
}

func (l *Loop) watch(ctx context.Context, after store.Revision) {
	entry, err := l.cfg.Store.Watch(ctx, configstate.HeadKey, after)
	l.post(func(now time.Duration) { l.node.watchResult(now, entry, err) })
}

func (l *Loop) readSegment(ctx context.Context, id configstate.SegmentID) {
	ctx, cancel := context.WithTimeout(ctx, segmentTimeout)
	defer cancel()
	entry, err := l.cfg.Store.Get(ctx, id.Key())
	l.post(func(time.Duration) { l.node.segmentRead(entry.Value, err) })
}

func (l *Loop) writeFleet(ctx context.Context, w fleetWrite) {
	ctx, cancel := context.WithTimeout(ctx, segmentTimeout)
	defer cancel()
	err := writeSegments(ctx, l.cfg.Store, w.segments)
	if err == nil {
		_, err = l.cfg.Store.CompareAndSwap(ctx, configstate.FleetKey, w.expected, w.value)
	}
	if err != nil {
		l.logger.Info("fleet table not written; it is tried again", zap.Error(err))
	}
	l.post(func(time.Duration) { l.node.fleetWritten() })
}

// followHostList reads the host list again and again. An error leaves the last list in force.
func (l *Loop) followHostList(ctx context.Context) {
	for ctx.Err() == nil {
		l.readHostList(ctx)
		_ = ctxtime.Sleep(ctx, hostListInterval/2+rand.N(hostListInterval)) // the loop ends with the context
	}
}

func (l *Loop) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	records, err := l.cfg.HostList.Hosts(ctx)
	if err != nil {
		l.logger.Warn("host list can't be read; the last one stays in force", zap.Error(err))
		return
	}
	listed := make([]membership.Member, len(records))
	for i, record := range records {
		listed[i] = membership.Member{
			ID: record.ID, Address: record.Address, DataCentre: record.DataCentre, State: membership.Alive,
		}
	}
	l.post(func(now time.Duration) { l.node.members.Seed(now, listed) })
}

// Status describes the control plane of this host for operators.
type Status struct {
	Generation  model.Generation         `json:"generation"`
	Fleet       model.Generation         `json:"fleet_generation"`
	Confirmed   bool                     `json:"confirmed"`
	AgeMS       int64                    `json:"age_ms"`
	Fenced      bool                     `json:"fenced"`
	Superseded  bool                     `json:"superseded"`
	RelaySlot   int                      `json:"relay_slot"` // -1 for a host that is no relay
	Parents     []model.HostID           `json:"parents"`
	StoreFailed int                      `json:"store_failures_in_a_row"`
	Reports     []configstate.Report     `json:"reports"` // the times are since the start of the process
	Members     map[membership.State]int `json:"members"`
	Notices     int                      `json:"notices"`
	// NotApplied counts updates that could not be applied, Dropped events that found the ring of the loop full.
	NotApplied uint64 `json:"not_applied"`
	Dropped    uint64 `json:"dropped"`
}

// Status returns a description of the control plane, or an error if the control loop does not answer.
func (l *Loop) Status(ctx context.Context) (Status, error) {
	var s Status
	err := l.ask(ctx, func(now time.Duration) { s = l.node.status(now) })
	s.Fenced = l.Fenced()
	s.Dropped = l.dropped.Load()
	return s, err
}

func (n *node) status(now time.Duration) Status {
	s := Status{
		Generation:  n.state.Catalogue.Generation(),
		Fleet:       n.state.Fleet.Generation(),
		Superseded:  n.members.Superseded(),
		RelaySlot:   n.topology.slot,
		StoreFailed: n.relay.failures,
		Members:     map[membership.State]int{},
		Notices:     n.rumors.Len(),
		NotApplied:  n.failed,
	}
	if age, ok := n.state.Age(now); ok {
		s.Confirmed = true
		s.AgeMS = age.Milliseconds()
	}
	for _, parent := range n.topology.parents {
		s.Parents = append(s.Parents, parent.ID)
	}
	s.Reports = n.state.Reports.Active(now)
	for _, member := range n.members.Members() {
		s.Members[member.State]++
	}
	return s
}
