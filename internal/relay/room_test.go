package relay

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// TestRepliesUnderWayAreBounded guards against a relay that runs out of memory when a large configuration changes: it has a frame for each
// host that pulls from it, 118 in a fleet of 4,600. Each host still gets the version that is the latest when its reply is made.
func TestRepliesUnderWayAreBounded(t *testing.T) {
	const (
		pullers, writeTime = 118, 100 * time.Millisecond
		allowedBytes       = 64 << 20 / 3 // of the memory for control
	)
	synctest.Test(t, func(t *testing.T) {
		d := deployIn(t, 1, 3)
		defer d.end()
		relay := d.relays()[0]
		var mu sync.Mutex
		underWay, most, latest := 0, 0, 0
		var all sync.WaitGroup
		after := relay.log.latest()
		for range pullers {
			all.Go(func() {
				p := pull{After: after, Wait: 2 * time.Second, ContactAge: monotime.Now()}
				answer, err := relay.handlePull(t.Context(), peer.Sender{Host: "puller"}, func(into any) error {
					*into.(*pull) = p
					return nil
				})
				require.NoError(t, err)
				reply := answer.(pullReply)
				size := sizeOfAll(reply.Changes)
				mu.Lock()
				underWay += size
				most = max(most, underWay)
				if strings.HasPrefix(string(reply.Changes[len(reply.Changes)-1].Value), "second") {
					latest++
				}
				mu.Unlock()
				time.Sleep(writeTime)
				mu.Lock()
				underWay -= size
				mu.Unlock()
				if tracked, ok := answer.(peer.Tracked); ok {
					tracked.Done()
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		d.store.put("config", "first"+strings.Repeat(" ", largeValue))
		time.Sleep(300 * time.Millisecond)
		d.store.put("config", "second"+strings.Repeat(" ", largeValue))
		all.Wait()
		require.LessOrEqual(t, most, allowedBytes, "bytes of replies at a time")
		require.Positive(t, latest, "replies of the second version")
	})
}

// TestPullThatFindsNoRoomEnds guards against pulls that wait for a relay longer than their hosts do.
func TestPullThatFindsNoRoomEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deployIn(t, 1, 3)
		defer d.end()
		relay := d.relays()[0]
		d.requireValueOnHosts(strings.Repeat("v", largeValue), inForce)
		require.NoError(t, relay.replyRoom.Acquire(context.Background(), maxRepliesBytes))
		began := time.Now()
		_, err := relay.handlePull(t.Context(), peer.Sender{Host: "puller"}, func(into any) error {
			*into.(*pull) = pull{Paged: true}
			return nil
		})
		require.ErrorIs(t, err, errNoRoom)
		require.LessOrEqual(t, time.Since(began), replyGrace)
		relay.replyRoom.Release(maxRepliesBytes)
		reply := pullReply{Changes: []store.Change{{}}}
		reply.Done()
	})
}
