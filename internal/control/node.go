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

// topologyInterval is the minimum time between two recomputations of the topology.
const topologyInterval = 250 * time.Millisecond

// node is the control plane of one host as a deterministic state machine. Each event may add frames and calls to its
// output, which the driver takes and performs. It has no clock and does no I/O. Times are monotonic and relative to
// the start of the process.
type node struct {
	rng     *rand.Rand
	members *membership.Membership
	rumors  *rumor.Gossiper
	state   *configstate.State
	out     output
	token   uint64

	topology            topology
	remoteRelays        []membership.Member // relays of other data centres
	remoteRelaysVersion uint64
	topologyVersion     uint64
	topologyGeneration  model.Generation
	nextTopology        time.Duration

	pulls         pullState
	relay         relayState
	fleet         fleetWriter
	answeredPeers map[model.HostID]bool // hosts that answered a pull, recorded up to minAnsweredPeers
	applyFailures uint64                // updates that could not be applied
}

// minAnsweredPeers is the number of other hosts that a restarted host must ask for the highest generation before it
// relies on the reports of a store outage.
const minAnsweredPeers = 3

func newNode(self membership.Member, cfg membership.Config, rng *rand.Rand) *node {
	return &node{
		rng:           rng,
		members:       membership.New(cfg, self, rng),
		rumors:        rumor.New(rng),
		state:         configstate.NewState(),
		answeredPeers: map[model.HostID]bool{},
		pulls:         pullState{pending: map[uint64]pendingPull{}},
	}
}

// takeOutput returns the output accumulated since the last call and clears it.
func (n *node) takeOutput() output {
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
	localTimeout  = 200 * time.Millisecond // within a data centre
	remoteTimeout = 500 * time.Millisecond // between data centres or regions
	probeTimeout  = 600 * time.Millisecond
)

// tick runs all periodic work that is due.
func (n *node) tick(now time.Duration) {
	n.sendMembership(n.members.Tick(now))
	n.updateTopology(now)
	n.tickRelay(now)
	n.tickPulls(now)
	for _, message := range n.rumors.Tick(now, n.randomPeers) {
		to := membership.Member{ID: message.To.ID, Address: message.To.Address}
		n.call(to, KindRumor, &message.Batch, remoteTimeout)
	}
	n.tickFleet(now)
}

func (n *node) randomPeers(count int) []rumor.Peer {
	var peers []rumor.Peer
	for _, member := range n.members.RandomAlive(count) {
		peers = append(peers, rumor.Peer{ID: member.ID, Address: member.Address})
	}
	return peers
}

func (n *node) sendMembership(messages []membership.Message) {
	for _, m := range messages {
		to := membership.Member{ID: m.To, Address: m.Address}
		switch {
		case m.Probe != nil:
			n.call(to, KindProbe, m.Probe, probeTimeout)
		case m.IndirectProbe != nil:
			n.call(to, KindIndirectProbe, m.IndirectProbe, remoteTimeout)
		case m.IndirectProbeAck != nil:
			n.call(to, KindIndirectProbeAck, m.IndirectProbeAck, remoteTimeout)
		}
	}
}

// updateTopology recomputes the topology if a member of the local data centre or the catalogue has changed, and the
// remote relays if any member has changed.
func (n *node) updateTopology(now time.Duration) {
	if now < n.nextTopology {
		return
	}
	self := n.members.Self()
	local, generation := n.members.LocalVersion(), n.state.Catalogue.Generation()
	if local != n.topologyVersion || generation != n.topologyGeneration {
		n.nextTopology = now + topologyInterval
		n.topologyVersion, n.topologyGeneration = local, generation
		n.topology = newTopology(self, n.members.Local(), n.isOut)
	}
	if version := n.members.Version(); n.topology.slot >= 0 && version != n.remoteRelaysVersion {
		n.nextTopology = now + topologyInterval
		n.remoteRelaysVersion = version
		n.remoteRelays = relaysOutside(n.members.Members(), self.DataCentre)
	}
}

