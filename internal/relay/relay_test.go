package relay

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// TestCallsToTheStoreDoNotGrowWithTheFleet guards the number of store calls, which are priced and rate-limited, and the
// time until a change reaches every host.
func TestCallsToTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	reads := map[int]int{}
	for _, size := range []int{10, 60} {
		synctest.Test(t, func(t *testing.T) {
			d := deploy(t, size)
			defer d.end()
			require.Len(t, d.relays(), 2*slotsPerDataCentre)
			before := d.totalReads()
			for i := range 10 {
				d.requireValueOnHosts(fmt.Sprint(i), time.Second)
			}
			reads[size] = d.totalReads() - before
			time.Sleep(2 * moveGrace) // until hosts that changed relays during startup are counted once
			for _, h := range d.hosts {
				require.GreaterOrEqual(t, h.Hosts(), 2*size, "budgets are divided among too few hosts")
				require.LessOrEqual(t, h.Hosts(), 2*size, "a host is counted more than once")
			}
		})
	}
	require.Equal(t, reads[10], reads[60])
}

// TestOnlyLeadersFollowTheStore guards the cost of store calls: the other relays read changes from the leaders of their
// data centre, and call the store only when the leaders are gone.
func TestOnlyLeadersFollowTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 8)
		defer d.end()
		before := d.totalReads()
		for i := range 10 {
			d.requireValueOnHosts(fmt.Sprint(i), time.Second)
		}
		const leaders, idleCalls = 4, 4
		require.LessOrEqual(t, d.totalReads()-before, leaders*(10+idleCalls))
		for _, h := range d.relays() {
			if h.isLeader() {
				d.kill(h)
			}
		}
		d.requireValueOnHosts("after", 2500*time.Millisecond)
	})
}

// requireCallsBounded requires that hosts which the store refuses back off.
func (d *deployment) requireCallsBounded(hosts []*host, span time.Duration) {
	before := d.totalReads()
	time.Sleep(span)
	require.LessOrEqual(d.t, d.totalReads()-before, 3*len(d.hosts)+8*len(hosts))
}

// TestHostsMoveToAnotherRelay guards against hosts that miss changes because their relay was killed or is refused by
// the store. This includes the relay itself.
func TestHostsMoveToAnotherRelay(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d := deploy(t, 12)
			defer d.end()
			d.requireValueOnHosts("before", time.Second)
			victims := d.relays()[:3]
			for _, victim := range victims {
				if !refuse {
					d.kill(victim)
					continue
				}
				d.store.mu.Lock()
				d.store.refuses[victim.cfg.Host] = true
				d.store.mu.Unlock()
			}
			d.requireValueOnHosts("after", 2500*time.Millisecond)
			if refuse {
				d.requireCallsBounded(victims, 10*time.Second)
			}
			time.Sleep(slotTTL + 2*smallClaimJitter + 3*time.Second)
			require.GreaterOrEqual(t, len(d.relays()), 2*slotsPerDataCentre, "free slots are not claimed again")
		})
	}
}

// TestRelayWithHangingCallsIsDetected guards against hosts that miss a change because the store stops answering their
// relay. The relay's own timeout detects this only after seconds.
func TestRelayWithHangingCallsIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 12)
		defer d.end()
		d.requireValueOnHosts("before", time.Second)
		victims := d.relays()[:2]
		d.store.mu.Lock()
		for _, victim := range victims {
			d.store.hangs[victim.cfg.Host] = true
		}
		d.store.mu.Unlock()
		for i := range 8 {
			d.requireValueOnHosts(fmt.Sprint("after", i), 1500*time.Millisecond)
		}
		// Frequent changes to other keys must not delay detection.
		stop := make(chan struct{})
		go func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
					d.store.put("other", fmt.Sprint(i))
				}
			}
		}()
		defer close(stop)
		for i := range 8 {
			d.requireValueOnHosts(fmt.Sprint("busy", i), 2*time.Second)
		}
	})
}

// TestRelayCutFromStoreAndOtherRelaysIsDetected guards against a data centre that stays on an old configuration beyond the 3 s that are
// allowed, because its relay is cut from the store and no census of another relay tells that it is behind. Changes come at any
// time after the start of the relay's call.
func TestRelayCutFromStoreAndOtherRelaysIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 4)
		defer d.end()
		d.requireValueOnHosts("before", time.Second)
		for i := range 12 {
			time.Sleep(4*time.Second + time.Duration(i)*250*time.Millisecond)
			leader := d.hosts[slices.IndexFunc(d.hosts, func(h *host) bool { return h.isLeader() })]
			d.store.put("other", fmt.Sprint("wakes the watches ", i))
			time.Sleep(250 * time.Millisecond) // the next watch has just begun
			d.cut(leader, true)
			d.requireValueOnHosts(fmt.Sprint("after", i), inForce, leader)
			d.cut(leader, false)
		}
	})
}

// cut makes the store's calls of a host hang and loses the censuses of all hosts, or ends that.
func (d *deployment) cut(h *host, cut bool) {
	d.network.setDropped(kindCensus, cut)
	d.hang(h, cut)
}

