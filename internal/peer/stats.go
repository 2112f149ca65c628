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
	// Dropped counts frames that a full queue or too many running handlers left out.
	Dropped uint64 `json:"dropped"`
	// Unreachable counts frames dropped because their peer could not be connected to.
	Unreachable uint64 `json:"unreachable"`
	// RefusedAuthentication, RefusedIncarnation and RefusedLength count received frames that were refused.
	RefusedAuthentication uint64 `json:"refused_authentication"`
	RefusedIncarnation    uint64 `json:"refused_incarnation"`
	RefusedLength         uint64 `json:"refused_length"`
	// LateReplies counts replies that no call waited for.
	LateReplies uint64 `json:"late_replies"`
	Connects    uint64 `json:"connects"`
	// Silent counts connections that were replaced because the peer sent nothing on them.
	Silent uint64 `json:"silent"`
}

type counters struct {
	framesSent, bytesSent, framesReceived, bytesReceived     atomic.Uint64
	dropped, unreachable                                     atomic.Uint64
	refusedAuthentication, refusedIncarnation, refusedLength atomic.Uint64
	lateReplies, connects, silent                            atomic.Uint64
}

func (c *counters) sent(bytes int) {
	c.framesSent.Add(1)
	c.bytesSent.Add(uint64(bytes))
}

func (c *counters) received(bytes int) {
	c.framesReceived.Add(1)
	c.bytesReceived.Add(uint64(bytes))
}

// Stats returns the counters.
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
		Silent:                c.silent.Load(),
	}
}

// maxIncarnations bounds the table of known incarnations at over three times the expected 4,600 hosts.
const maxIncarnations = 16384

// incarnations holds the newest incarnation of each host that sent an authentic frame.
type incarnations struct {
	mu    sync.Mutex
	known map[model.HostID]model.Incarnation
}

func newIncarnations() *incarnations {
	return &incarnations{known: map[model.HostID]model.Incarnation{}}
}

// admit returns the newest incarnation known of the sender, and whether the frame is not older than it.
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

// evict forgets the host that started first.
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
