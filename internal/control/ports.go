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

// handler returns a frame handler that processes a kind on the control loop's goroutine.
func (l *Loop) handler(kind peer.Kind) peer.Handler {
	return func(ctx context.Context, _ peer.Sender, decode func(into any) error) (any, error) {
		body := newBody(kind)
		if err := decode(body); err != nil {
			return nil, err
		}
		var reply any
		var failed error
		if err := l.runInLoop(ctx, func(now time.Duration) { reply, failed = l.node.handle(now, body) }); err != nil {
			return nil, err
		}
		return reply, failed
	}
}

// sendCall performs a call to another host and passes the result to the node.
func (l *Loop) sendCall(ctx context.Context, c call) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply := newReply(c.kind)
	err := l.cfg.Transport.Call(ctx, c.address, c.kind, c.body, reply)
	var older *peer.OlderIncarnationError
	if errors.As(err, &older) {
		l.post(func(time.Duration) { l.handleOlderIncarnation(older.Known) })
	}
	l.post(func(now time.Duration) { l.node.reply(now, c.token, c.to, reply, err) })
}

// handleOlderIncarnation handles the rejection of a frame by a peer that knows a newer incarnation of this host.
func (l *Loop) handleOlderIncarnation(known model.Incarnation) {
	incarnation, adopted := l.node.handleOlderIncarnation(known)
	if adopted {
		l.cfg.Transport.SetIncarnation(incarnation)
		l.logger.Warn("clock stepped back: peers know a higher incarnation of this host; a new one was adopted",
			zap.Uint64("incarnation", uint64(incarnation)))
		return
	}
	l.logger.Error("another process uses this host id: this process refuses new work; assign a unique host_id to each host")
}

// readStore reads the keys head and fleet.
func (l *Loop) readStore(ctx context.Context) {
	sent := l.now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	read := storeRead{sent: sent}
	var headErr, fleetErr error
	var reads sync.WaitGroup
	reads.Go(func() { read.head, headErr = emptyIfNotFound(l.cfg.Store.Get(ctx, configstate.HeadKey)) })
	reads.Go(func() { read.fleet, fleetErr = emptyIfNotFound(l.cfg.Store.Get(ctx, configstate.FleetKey)) })
	reads.Wait()
	read.err = errors.Join(headErr, fleetErr)
	l.post(func(now time.Duration) { l.node.storeResult(now, read) })
}

// watch waits for a revision of the key head after the given one.
func (l *Loop) watch(ctx context.Context, after store.Revision) {
	entry, err := l.cfg.Store.Watch(ctx, configstate.HeadKey, after)
	l.post(func(now time.Duration) { l.node.watchResult(now, entry, err) })
}

func (l *Loop) readSegment(ctx context.Context, id configstate.SegmentID) {
	ctx, cancel := context.WithTimeout(ctx, segmentTimeout)
	defer cancel()
	entry, err := l.cfg.Store.Get(ctx, id.Key())
	l.post(func(time.Duration) { l.node.segmentResult(entry.Value, err) })
}

func (l *Loop) writeFleet(ctx context.Context, w fleetWrite) {
	ctx, cancel := context.WithTimeout(ctx, segmentTimeout)
	defer cancel()
	err := writeSegments(ctx, l.cfg.Store, w.segments)
	if err == nil {
		_, err = l.cfg.Store.CompareAndSwap(ctx, configstate.FleetKey, w.expected, w.value)
	}
	if err != nil {
		l.logger.Info("fleet table write failed; it will be retried", zap.Error(err))
	}
	l.post(func(time.Duration) { l.node.fleetWritten() })
}

// pollHostList reads the host list periodically. A failed read keeps the previous list.
func (l *Loop) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		l.readHostList(ctx)
		_ = ctxtime.Sleep(ctx, hostListInterval/2+rand.N(hostListInterval)) // the loop condition checks the context
	}
}

func (l *Loop) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	records, err := l.cfg.HostList.Hosts(ctx)
	if err != nil {
		l.logger.Warn("host list read failed; the previous list remains in use", zap.Error(err))
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

// Status describes the state of this host's control plane for operators.
type Status struct {
	Generation  model.Generation         `json:"generation"`
	Fleet       model.Generation         `json:"fleet_generation"`
	Confirmed   bool                     `json:"confirmed"`
	AgeMS       int64                    `json:"age_ms"`
	Fenced      bool                     `json:"fenced"`
	Superseded  bool                     `json:"superseded"`
	RelaySlot   int                      `json:"relay_slot"` // -1 if this host is not a relay
	Parents     []model.HostID           `json:"parents"`
	StoreFailed int                      `json:"store_failures_in_a_row"`
	Reports     []configstate.Report     `json:"reports"` // times are relative to the start of the process
	Members     map[membership.State]int `json:"members"`
	Notices     int                      `json:"notices"`
	// NotApplied counts updates that could not be applied; Dropped counts events dropped because the control loop's
	// queue was full.
	NotApplied uint64 `json:"not_applied"`
	Dropped    uint64 `json:"dropped"`
}

// Status returns the state of the control plane, or an error if the control loop does not respond.
func (l *Loop) Status(ctx context.Context) (Status, error) {
	var s Status
	err := l.runInLoop(ctx, func(now time.Duration) { s = l.node.status(now) })
	s.Fenced = l.Fenced()
	s.Dropped = l.droppedEvents.Load()
	return s, err
}

func (n *node) status(now time.Duration) Status {
	s := Status{
		Generation:  n.state.Catalogue.Generation(),
		Fleet:       n.state.Fleet.Generation(),
		Superseded:  n.members.Superseded(),
		RelaySlot:   n.topology.slot,
		StoreFailed: n.relay.consecutiveFailures,
		Members:     map[membership.State]int{},
		Notices:     n.rumors.Len(),
		NotApplied:  n.applyFailures,
	}
	if age, ok := n.state.ConfirmationAge(now); ok {
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
