package control

import (
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// pullInterval is the time between two pulls of a host.
	pullInterval = 500 * time.Millisecond
	// hurriedInterval applies while a newer generation is known or the confirmation is old, so that one more lost pull
	// does not fence the host.
	hurriedInterval = 250 * time.Millisecond
	hurriedAge      = 1700 * time.Millisecond
	// outageInterval applies while some relay fails to reach the store, so that reports are passed on while they count.
	outageInterval = 250 * time.Millisecond
	// onsetInterval applies in an outage until the host relies on the reports: they have to reach every host before its
	// confirmation is 3 s old, and up to 2 s of that pass before a relay is sure.
	onsetInterval = 150 * time.Millisecond
	onsetFrom     = 1500 * time.Millisecond
	onsetUntil    = 4 * time.Second
	// outageRelays is the number of other relays that a relay without the store asks at once.
	outageRelays = 3
	// maxSegmentCalls bounds the segments asked for at once.
	maxSegmentCalls = 4
	segmentTimeout  = 2 * time.Second
)

// pulls is the state of a host's pulls.
type pulls struct {
	next     time.Duration
	tree     int // the tree to pull from next
	failures int // in a row
	origin   model.HostID
	pending  map[uint64]pendingPull
	segments []segmentCall
}

type pendingPull struct {
	sent     time.Duration
	deadline time.Duration
}

type segmentCall struct {
	token    uint64
	id       configstate.SegmentID
	deadline time.Duration
}

// tickPulls sends the pulls that are due.
func (n *node) tickPulls(now time.Duration) {
	p := &n.pulls
	for token, pending := range p.pending {
		if now >= pending.deadline {
			n.pullFailed(now, token)
		}
	}
	p.segments = slices.DeleteFunc(p.segments, func(s segmentCall) bool { return now >= s.deadline })
	if now < p.next {
		return
	}
	interval := n.pullIntervalAt(now)
	p.next = now + interval - interval/10 + time.Duration(n.rng.Int64N(int64(interval/5)))
	if n.relayServes(now) {
		return
	}
	for _, source := range n.pullSources() {
		n.pull(now, source)
	}
}

func (n *node) pullIntervalAt(now time.Duration) time.Duration {
	age, ok := n.state.Age(now)
	if n.state.Reports.Trouble(now) {
		if age >= onsetFrom && age < onsetUntil {
			return onsetInterval
		}
		return outageInterval
	}
	if !ok || age > hurriedAge || n.state.Behind() {
		return hurriedInterval
	}
	return pullInterval
}

// pullSources returns the hosts to pull from now.
func (n *node) pullSources() []membership.Member {
	var sources []membership.Member
	if n.topology.slot >= 0 {
		sources = n.relaySources()
	} else if source, ok := n.treeSource(); ok {
		sources = append(sources, source)
	}
	if n.state.Catalogue.Generation() == 0 || len(n.asked) < enoughAsked {
		sources = append(sources, n.members.Random(enoughAsked)...)
	}
	return sources
}

// relaySources returns other relays, and the host that announced a generation which this host lacks.
func (n *node) relaySources() []membership.Member {
	others := slices.Clone(n.foreign)
	for _, relay := range n.topology.relays {
		if relay.ID != n.members.Self().ID {
			others = append(others, relay)
		}
	}
	n.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	sources := others[:min(outageRelays, len(others))]
	if n.state.Behind() {
		if origin, _, ok := n.members.Lookup(n.pulls.origin); ok && origin.ID != n.members.Self().ID {
			sources = append(sources, origin)
		}
	}
	return sources
}

// treeSource returns the parent in one of the trees. After failures it is a relay, then any host.
func (n *node) treeSource() (membership.Member, bool) {
	p := &n.pulls
	p.tree++
	var choices []membership.Member
	switch {
	case p.failures < 2:
		choices = n.topology.parents
	case p.failures < 4:
		choices = n.topology.relays
	default:
		choices = n.members.Random(1)
	}
	if len(choices) == 0 {
		return membership.Member{}, false
	}
	return choices[p.tree%len(choices)], true
}

func (n *node) pull(now time.Duration, source membership.Member) {
	timeout := farTimeout
	if source.DataCentre == n.members.Self().DataCentre {
		timeout = nearTimeout
	}
	body := &configstate.Pull{Generation: n.state.Catalogue.Generation(), Fleet: n.state.Fleet.Generation()}
	token := n.call(source, KindPull, body, timeout)
	n.pulls.pending[token] = pendingPull{sent: now, deadline: now + timeout}
}

// pullEarly brings the next pull forward because a host has announced a newer generation.
func (n *node) pullEarly(now time.Duration, origin model.HostID) {
	n.pulls.origin = origin
	// The jitter keeps hosts that hear of it at once from asking the same parent at once.
	n.pulls.next = min(n.pulls.next, now+time.Duration(n.rng.Int64N(int64(50*time.Millisecond))))
}

func (n *node) pullFailed(now time.Duration, token uint64) {
	delete(n.pulls.pending, token)
	n.pulls.failures++
	if n.pulls.failures <= 2 {
		n.pulls.next = min(n.pulls.next, now) // the other tree may work
	}
}

func (n *node) pullReply(now time.Duration, token uint64, from model.HostID, reply configstate.PullReply, err error) {
	pending, ok := n.pulls.pending[token]
	if !ok {
		return
	}
	if err != nil {
		n.pullFailed(now, token)
		return
	}
	delete(n.pulls.pending, token)
	n.pulls.failures = 0
	if len(n.asked) < enoughAsked {
		n.asked[from] = true
	}
	if err := n.state.Take(pending.sent, reply); err != nil {
		n.failed++
	}
	if member, _, ok := n.members.Lookup(from); ok {
		n.requestSegments(now, member)
	}
}

// requestSegments asks a host for segments of a generation that this host can't apply yet.
func (n *node) requestSegments(now time.Duration, from membership.Member) {
	for _, id := range n.state.Missing() {
		if len(n.pulls.segments) >= maxSegmentCalls {
			return
		}
		if slices.ContainsFunc(n.pulls.segments, func(s segmentCall) bool { return s.id == id }) {
			continue
		}
		token := n.call(from, KindSegment, &segmentRequest{ID: id}, segmentTimeout)
		n.pulls.segments = append(n.pulls.segments, segmentCall{token: token, id: id, deadline: now + segmentTimeout})
	}
}

func (n *node) segmentReply(now time.Duration, token uint64, reply segmentReply, err error) {
	n.pulls.segments = slices.DeleteFunc(n.pulls.segments, func(s segmentCall) bool { return s.token == token })
	if err != nil || len(reply.Content) == 0 {
		return
	}
	if err := n.state.AddSegment(reply.Content); err != nil {
		n.failed++
	}
	n.pulls.next = min(n.pulls.next, now) // the next reply asks for the rest, or confirms
}
