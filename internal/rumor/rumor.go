package rumor

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// round is the time between two rounds of sending while notices are young.
	round = 100 * time.Millisecond
	// fanout is the number of hosts that get a notice in one round. Each round makes the number of hosts that know it
	// up to four times as large, so 4,600 hosts need about seven rounds.
	fanout = 3
	// extraSends is added to the logarithm of the number of hosts. With that many sends of each host, the expected
	// number of hosts that a notice misses is far below one.
	extraSends = 6
	// maxNotices bounds the table. The notice that has not changed for the longest time is forgotten first.
	maxNotices = 1024
	// maxBatch and maxBatchBytes bound one frame.
	maxBatch      = 16
	maxBatchBytes = 8 << 10
)

// MaxPayload is the largest payload of a notice in bytes.
const MaxPayload = 1 << 10

// Batch is the frame that carries notices.
type Batch struct {
	Notices []Notice
}

// Peer is a possible receiver.
type Peer struct {
	ID      model.HostID
	Address string
}

// Message is a frame to send.
type Message struct {
	To    Peer
	Batch Batch
}

type key struct {
	topic Topic
	key   string
}

type entry struct {
	notice Notice
	sends  int // sends that are left
	order  uint64
}

// Spreader spreads notices. It is not safe for concurrent use.
type Spreader struct {
	rng     *rand.Rand
	entries map[key]*entry
	young   []*entry // those with sends left, the newest last
	order   uint64
	next    time.Duration
}

// New returns an empty spreader.
func New(rng *rand.Rand) *Spreader {
	return &Spreader{rng: rng, entries: map[key]*entry{}}
}

// Publish starts to spread a notice among a number of hosts. It returns false if the notice is not newer than a known
// one with its topic and key, or too large.
func (s *Spreader) Publish(notice Notice, hosts int) bool {
	if len(notice.Payload) > MaxPayload {
		return false
	}
	k := key{notice.Topic, notice.Key}
	e, ok := s.entries[k]
	if ok && e.notice.Epoch >= notice.Epoch {
		return false
	}
	if !ok {
		s.makeRoom()
		e = &entry{}
		s.entries[k] = e
	}
	s.order++
	e.notice = notice
	e.order = s.order
	e.sends = bits.Len(uint(hosts)) + extraSends
	s.young = slices.DeleteFunc(s.young, func(other *entry) bool { return other == e })
	s.young = append(s.young, e)
	return true
}

func (s *Spreader) makeRoom() {
	if len(s.entries) < maxNotices {
		return
	}
	var oldest key
	first := true
	for k, e := range s.entries {
		if first || e.order < s.entries[oldest].order {
			oldest = k
			first = false
		}
	}
	gone := s.entries[oldest]
	delete(s.entries, oldest)
	s.young = slices.DeleteFunc(s.young, func(e *entry) bool { return e == gone })
}

// Receive takes a batch from another host and returns the notices that are new here. They are spread further.
func (s *Spreader) Receive(batch Batch, hosts int) []Notice {
	var fresh []Notice
	for _, notice := range batch.Notices {
		if s.Publish(notice, hosts) {
			fresh = append(fresh, notice)
		}
	}
	return fresh
}

// Tick returns the frames that are due. choose returns up to n random hosts.
func (s *Spreader) Tick(now time.Duration, choose func(n int) []Peer) []Message {
	if len(s.young) == 0 || now < s.next {
		return nil
	}
	s.next = now + round
	var messages []Message
	for _, peer := range choose(fanout) {
		if batch := s.batch(); len(batch.Notices) > 0 {
			messages = append(messages, Message{To: peer, Batch: batch})
		}
	}
	return messages
}

// batch takes the newest notices: an old one has reached most hosts already.
func (s *Spreader) batch() Batch {
	var batch Batch
	size := 0
	for i := len(s.young) - 1; i >= 0 && len(batch.Notices) < maxBatch; i-- {
		e := s.young[i]
		size += len(e.notice.Payload) + len(e.notice.Key)
		if size > maxBatchBytes {
			break
		}
		batch.Notices = append(batch.Notices, e.notice)
		e.sends--
	}
	s.young = slices.DeleteFunc(s.young, func(e *entry) bool { return e.sends <= 0 })
	return batch
}

// Known returns the newest notice with a topic and key.
func (s *Spreader) Known(topic Topic, id string) (Notice, bool) {
	e, ok := s.entries[key{topic, id}]
	if !ok {
		return Notice{}, false
	}
	return e.notice, true
}

// Len returns the number of notices kept.
func (s *Spreader) Len() int { return len(s.entries) }
