package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
)

// topologyInterval is the shortest time between two computations of a host's place in the trees.
const topologyInterval = 250 * time.Millisecond

// node is the control plane of one host as a state machine: each event may leave frames and calls in its output, which
// the driver takes and carries out. It has no clock and does no I/O. Times are monotonic, since the start of the process.
type node struct {
	rng     *rand.Rand
	members *membership.Membership
	rumors  *rumor.Spreader
	state   *configstate.State
	out     output
	token   uint64

	topology        topology
	foreign         []membership.Member // relays of other data centres
	foreignVersion  uint64
	topologyVersion uint64
	topologyCurrent model.Generation
	nextTopology    time.Duration

	pulls  pulls
	relay  relay
	fleet  fleetWriter
	asked  map[model.HostID]bool // hosts that answered a pull, until there are enough of them
	failed uint64                // updates that could not be applied
}

// enoughAsked is the number of other hosts that a restarted host asks for the highest generation before it relies on the
// proof of a store outage.
const enoughAsked = 3

func newNode(self membership.Member, cfg membership.Config, rng *rand.Rand) *node {
	return &node{
		rng:     rng,
		members: membership.New(cfg, self, rng),
		rumors:  rumor.New(rng),
		state:   configstate.NewState(),
		asked:   map[model.HostID]bool{},
		pulls:   pulls{pending: map[uint64]pendingPull{}},
	}
}

// drain returns the output since the last call.
func (n *node) drain() output {
	out := n.out
	n.out = output{}
	return out
}

func (n *node) call(to membership.Member, kind peer.Kind, body any, timeout time.Duration) uint64 {
	n.token++
	n.out.calls = append(n.out.calls, call{
		token: n.token, to: to.ID, address: to.Address, kind: kind, body: body, timeout: timeout,
	})
	return n.token
}

// Timeouts of calls to other hosts.
const (
	nearTimeout  = 200 * time.Millisecond // within a data centre
	farTimeout   = 500 * time.Millisecond // between regions
	probeTimeout = 600 * time.Millisecond
)

// tick does what is due.
func (n *node) tick(now time.Duration) {
	n.send(n.members.Tick(now))
	n.updateTopology(now)
	n.tickRelay(now)
	n.tickPulls(now)
	for _, message := range n.rumors.Tick(now, n.randomPeers) {
		to := membership.Member{ID: message.To.ID, Address: message.To.Address}
		n.call(to, KindRumor, &message.Batch, farTimeout)
	}
	n.tickFleet(now)
}

func (n *node) randomPeers(count int) []rumor.Peer {
	var peers []rumor.Peer
	for _, member := range n.members.Random(count) {
		peers = append(peers, rumor.Peer{ID: member.ID, Address: member.Address})
	}
	return peers
}

func (n *node) send(messages []membership.Message) {
	for _, m := range messages {
		to := membership.Member{ID: m.To, Address: m.Address}
		switch {
		case m.Probe != nil:
			n.call(to, KindProbe, m.Probe, probeTimeout)
		case m.Indirect != nil:
			n.call(to, KindIndirect, m.Indirect, farTimeout)
		case m.IndirectAck != nil:
			n.call(to, KindIndirectAck, m.IndirectAck, farTimeout)
		}
	}
}

// updateTopology computes the place in the trees again if a member of the data centre or the catalogue has changed.
func (n *node) updateTopology(now time.Duration) {
	if now < n.nextTopology {
		return
	}
	self := n.members.Self()
	local, generation := n.members.LocalVersion(), n.state.Catalogue.Generation()
	if local != n.topologyVersion || generation != n.topologyCurrent {
		n.nextTopology = now + topologyInterval
		n.topologyVersion, n.topologyCurrent = local, generation
		n.topology = newTopology(self, n.members.Local(), n.isOut)
	}
	if version := n.members.Version(); n.topology.slot >= 0 && version != n.foreignVersion {
		n.nextTopology = now + topologyInterval
		n.foreignVersion = version
		n.foreign = relaysOf(n.members.Members(), self.DataCentre)
	}
}

