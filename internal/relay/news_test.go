package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
)

// spreadTime is the time within which evidence must be known everywhere: the stable window of the rule BUDGET.
const spreadTime = 4 * time.Second

// observeCrash records that an instance ended under the request at a host.
func (h *host) observeCrash(fingerprint uint64, target string) {
	h.cfg.Evidence.Observe(monotime.Now(), evidence.Fact{
		Kind: evidence.Crashed, Fingerprint: fingerprint, Instance: evidence.Instance{Target: model.TargetID(target), Incarnation: 1},
	})
}

// requireQuarantined requires that every live host refuses the request.
func (d *deployment) requireQuarantined(fingerprint uint64) {
	d.t.Helper()
	for _, h := range d.hosts {
		if !h.transport.down {
			require.Equal(d.t, evidence.Quarantined, h.cfg.Evidence.Judge(monotime.Now(), fingerprint).Verdict, h.cfg.Host)
		}
	}
}

// crashAt records three crashes, each at another host.
func (d *deployment) crashAt(fingerprint uint64, hosts ...*host) {
	for i, h := range hosts {
		h.observeCrash(fingerprint, fmt.Sprint("t", i))
		time.Sleep(400 * time.Millisecond)
	}
}

// without returns the hosts that hold no slot.
func (d *deployment) withoutSlot() (found []*host) {
	for _, h := range d.hosts {
		if !h.IsRelay() {
			found = append(found, h)
		}
	}
	return found
}

// TestEvidenceReachesEveryHost guards against hosts that send on a request which crashes targets because they have not heard of
// crashes that others saw, while the store answers and while it doesn't.
func TestEvidenceReachesEveryHost(t *testing.T) {
	for _, storeAway := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d := deploy(t, 12)
			defer d.end()
			if storeAway {
				d.store.mu.Lock()
				for _, h := range d.hosts {
					d.store.refuses[h.cfg.Host] = true
				}
				d.store.mu.Unlock()
				time.Sleep(3 * time.Second)
			}
			others := d.withoutSlot()
			d.crashAt(1, others[0], others[len(others)-1], d.relays()[0])
			time.Sleep(spreadTime)
			d.requireQuarantined(1)
		})
	}
}

// TestLostMessagesDelayNoEvidence guards against evidence that rests on a message which is sent once.
func TestLostMessagesDelayNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 12)
		defer d.end()
		d.network.setDropped(kindNews, true)
		others := d.withoutSlot()
		d.crashAt(1, others[0], others[1], others[len(others)-1])
		d.network.setDropped(kindNews, false)
		time.Sleep(spreadTime)
		d.requireQuarantined(1)
	})
}

// TestHostThatWasAwayLearnsEvidence guards against a host that was cut off or restarted and sends on a request which the others
// refuse.
func TestHostThatWasAwayLearnsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 12)
		defer d.end()
		others := d.withoutSlot()
		for _, h := range []*host{others[0], d.relays()[1]} {
			d.network.setDown(h, true)
			defer d.network.setDown(h, false)
		}
		d.crashAt(1, others[1], others[2], others[3])
		d.network.setDown(others[0], false)
		d.network.setDown(d.relays()[1], false)
		for _, victim := range []*host{others[4], d.relays()[0]} {
			d.kill(victim)
			d.start(string(victim.cfg.Host), string(victim.cfg.DataCentre), victim.cfg.Large)
		}
		time.Sleep(spreadTime)
		d.requireQuarantined(1)
	})
}

// TestNoEvidenceNoCalls guards the control traffic: without new facts no frames but pulls and censuses are sent.
func TestNoEvidenceNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 12)
		defer d.end()
		d.crashAt(1, d.hosts[0], d.hosts[5], d.hosts[9])
		time.Sleep(2 * spreadTime)
		before := d.network.sentFrames(kindNews)
		time.Sleep(time.Minute)
		require.Equal(t, before, d.network.sentFrames(kindNews))
	})
}

// TestManyFactsShareReplies guards the relays against a pull of every host for every fact, while many targets leave one after the
// other.
func TestManyFactsShareReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 12)
		defer d.end()
		const span, facts = 5 * time.Second, 250
		before := d.network.sentFrames(kindPull)
		for i := range facts {
			d.hosts[i%len(d.hosts)].observeCrash(uint64(i), fmt.Sprint("t", i))
			time.Sleep(span / facts)
		}
		pulls := d.network.sentFrames(kindPull) - before
		require.LessOrEqual(t, pulls, len(d.hosts)*int(span/newsGather+2))
		time.Sleep(spreadTime)
		for _, h := range d.hosts {
			require.Equal(t, facts, h.cfg.Evidence.Summary(monotime.Now()).Facts, h.cfg.Host)
		}
	})
}

// TestLeavingTargetCostsFewFrames guards the control traffic while many targets leave: most hosts meet a leaving target themselves
// before they are told, and each of them would send to every relay.
func TestLeavingTargetCostsFewFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 12)
		defer d.end()
		leaving := evidence.Instance{Target: "t", Incarnation: 1}
		before := d.network.sentFrames(kindNews)
		silent := d.withoutSlot()[0]
		for _, h := range d.hosts {
			if h != silent {
				h.cfg.Evidence.Observe(monotime.Now(), evidence.Fact{Kind: evidence.Leaving, Instance: leaving})
			}
		}
		time.Sleep(spreadTime)
		for _, h := range d.hosts {
			require.True(t, h.cfg.Evidence.IsLeaving(leaving), h.cfg.Host)
		}
		relays := len(d.relays())
		require.LessOrEqual(t, d.network.sentFrames(kindNews)-before, len(d.hosts)+2*relays*relays,
			"one frame of each host, and one frame and one fetch between every two relays")
	})
}

func (n *network) setDown(h *host, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.transport.down = down
}

func (n *network) setDropped(kind peer.Kind, dropped bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[kind] = dropped
}

func (n *network) sentFrames(kind peer.Kind) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[kind]
}
