package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/quarantine"
)

// snapshotTransport answers calls for evidence at the addresses that it knows.
type snapshotTransport struct {
	peer.Transport
	snapshots map[string]quarantine.Snapshot
}

func (f snapshotTransport) Call(_ context.Context, address string, _ peer.Kind, _, reply any) error {
	snapshot, ok := f.snapshots[address]
	if !ok {
		return peer.ErrNotSent
	}
	*reply.(*quarantine.Snapshot) = snapshot
	return nil
}

// TestStartingHostFetchesQuarantines guards against a host that starts without the quarantines of the others: it asks on until
// hosts are known, and passes over those that do not answer or are not alive.
func TestStartingHostFetchesQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(zap.NewNop(), "h")
		left := quarantine.Snapshot{Quarantines: []quarantine.Quarantine{{Fingerprint: 1, Left: time.Minute}}}
		transport := snapshotTransport{snapshots: map[string]quarantine.Snapshot{"a": {}, "b": left, "dead": left}}
		started := time.Now()
		members := func() []membership.Member {
			if time.Since(started) < time.Second {
				return []membership.Member{{ID: "h", State: membership.Alive}}
			}
			found := []membership.Member{{ID: "dead", Address: "dead", State: membership.Dead}}
			for _, id := range []model.HostID{"h", "silent", "a", "b"} {
				found = append(found, membership.Member{ID: id, Address: string(id), State: membership.Alive})
			}
			return found
		}
		g.fetchSnapshots(t.Context(), transport, members)
		require.Less(t, time.Since(started), 2*time.Second)
		run, err := g.tryAdmit("caller", 1)
		require.NoError(t, err)
		require.Equal(t, quarantine.Quarantined, run.Verdict)
	})
}
