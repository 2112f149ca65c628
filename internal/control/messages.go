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
	KindProbe       peer.Kind = "probe"
	KindIndirect    peer.Kind = "probe_indirect"
	KindIndirectAck peer.Kind = "probe_ack"
	KindPull        peer.Kind = "pull"
	KindRumor       peer.Kind = "rumor"
	KindSegment     peer.Kind = "segment_request"
)

// received is the reply to a frame that needs none. It is a sign that the connection works.
type received struct{}

// segmentRequest asks for a segment, segmentReply has its content or nothing.
type segmentRequest struct{ ID configstate.SegmentID }

type segmentReply struct{ Content []byte }

// newBody returns an empty body of a kind, to decode into.
func newBody(kind peer.Kind) any {
	switch kind {
	case KindProbe:
		return &membership.Probe{}
	case KindIndirect:
		return &membership.Indirect{}
	case KindIndirectAck:
		return &membership.IndirectAck{}
	case KindPull:
		return &configstate.Pull{}
	case KindRumor:
		return &rumor.Batch{}
	case KindSegment:
		return &segmentRequest{}
	}
	return nil
}

// newReply returns an empty reply to a kind, to decode into.
func newReply(kind peer.Kind) any {
	switch kind {
	case KindProbe:
		return &membership.Ack{}
	case KindPull:
		return &configstate.PullReply{}
	case KindSegment:
		return &segmentReply{}
	}
	return &received{}
}

// call is a frame to another host whose reply is given to node.reply.
type call struct {
	token   uint64
	to      model.HostID
	address string
	kind    peer.Kind
	body    any
	timeout time.Duration
}

// storeRead is the outcome of reading the keys head and fleet. A key that does not exist has no value and revision 0.
type storeRead struct {
	sent  time.Duration // when the calls began
	head  store.Entry
	fleet store.Entry
	err   error
}

// fleetWrite is a new value of the key fleet with the segments that have to be there before.
type fleetWrite struct {
	expected store.Revision
	value    []byte
	segments map[configstate.SegmentID][]byte
}

// output is what a node asks its driver to do.
type output struct {
	calls []call
	// readStore asks for a read of the keys head and fleet, watch for a watch of head after watchAfter.
	readStore  bool
	watch      bool
	watchAfter store.Revision
	// segments are to be read from the store.
	segments []configstate.SegmentID
	fleet    *fleetWrite
	// notices are new here and go to the subscribers.
	notices []rumor.Notice
}
