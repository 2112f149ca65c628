package control

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// Kinds of the frames that carry configuration, membership and notices.
const (
	KindProbe            peer.Kind = "probe"
	KindIndirectProbe    peer.Kind = "probe_indirect"
	KindIndirectProbeAck peer.Kind = "probe_ack"
	KindPull             peer.Kind = "pull"
	KindRumor            peer.Kind = "rumor"
	KindSegment          peer.Kind = "segment_request"
)

// emptyReply acknowledges a frame that needs no data in return, so that the sender can tell that the connection
// works.
type emptyReply struct{}

// segmentRequest asks for a segment.
type segmentRequest struct{ ID configstate.SegmentID }

// segmentReply carries the content of a segment; Content is empty if the host does not have it.
type segmentReply struct{ Content []byte }

// newBody returns an empty request body of the given kind to decode into, or nil if the kind is unknown.
func newBody(kind peer.Kind) any {
	switch kind {
	case KindProbe:
		return &membership.Probe{}
	case KindIndirectProbe:
		return &membership.IndirectProbe{}
	case KindIndirectProbeAck:
		return &membership.IndirectProbeAck{}
	case KindPull:
		return &configstate.Pull{}
	case KindRumor:
		return &rumor.Batch{}
	case KindSegment:
		return &segmentRequest{}
	}
	return nil
}

// newReply returns an empty reply to the given kind to decode into.
func newReply(kind peer.Kind) any {
	switch kind {
	case KindProbe:
		return &membership.Ack{}
	case KindPull:
		return &configstate.PullReply{}
	case KindSegment:
		return &segmentReply{}
	}
	return &emptyReply{}
}

// call is a request to another host. Its reply is passed to node.reply.
type call struct {
	token   uint64
	to      model.HostID
	address string
	kind    peer.Kind
	body    any
	timeout time.Duration
}

// storeRead is the result of reading the keys head and fleet. A missing key has no value and revision 0.
type storeRead struct {
	sent  time.Duration // when the reads began
	head  store.Entry
	fleet store.Entry
	err   error
}

// fleetWrite is a new value of the key fleet, with the segments that must be written before it.
type fleetWrite struct {
	expected store.Revision
	value    []byte
	segments map[configstate.SegmentID][]byte
}

// output holds the actions that a node requests from its driver.
type output struct {
	calls []call
	// readStore requests a read of the keys head and fleet; watch requests a watch of head after watchAfter.
	readStore  bool
	watch      bool
	watchAfter store.Revision
	// segments lists the segments to read from the store.
	segments []configstate.SegmentID
	fleet    *fleetWrite
	// notices were not known before and go to the subscribers.
	notices []rumor.Notice
}
