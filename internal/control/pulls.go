package control

import (
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/configstate"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// pullInterval is the regular time between two pulls.
	pullInterval = 500 * time.Millisecond
	// catchUpInterval applies while a newer generation is known or the confirmation is older than catchUpAge, so that
	// losing one more pull does not fence the host.
	catchUpInterval = 250 * time.Millisecond
	catchUpAge      = 1700 * time.Millisecond
	// outageInterval applies while some relay fails to reach the store, so that reports propagate before they expire.
	outageInterval = 250 * time.Millisecond
	// outageOnsetInterval applies at the start of an outage, until the host relies on the reports. They must reach
	// every host before its confirmation is 3 s old, and it takes up to 2 s of that before a relay reports the store
	// unreachable.
	outageOnsetInterval = 150 * time.Millisecond
	outageOnsetStart    = 1500 * time.Millisecond
	outageOnsetEnd      = 4 * time.Second
	// maxRelaySources is the number of other relays that a relay without store access pulls from at once.
	maxRelaySources = 3
	// maxSegmentCalls bounds the concurrent segment requests.
	maxSegmentCalls = 4
	segmentTimeout  = 2 * time.Second
)

// pullState tracks the pulls and segment requests of a host.
type pullState struct {
	nextPull            time.Duration
	sourceCounter       int // incremented with each choice of a source, to alternate between the trees
	consecutiveFailures int
	newestOrigin        model.HostID // the host that last announced a generation that this host lacked
	pending             map[uint64]pendingPull
	segmentCalls        []segmentCall
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

// tickPulls expires pending calls and sends the pulls that are due.
func (n *node) tickPulls(now time.Duration) {
	p := &n.pulls
	for token, pending := range p.pending {
		if now >= pending.deadline {
			n.pullFailed(now, token)
		}
	}
	p.segmentCalls = slices.DeleteFunc(p.segmentCalls, func(s segmentCall) bool { return now >= s.deadline })
	if now < p.nextPull {
		return
	}
	interval := n.currentPullInterval(now)
	p.nextPull = now + interval - interval/10 + time.Duration(n.rng.Int64N(int64(interval/5)))
	if n.relayIsCurrent(now) {
		return
	}
	for _, source := range n.pullSources() {
		n.pull(now, source)
	}
}

func (n *node) currentPullInterval(now time.Duration) time.Duration {
	age, ok := n.state.ConfirmationAge(now)
	if n.state.Reports.HasFailures(now) {
		if age >= outageOnsetStart && age < outageOnsetEnd {
			return outageOnsetInterval
		}
		return outageInterval
	}
	if !ok || age > catchUpAge || n.state.IsBehind() {
		return catchUpInterval
	}
	return pullInterval
}

// pullSources returns the hosts to pull from in this round.
func (n *node) pullSources() []membership.Member {
	var sources []membership.Member
	if n.topology.slot >= 0 {
		sources = n.relaySources()
	} else if source, ok := n.treeSource(); ok {
		sources = append(sources, source)
	}
	if n.state.Catalogue.Generation() == 0 || len(n.answeredPeers) < minAnsweredPeers {
		sources = append(sources, n.members.RandomAlive(minAnsweredPeers)...)
	}
	return sources
}

// relaySources returns random other relays and, if this host lacks a generation, the host that announced it.
func (n *node) relaySources() []membership.Member {
	others := slices.Clone(n.remoteRelays)
	for _, relay := range n.topology.relays {
		if relay.ID != n.members.Self().ID {
			others = append(others, relay)
		}
	}
	n.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	sources := others[:min(maxRelaySources, len(others))]
	if n.state.IsBehind() {
		if origin, _, ok := n.members.Lookup(n.pulls.newestOrigin); ok && origin.ID != n.members.Self().ID {
			sources = append(sources, origin)
		}
	}
	return sources
}

// treeSource returns the parent in one of the pull trees, alternating between them. After repeated failures it
// returns a relay instead, and then a random host.
func (n *node) treeSource() (membership.Member, bool) {
	p := &n.pulls
	p.sourceCounter++
	var choices []membership.Member
	switch {
	case p.consecutiveFailures < 2:
		choices = n.topology.parents
	case p.consecutiveFailures < 4:
		choices = n.topology.relays
	default:
		choices = n.members.RandomAlive(1)
	}
	if len(choices) == 0 {
		return membership.Member{}, false
	}
	return choices[p.sourceCounter%len(choices)], true
}

func (n *node) pull(now time.Duration, source membership.Member) {
	timeout := remoteTimeout
	if source.DataCentre == n.members.Self().DataCentre {
		timeout = localTimeout
	}
	body := &configstate.Pull{Generation: n.state.Catalogue.Generation(), Fleet: n.state.Fleet.Generation()}
	token := n.call(source, KindPull, body, timeout)
	n.pulls.pending[token] = pendingPull{sent: now, deadline: now + timeout}
}

// advancePull reschedules the next pull to within 50 ms because a host has announced a newer generation.
func (n *node) advancePull(now time.Duration, origin model.HostID) {
	n.pulls.newestOrigin = origin
	// Jitter prevents hosts that receive a notice at the same time from all pulling from the same parent at once.
	n.pulls.nextPull = min(n.pulls.nextPull, now+time.Duration(n.rng.Int64N(int64(50*time.Millisecond))))
}

func (n *node) pullFailed(now time.Duration, token uint64) {
	delete(n.pulls.pending, token)
	n.pulls.consecutiveFailures++
	if n.pulls.consecutiveFailures <= 2 {
		n.pulls.nextPull = min(n.pulls.nextPull, now) // retry immediately through the other tree
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
	n.pulls.consecutiveFailures = 0
	if len(n.answeredPeers) < minAnsweredPeers {
		n.answeredPeers[from] = true
	}
	if err := n.state.ApplyPullReply(pending.sent, reply); err != nil {
		n.applyFailures++
	}
	if member, _, ok := n.members.Lookup(from); ok {
		n.requestSegments(now, member)
	}
}

// requestSegments requests the segments needed to apply a pending generation from a host.
func (n *node) requestSegments(now time.Duration, from membership.Member) {
	for _, id := range n.state.MissingSegments() {
		if len(n.pulls.segmentCalls) >= maxSegmentCalls {
			return
		}
		if slices.ContainsFunc(n.pulls.segmentCalls, func(s segmentCall) bool { return s.id == id }) {
			continue
		}
		token := n.call(from, KindSegment, &segmentRequest{ID: id}, segmentTimeout)
		n.pulls.segmentCalls = append(n.pulls.segmentCalls, segmentCall{token: token, id: id, deadline: now + segmentTimeout})
	}
}

func (n *node) segmentReply(now time.Duration, token uint64, reply segmentReply, err error) {
	n.pulls.segmentCalls = slices.DeleteFunc(n.pulls.segmentCalls, func(s segmentCall) bool { return s.token == token })
	if err != nil || len(reply.Content) == 0 {
		return
	}
	if err := n.state.AddSegment(reply.Content); err != nil {
		n.applyFailures++
	}
	n.pulls.nextPull = min(n.pulls.nextPull, now) // the next pull requests the remaining segments or confirms the generation
}