// TestHostStartingBesideHangingRelayLearnsRemovals guards against a target that has left and is used again by a host that was
// restarted, because the relay that it lists from is behind: its calls to the store hang.
func TestHostStartingBesideHangingRelayLearnsRemovals(t *testing.T) {
	for victims := 1; victims <= 2; victims++ {
		synctest.Test(t, func(t *testing.T) {
			d := deploy(t, 8)
			defer d.end()
			d.store.put("target", "ready")
			time.Sleep(2 * time.Second)
			d.store.mu.Lock()
			for _, victim := range d.relays()[:victims] {
				d.store.hangs[victim.cfg.Host] = true
			}
			d.store.set("target", nil, true)
			d.store.mu.Unlock()
			for _, former := range d.withoutSlot() {
				d.kill(former)
				d.start(string(former.cfg.Host), string(former.cfg.DataCentre), former.cfg.Large)
			}
			time.Sleep(stableWindow)
			for _, h := range d.hosts {
				if !h.transport.down {
					require.Empty(t, h.value("target"), h.cfg.Host)
				}
			}
		})
	}
}

// TestHostWithoutAnyRelayFollowsTheStore guards against hosts that get no data after all relays were killed at once.
func TestHostWithoutAnyRelayFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 8)
		defer d.end()
		for _, relay := range d.relays() {
			d.kill(relay)
		}
		d.requireValueOnHosts("after", 2*storeFallbackDelay+3*time.Second)
	})
}

// TestRestartedFleetKeepsItsRelays guards the recovery time of a fleet after all hosts were killed at once.
func TestRestartedFleetKeepsItsRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 8)
		defer d.end()
		d.requireValueOnHosts("before", time.Second)
		former := d.hosts
		d.hosts = nil
		for _, h := range former {
			d.kill(h)
		}
		for i, h := range former {
			d.start(string(h.cfg.Host), string(h.cfg.DataCentre), i%8 < 2)
		}
		time.Sleep(2 * time.Second)
		for _, h := range d.hosts {
			require.Equal(t, "before", h.value("config"), h.cfg.Host)
		}
		require.Len(t, d.relays(), 2*slotsPerDataCentre)
		for _, h := range former {
			h.stop()
		}
	})
}

// TestPullBeforeOldestRemovalReportsHistoryLost guards against gaps in the changes delivered to a host: a removal that it never hears of.
func TestPullBeforeOldestRemovalReportsHistoryLost(t *testing.T) {
	const listed, extra = 5, 10
	l := newChangeLog(monotime.Now, newContactLimits(0))
	l.reset([]store.Entry{{Key: "a", Revision: listed}}, listed, monotime.Now())
	reply, _ := l.currentReply(pull{After: listed - 1})
	require.Equal(t, pullHistoryLost, reply.Status)
	for i := range maxRemovals + extra {
		revision := store.Revision(listed + 1 + i)
		l.apply([]store.Change{{Entry: store.Entry{Key: fmt.Sprint("b", i), Revision: revision}, Removed: true}}, monotime.Now())
	}
	reply, _ = l.currentReply(pull{After: listed})
	require.Equal(t, pullHistoryLost, reply.Status)
	oldest := listed + maxRemovals/2 // the removals up to it were dropped
	reply, _ = l.currentReply(pull{After: store.Revision(oldest - 1)})
	require.Equal(t, pullHistoryLost, reply.Status)
	after := store.Revision(oldest)
	for i := oldest; after < l.latest(); {
		reply, _ = l.currentReply(pull{After: after})
		require.Equal(t, pullChanges, reply.Status)
		for _, change := range reply.Changes {
			require.Equal(t, store.Change{Entry: store.Entry{Key: fmt.Sprint("b", i-listed), Revision: store.Revision(i + 1)}, Removed: true}, change)
			i++
		}
		after = reply.Revision
	}
	l.setUnavailable(true)
	reply, _ = l.currentReply(pull{After: after})
	require.Equal(t, pullUnavailable, reply.Status)
}

// TestStoreOutageKeepsLargeHosts guards the load pattern of a store outage under traffic: relays that cannot reach the
// store still execute queries. If the small hosts stop handing queries over, each of them asks targets that it knows
// nothing about, with a budget of less than one hedge.
func TestStoreOutageKeepsLargeHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 8)
		defer d.end()
		d.setStoreDown(true)
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			for _, h := range d.hosts {
				require.True(t, h.cfg.Large || len(h.Aggregators()) > 0, "%s hands no queries over", h.cfg.Host)
			}
		}
	})
}

// TestUnresponsiveLargeHostGetsNoQueries guards against handing queries over to a host that does not answer.
func TestUnresponsiveLargeHostGetsNoQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 8)
		defer d.end()
		small := d.hosts[7]
		require.Len(t, small.Aggregators(), 2)
		small.Avoid(small.Aggregators()[0].Host)
		require.Len(t, small.Aggregators(), 1)
	})
}

// TestHostsFollowTheStoreAfterLeasesHaveExpired guards against hosts that hear nothing for seconds after an outage in which the leases of
// all relays expire, because they take the answers of hosts that are no longer relays for news of the store.
func TestHostsFollowTheStoreAfterLeasesHaveExpired(t *testing.T) {
	for _, outage := range []time.Duration{slotTTL, slotTTL + 700*time.Millisecond, slotTTL + 1500*time.Millisecond, 2 * slotTTL} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t, 4)
				defer d.end()
				time.Sleep(10 * time.Second)
				d.setStoreDown(true)
				time.Sleep(outage)
				d.setStoreDown(false)
				time.Sleep(1800 * time.Millisecond)
				d.requireValueOnHosts("after", time.Second)
			})
		})
	}
}

// setStoreDown makes the store refuse the calls of all hosts, or serve them again.
func (d *deployment) setStoreDown(down bool) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	for _, h := range d.hosts {
		d.store.refuses[h.cfg.Host] = down
	}
}
