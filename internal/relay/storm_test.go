package relay

import (
	"bytes"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// A storm writes a version of the configuration each stormGap. largeValue is the size of a configuration of 5,000 routes, and
// mediumValue one that exceeds a part of a reply.
const (
	stormVersions = 25
	stormGap      = 80 * time.Millisecond
	mediumValue   = replyBytes + 64<<10
	largeValue    = 990_000
)

// heapMB returns the memory that is in use after a garbage collection.
func heapMB() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc >> 20)
}

// TestLogKeepsOneVersionOfEachKey guards against a host that runs out of memory because it keeps all versions of a large configuration.
func TestLogKeepsOneVersionOfEachKey(t *testing.T) {
	const versions, allowedMB = 200, 16
	l := newChangeLog(monotime.Now, newContactLimits(0))
	l.reset([]store.Entry{{Key: "config", Revision: 1}, {Key: "other", Revision: 2}}, 2, monotime.Now())
	before := heapMB()
	for i := range versions {
		l.apply([]store.Change{{Entry: store.Entry{Key: "config", Value: make([]byte, largeValue), Revision: store.Revision(3 + i)}}}, monotime.Now())
	}
	require.LessOrEqual(t, heapMB()-before, allowedMB, "after %d versions of %d bytes", versions, largeValue)
	reply, _ := l.currentReply(pull{After: 2})
	require.Len(t, reply.Changes, 1, "versions that nobody needs any more")
	require.Equal(t, store.Revision(2+versions), reply.Changes[0].Revision)
}

// storm writes versions of the configuration in quick succession, and then the given one. It requires all hosts to have that in time.
func (d *deployment) storm(size int, last string) {
	for range stormVersions {
		d.store.put("config", strings.Repeat("v", size))
		time.Sleep(stormGap)
	}
	d.requireValueOnHosts(last+strings.Repeat(" ", size), inForce)
}

// TestStormOfVersionsIsInForceInTime guards against hosts without a slot that act on an old configuration, or miss what changes beside
// it, because they read each version of a storm by itself.
func TestStormOfVersionsIsInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deployIn(t, 1, 5)
		defer d.end()
		d.store.put("target", "ready")
		d.storm(mediumValue, "first")
		require.Equal(t, "ready", d.withoutSlot()[0].value("target"))
		d.store.remove("target")
		d.storm(mediumValue, "second")
		d.requireRemoved("target", nil)
	})
}

// TestStormAfterAnOutageIsInForceInTime guards against relays that act on an old configuration after an outage, because they take parts
// of the changes from each other in place of the store's answer.
func TestStormAfterAnOutageIsInForceInTime(t *testing.T) {
	for _, size := range []int{mediumValue, largeValue} {
		synctest.Test(t, func(t *testing.T) {
			d := deployIn(t, 1, 5)
			defer d.end()
			d.requireValueOnHosts("before", inForce)
			for _, h := range d.hosts {
				d.hang(h, true)
			}
			d.store.put("other", "wakes the watches")
			time.Sleep(4500 * time.Millisecond)
			for _, h := range d.hosts {
				d.hang(h, false)
			}
			d.storm(size, "after")
		})
	}
}

// TestManyChangesAreReadAtOnce guards against hosts that fall behind because they pause after each part of what they lack, as after a
// moment without contact in a deployment with many targets. An evacuation is the last of the changes.
func TestManyChangesAreReadAtOnce(t *testing.T) {
	const targets, size = 20_000, 250
	synctest.Test(t, func(t *testing.T) {
		d := deployIn(t, 1, 5)
		defer d.end()
		value := bytes.Repeat([]byte("t"), size)
		d.store.mu.Lock()
		for i := range targets {
			d.store.set("target/"+strings.Repeat("i", 20)+string(rune('a'+i%26))+time.Duration(i).String(), value, false)
		}
		before := d.readsWithoutSlot()
		d.store.mu.Unlock()
		d.requireValueOnHosts("evacuated", inForce)
		d.store.mu.Lock()
		defer d.store.mu.Unlock()
		require.Equal(t, before, d.readsWithoutSlot(), "hosts without a slot press the store")
	})
}

// readsWithoutSlot returns the number of calls to the store by hosts without a slot. The caller holds d.store.mu.
func (d *deployment) readsWithoutSlot() int {
	reads := 0
	for _, h := range d.withoutSlot() {
		reads += d.store.reads[h.cfg.Host]
	}
	return reads
}

// TestStoreIsHeardWhileRelaysAreSilent guards against a relay that does not look at the store's answer while it waits for other relays,
// which do not answer: it would act on an old configuration for that time. Its call hangs from any time after the start of it.
func TestStoreIsHeardWhileRelaysAreSilent(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 200 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			d := deployIn(t, 1, 5)
			defer d.end()
			d.requireValueOnHosts("before", inForce)
			relays := d.relays()
			behind, others := relays[0], append(relays[1:], d.withoutSlot()...)
			d.store.put("other", "the next watch begins")
			time.Sleep(300*time.Millisecond + offset)
			d.hang(behind, true)
			d.store.put("other", "wakes the watch, which then hangs")
			time.Sleep(10 * time.Millisecond)
			d.hang(behind, false)
			for _, h := range others {
				d.silence(h, true)
			}
			d.requireValueOnHosts("after", inForce, others...)
		})
	}
}

// TestThinHostFollowsALargeConfiguration guards against a host on a thin link that never gets a large configuration from a relay, because
// the reply takes longer than the time in which a relay must answer: it would press the store instead.
func TestThinHostFollowsALargeConfiguration(t *testing.T) {
	const mbps = 14
	synctest.Test(t, func(t *testing.T) {
		d := deployIn(t, 1, 5)
		defer d.end()
		d.requireValueOnHosts(strings.Repeat("v", largeValue), inForce)
		thin := d.startWithLink("thin", "dc0", false, mbps)
		time.Sleep(5 * time.Second)
		require.Len(t, thin.value("config"), largeValue, "the listing")
		for range 3 {
			d.storm(largeValue, "next")
		}
		d.store.mu.Lock()
		defer d.store.mu.Unlock()
		require.Zero(t, d.store.reads["thin"], "calls to the store")
	})
}

// TestStormsThatGoOnLeaveNoHostBehind guards against hosts that fall ever further behind while storms follow each other, once a slow store
// has made their contact too old.
func TestStormsThatGoOnLeaveNoHostBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deployIn(t, 1, 5)
		defer d.end()
		d.requireValueOnHosts("before", inForce)
		d.setLatency(1500 * time.Millisecond)
		time.Sleep(5 * time.Second)
		d.setLatency(4 * time.Millisecond)
		for range 6 {
			d.storm(largeValue, "next")
		}
	})
}

// setLatency sets the time that a call for changes takes at least.
func (d *deployment) setLatency(latency time.Duration) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.store.latency = latency
}
