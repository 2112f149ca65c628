package peer

import (
	"sync"
	"sync/atomic"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Stats are the transport's counters since its start.
type Stats struct {
	FramesSent     uint64 `json:"frames_sent"`
	BytesSent      uint64 `json:"bytes_sent"`
	FramesReceived uint64 `json:"frames_received"`
	BytesReceived  uint64 `json:"bytes_received"`
	// Dropped counts frames dropped because a queue was full or too many handlers were running.
	Dropped uint64 `json:"dropped"`
	// Unreachable counts frames dropped because their peer was unreachable.
	Unreachable uint64 `json:"unreachable"`
	// RefusedAuthentication, RefusedIncarnation and RefusedLength count rejected incoming frames by reason.
	RefusedAuthentication uint64 `json:"refused_authentication"`
	RefusedIncarnation    uint64 `json:"refused_incarnation"`
	RefusedLength         uint64 `json:"refused_length"`
	// LateReplies counts replies whose call was no longer waiting.
	LateReplies uint64 `json:"late_replies"`
	Connects    uint64 `json:"connects"`
	// SilentConnections counts connections replaced because the peer sent nothing on them.
	SilentConnections uint64 `json:"silent"`
}

type counters struct {
	framesSent, bytesSent, framesReceived, bytesReceived     atomic.Uint64
	dropped, unreachable                                     atomic.Uint64
	refusedAuthentication, refusedIncarnation, refusedLength atomic.Uint64
	lateReplies, connects, silentConnections                 atomic.Uint64
}

func (c *counters) sent(bytes int) {
	c.framesSent.Add(1)
	c.bytesSent.Add(uint64(bytes))
}

func (c *counters) received(bytes int) {
	c.framesReceived.Add(1)
	c.bytesReceived.Add(uint64(bytes))
}

// Stats returns the current counters.
func (t *FrameTransport) Stats() Stats {
	c := &t.stats
	return Stats{
		FramesSent:            c.framesSent.Load(),
		BytesSent:             c.bytesSent.Load(),
		FramesReceived:        c.framesReceived.Load(),
		BytesReceived:         c.bytesReceived.Load(),
		Dropped:               c.dropped.Load(),
		Unreachable:           c.unreachable.Load(),
		RefusedAuthentication: c.refusedAuthentication.Load(),
		RefusedIncarnation:    c.refusedIncarnation.Load(),
		RefusedLength:         c.refusedLength.Load(),
		LateReplies:           c.lateReplies.Load(),
		Connects:              c.connects.Load(),
		SilentConnections:     c.silentConnections.Load(),
	}
}

// maxIncarnations bounds the table of known incarnations. It is more than three times the expected 4,600 hosts.
const maxIncarnations = 16384

// incarnations tracks the newest incarnation of each host that has sent an authenticated frame.
type incarnations struct {
	mu    sync.Mutex
	known map[model.HostID]model.Incarnation
}

func newIncarnations() *incarnations {
	return &incarnations{known: map[model.HostID]model.Incarnation{}}
}

// admit returns the newest known incarnation of the sender and whether the frame is at least that new.
func (i *incarnations) admit(from Sender) (model.Incarnation, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	known, ok := i.known[from.Host]
	if from.Incarnation < known {
		return known, false
	}
	if !ok && len(i.known) >= maxIncarnations {
		i.evict()
	}
	i.known[from.Host] = from.Incarnation
	return from.Incarnation, true
}

// evict removes the host with the lowest incarnation, which is the one that started first.
func (i *incarnations) evict() {
	var oldest model.HostID
	found := false
	for id, incarnation := range i.known {
		if !found || incarnation < i.known[oldest] {
			oldest, found = id, true
		}
	}
	delete(i.known, oldest)
}
