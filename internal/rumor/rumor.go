package rumor

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// roundInterval is the time between two gossip rounds while any notice has transmissions left.
	roundInterval = 100 * time.Millisecond
	// fanout is the number of hosts that receive a notice in each round. Each round multiplies the number of hosts
	// that know it by up to four, so 4,600 hosts need about seven rounds.
	fanout = 3
	// extraTransmissions is added to the binary logarithm of the number of hosts. With that many transmissions by
	// each host, the expected number of hosts that miss a notice is far below one.
	extraTransmissions = 6
	// maxNotices bounds the table. The least recently updated notice is evicted first.
	maxNotices = 1024
	// maxBatchNotices and maxBatchBytes bound the notices in one frame.
	maxBatchNotices = 16
	maxBatchBytes   = 8 << 10
)

// MaxPayload is the maximum size of a notice's payload in bytes.
const MaxPayload = 1 << 10

// Batch is the frame that carries notices.
type Batch struct {
	Notices []Notice
}

// Peer is a potential receiver of gossip.
type Peer struct {
	ID      model.HostID
	Address string
}

// Message is a frame to send.
type Message struct {
	To    Peer
	Batch Batch
}

type noticeKey struct {
	topic Topic
	key   string
}

type entry struct {
	notice    Notice
	remaining int    // transmissions left
	sequence  uint64 // value of Gossiper.lastSequence at the last update
}

// Gossiper disseminates notices. It is not safe for concurrent use.
type Gossiper struct {
	rng          *rand.Rand
	entries      map[noticeKey]*entry
	pending      []*entry // entries with transmissions left, newest last
	lastSequence uint64
	nextRound    time.Duration
}

// New returns a Gossiper without notices.
func New(rng *rand.Rand) *Gossiper {
	return &Gossiper{rng: rng, entries: map[noticeKey]*entry{}}
}

// Publish starts to disseminate a notice among the given number of hosts. It returns false if the payload is too
// large or a notice with the same topic and key and at least the same epoch is already known.
func (g *Gossiper) Publish(notice Notice, hosts int) bool {
	if len(notice.Payload) > MaxPayload {
		return false
	}
	k := noticeKey{notice.Topic, notice.Key}
	e, ok := g.entries[k]
	if ok && e.notice.Epoch >= notice.Epoch {
		return false
	}
	if !ok {
		g.evictOldest()
		e = &entry{}
		g.entries[k] = e
	}
	g.lastSequence++
	e.notice = notice
	e.sequence = g.lastSequence
	e.remaining = bits.Len(uint(hosts)) + extraTransmissions
	g.pending = slices.DeleteFunc(g.pending, func(other *entry) bool { return other == e })
	g.pending = append(g.pending, e)
	return true
}

// evictOldest removes the least recently updated notice if the table is full.
func (g *Gossiper) evictOldest() {
	if len(g.entries) < maxNotices {
		return
	}
	var oldest noticeKey
	first := true
	for k, e := range g.entries {
		if first || e.sequence < g.entries[oldest].sequence {
			oldest = k
			first = false
		}
	}
	evicted := g.entries[oldest]
	delete(g.entries, oldest)
	g.pending = slices.DeleteFunc(g.pending, func(e *entry) bool { return e == evicted })
}

// Receive processes a batch from another host and returns the notices that were not known before, which this host
// disseminates in turn.
func (g *Gossiper) Receive(batch Batch, hosts int) []Notice {
	var fresh []Notice
	for _, notice := range batch.Notices {
		if g.Publish(notice, hosts) {
			fresh = append(fresh, notice)
		}
	}
	return fresh
}

// Tick returns the frames to send if a round is due. choose returns up to n random hosts.
func (g *Gossiper) Tick(now time.Duration, choose func(n int) []Peer) []Message {
	if len(g.pending) == 0 || now < g.nextRound {
		return nil
	}
	g.nextRound = now + roundInterval
	var messages []Message
	for _, peer := range choose(fanout) {
		if batch := g.nextBatch(); len(batch.Notices) > 0 {
			messages = append(messages, Message{To: peer, Batch: batch})
		}
	}
	return messages
}

// nextBatch returns the newest pending notices first, because older ones have already reached most hosts.
func (g *Gossiper) nextBatch() Batch {
	var batch Batch
	size := 0
	for i := len(g.pending) - 1; i >= 0 && len(batch.Notices) < maxBatchNotices; i-- {
		e := g.pending[i]
		size += len(e.notice.Payload) + len(e.notice.Key)
		if size > maxBatchBytes {
			break
		}
		batch.Notices = append(batch.Notices, e.notice)
		e.remaining--
	}
	g.pending = slices.DeleteFunc(g.pending, func(e *entry) bool { return e.remaining <= 0 })
	return batch
}

// Latest returns the newest notice with the given topic and key.
func (g *Gossiper) Latest(topic Topic, id string) (Notice, bool) {
	e, ok := g.entries[noticeKey{topic, id}]
	if !ok {
		return Notice{}, false
	}
	return e.notice, true
}

// Len returns the number of notices in the table.
func (g *Gossiper) Len() int { return len(g.entries) }
