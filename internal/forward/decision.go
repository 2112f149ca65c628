package forward

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// TargetVerdict is what a host concludes about a target: from an attempt that got no answer, or from what the target says of
// itself.
type TargetVerdict string

// The verdicts. Those that begin with Loss concern attempts that got no answer.
const (
	// LossNotProbed means that the target was not probed, because too many probes are in progress or this host was paused meanwhile.
	LossNotProbed TargetVerdict = "not probed"
	// LossTargetAccepts, the result of a probe, means that a connection was accepted at the target's address and ended without an
	// answer, which proves neither its life nor its end.
	LossTargetAccepts TargetVerdict = "address accepts"
	// LossTargetAnswers, the result of a probe, means that the target or another instance at its address answered it.
	LossTargetAnswers TargetVerdict = "address answers"
	// LossTargetSilent, the result of probes, means that the target answered none of them.
	LossTargetSilent TargetVerdict = "address silent"
	// LossTargetRefuses means that the target's address refuses connections: the target has ended.
	LossTargetRefuses TargetVerdict = "target refuses"
	// LossTargetReplaced means that another instance has the target's ID or its address.
	LossTargetReplaced TargetVerdict = "target replaced"
	// LossTargetDeregistered means that the target's registration ended within seconds of the loss.
	LossTargetDeregistered TargetVerdict = "target deregistered"
	// LossLearned means that another host has found that the target ended.
	LossLearned TargetVerdict = "learned"
	// LossRefuted means that a target has answered the request, which therefore did not crash the others.
	LossRefuted TargetVerdict = "refuted by an answer"
	// TargetLeaving means that the instance has said that it is shutting down.
	TargetLeaving TargetVerdict = "leaving"
	// TargetQuiet means that the instance has turned a request away and wants nothing from this host for a time.
	TargetQuiet TargetVerdict = "quiet"
)

// TargetDecision is a verdict with its inputs and the judgement on the request that follows.
type TargetDecision struct {
	// Fingerprint identifies the request; it is 0 if the verdict concerns none.
	Fingerprint uint64
	Instance    evidence.Instance
	Verdict     TargetVerdict
	Judgement   evidence.Judgement
	// Source is the host that found it; empty for this one.
	Source model.HostID
	// For is the length of the time after TargetQuiet.
	For time.Duration
}