func (n *node) isOut(id model.HostID) bool {
	catalogue := n.state.Catalogue.Document()
	return catalogue != nil && slices.ContainsFunc(catalogue.HostsOut, func(out model.HostOut) bool { return out.ID == id })
}

// handle answers a frame of another host. A nil body is of an unknown kind.
func (n *node) handle(now time.Duration, body any) (any, error) {
	switch b := body.(type) {
	case *membership.Probe:
		ack := n.members.HandleProbe(now, *b)
		return &ack, nil
	case *membership.Indirect:
		n.send(n.members.HandleIndirect(now, *b))
	case *membership.IndirectAck:
		n.members.HandleIndirectAck(now, *b)
	case *configstate.Pull:
		reply, err := n.state.Answer(now, *b)
		return &reply, err
	case *rumor.Batch:
		for _, notice := range n.rumors.Receive(*b, n.members.Len()) {
			n.deliver(now, notice)
		}
	case *segmentRequest:
		content, _ := n.state.Segment(b.ID)
		return &segmentReply{Content: content}, nil
	}
	return &received{}, nil
}

// reply takes the reply to a call, or the error of one that failed.
func (n *node) reply(now time.Duration, token uint64, from model.HostID, body any, err error) {
	switch b := body.(type) {
	case *membership.Ack:
		if err == nil {
			n.send(n.members.HandleAck(now, *b))
		}
	case *configstate.PullReply:
		n.pullReply(now, token, from, *b, err)
	case *segmentReply:
		n.segmentReply(now, token, *b, err)
	}
}

// olderIncarnation takes the refusal of a peer that knows a newer incarnation of this host. Before it has joined, the
// host takes a higher one: its clock has stepped back. Later it has been replaced and must not speak any more.
func (n *node) olderIncarnation(known model.Incarnation) (model.Incarnation, bool) {
	if n.members.Joined() {
		n.members.Supersede()
		return 0, false
	}
	n.members.Restart(known)
	return n.members.Self().Incarnation, true
}

// publish spreads a notice of this host.
func (n *node) publish(now time.Duration, notice rumor.Notice) {
	if n.rumors.Publish(notice, n.members.Len()) {
		n.deliver(now, notice)
	}
}

// generationKey is the key of the notices about new generations of the catalogue.
const generationKey = "head"

func (n *node) announce(now time.Duration) {
	n.publish(now, rumor.Notice{
		Topic:  rumor.TopicGeneration,
		Key:    generationKey,
		Epoch:  uint64(n.state.Catalogue.Generation()),
		Origin: n.members.Self().ID,
	})
}

// leave announces that this host stops by plan.
func (n *node) leave(now time.Duration) error {
	self := n.members.Leave()
	payload, err := msgpack.Marshal(&self)
	if err != nil {
		return err
	}
	n.publish(now, rumor.Notice{
		Topic: rumor.TopicLeave, Key: string(self.ID), Epoch: uint64(self.Incarnation), Origin: self.ID, Payload: payload,
	})
	return nil
}

// deliver acts on a notice that is new here and hands it to the subscribers.
func (n *node) deliver(now time.Duration, notice rumor.Notice) {
	switch notice.Topic {
	case rumor.TopicGeneration:
		if n.state.Hear(model.Generation(notice.Epoch)) {
			n.pullEarly(now, notice.Origin)
		}
	case rumor.TopicLeave:
		var member membership.Member
		if msgpack.Unmarshal(notice.Payload, &member) == nil && member.ID != n.members.Self().ID {
			n.members.Merge(now, member)
		}
	}
	n.out.notices = append(n.out.notices, notice)
}

// servesUntil returns the time until which this host may take new work if nothing more arrives; a time in the past means
// that it may be cut off.
func (n *node) servesUntil(now time.Duration) time.Duration {
	if n.members.Superseded() {
		return 0
	}
	return n.state.ServesUntil(now, len(n.asked) >= min(enoughAsked, n.members.Len()-1))
}