func (n *node) isOut(id model.HostID) bool {
	catalogue := n.state.Catalogue.Document()
	return catalogue != nil && slices.ContainsFunc(catalogue.HostsOut, func(out model.HostOut) bool { return out.ID == id })
}

// handle processes a frame from another host and returns the reply. The body is nil if the kind is unknown.
func (n *node) handle(now time.Duration, body any) (any, error) {
	switch b := body.(type) {
	case *membership.Probe:
		ack := n.members.HandleProbe(now, *b)
		return &ack, nil
	case *membership.IndirectProbe:
		n.sendMembership(n.members.HandleIndirectProbe(now, *b))
	case *membership.IndirectProbeAck:
		n.members.HandleIndirectProbeAck(now, *b)
	case *configstate.Pull:
		reply, err := n.state.AnswerPull(now, *b)
		return &reply, err
	case *rumor.Batch:
		for _, notice := range n.rumors.Receive(*b, n.members.Len()) {
			n.handleNotice(now, notice)
		}
	case *segmentRequest:
		content, _ := n.state.Segment(b.ID)
		return &segmentReply{Content: content}, nil
	}
	return &emptyReply{}, nil
}

// reply handles the reply to a call, or the error of a failed call.
func (n *node) reply(now time.Duration, token uint64, from model.HostID, body any, err error) {
	switch b := body.(type) {
	case *membership.Ack:
		if err == nil {
			n.sendMembership(n.members.HandleAck(now, *b))
		}
	case *configstate.PullReply:
		n.pullReply(now, token, from, *b, err)
	case *segmentReply:
		n.segmentReply(now, token, *b, err)
	}
}

// handleOlderIncarnation handles a rejection by a peer that knows a newer incarnation of this host. Before joining,
// the cause is a clock that stepped back, and the host adopts a higher incarnation. After joining, another process
// has replaced this one, which must stop sending. It returns the new incarnation and whether one was adopted.
func (n *node) handleOlderIncarnation(known model.Incarnation) (model.Incarnation, bool) {
	if n.members.Joined() {
		n.members.MarkSuperseded()
		return 0, false
	}
	n.members.RaiseIncarnation(known)
	return n.members.Self().Incarnation, true
}

// publish broadcasts a notice that originates from this host.
func (n *node) publish(now time.Duration, notice rumor.Notice) {
	if n.rumors.Publish(notice, n.members.Len()) {
		n.handleNotice(now, notice)
	}
}

// generationKey is the key of notices about new catalogue generations.
const generationKey = "head"

func (n *node) announce(now time.Duration) {
	n.publish(now, rumor.Notice{
		Topic:  rumor.TopicGeneration,
		Key:    generationKey,
		Epoch:  uint64(n.state.Catalogue.Generation()),
		Origin: n.members.Self().ID,
	})
}

// leave announces a planned shutdown of this host.
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

// handleNotice processes a previously unknown notice and queues it for the subscribers.
func (n *node) handleNotice(now time.Duration, notice rumor.Notice) {
	switch notice.Topic {
	case rumor.TopicGeneration:
		if n.state.ObserveGeneration(model.Generation(notice.Epoch)) {
			n.advancePull(now, notice.Origin)
		}
	case rumor.TopicLeave:
		var member membership.Member
		if msgpack.Unmarshal(notice.Payload, &member) == nil && member.ID != n.members.Self().ID {
			n.members.Merge(now, member)
		}
	}
	n.out.notices = append(n.out.notices, notice)
}

// servesUntil returns the time until which this host may accept new work without further messages. A time in the past
// means that the host may have missed accepted changes and must refuse new work.
func (n *node) servesUntil(now time.Duration) time.Duration {
	if n.members.Superseded() {
		return 0
	}
	return n.state.ServesUntil(now, len(n.answeredPeers) >= min(minAnsweredPeers, n.members.Len()-1))
}
