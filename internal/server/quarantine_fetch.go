package server

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/quarantine"
)

const (
	kindQuarantines peer.Kind = "quarantine_snapshot"
	// snapshotSources is the number of hosts whose evidence a starting host takes over: a second one makes up for one that has
	// just started, too.
	snapshotSources  = 2
	snapshotTimeout  = time.Second
	snapshotInterval = 100 * time.Millisecond
	// snapshotPatience is how long a starting host looks for other hosts. One that is alone has nobody to ask.
	snapshotPatience = 10 * time.Second
)

// snapshotRequest asks a host for its evidence of requests that crash targets.
type snapshotRequest struct{}

// serveSnapshots answers hosts that start. It must be called before the transport starts.
func (g *guard) serveSnapshots(transport peer.Transport) {
	transport.Handle(kindQuarantines, func(context.Context, peer.Sender, func(any) error) (any, error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.state.Snapshot(time.Since(g.started)), nil
	})
}

// fetchSnapshots takes over the evidence of other hosts, once some are known.
func (g *guard) fetchSnapshots(ctx context.Context, transport peer.Transport, members func() []membership.Member) {
	asked := map[model.HostID]bool{g.self: true}
	taken := 0
	for started := time.Now(); taken < snapshotSources && time.Since(started) < snapshotPatience; {
		others := slices.Clone(members())
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		for _, other := range others {
			if taken < snapshotSources && other.State == membership.Alive && !asked[other.ID] {
				asked[other.ID] = true
				if g.fetchSnapshot(ctx, transport, other) {
					taken++
				}
			}
		}
		if ctxtime.Sleep(ctx, snapshotInterval) != nil {
			return
		}
	}
}

func (g *guard) fetchSnapshot(ctx context.Context, transport peer.Transport, from membership.Member) bool {
	bounded, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var snapshot quarantine.Snapshot
	if err := transport.Call(bounded, from.Address, kindQuarantines, snapshotRequest{}, &snapshot); err != nil {
		g.logger.Info("failed to fetch quarantines", zap.String("from", string(from.ID)), zap.Error(err))
		return false
	}
	g.update(func(now time.Duration) { g.state.Merge(now, snapshot) })
	g.logger.Info("quarantines fetched", zap.String("from", string(from.ID)), zap.Int("losses", len(snapshot.Reports)),
		zap.Int("quarantined", len(snapshot.Quarantines)))
	return true
}
