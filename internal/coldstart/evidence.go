package coldstart

import (
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// shedsPerSign is the number of sheds without a success in between that count as one sign. Isolated sheds are
	// normal under load.
	shedsPerSign = 3
	// slowRepliesPerSign is the number of consecutive slow successes that count as one sign. One in sixteen replies of
	// an exponential distribution takes more than four times the median, so isolated ones prove nothing.
	slowRepliesPerSign = 4
	// slowLatencyFactor multiplied by the median is the latency above which a success is slow.
	slowLatencyFactor = 4
	// latencyWindow is the number of recent successes over which the median is computed.
	latencyWindow = 31
)

// ObservationKind classifies observations.
type ObservationKind string

// Kinds of observations.
const (
	// Succeeded is a complete reply that matches the request and arrived in time.
	Succeeded ObservationKind = "succeeded"
	// Shed is a refusal because of load.
	Shed ObservationKind = "shed"
	// Reset is a connection that was lost before the reply.
	Reset ObservationKind = "reset"
	// ReportedCold is a status report in which the target says that it is cold.
	ReportedCold ObservationKind = "says_cold"
	// ReportedReady is a status report in which the target says that it is neither cold nor leaving.
	ReportedReady ObservationKind = "says_ready"
	// IncarnationSeen provides only the incarnation.
	IncarnationSeen ObservationKind = "seen"
)

// Observation is one piece of evidence about a target.
type Observation struct {
	Target model.TargetID
	// Incarnation is the incarnation that the target named; 0 if it named none.
	Incarnation model.Incarnation
	Kind        ObservationKind
	// Latency is the response time of a success.
	Latency time.Duration
}

// evidence detects signs of a cold start.
type evidence struct {
	sheds        int
	slowReplies  int
	lastSign     time.Duration
	hasSign      bool
	latencies    [latencyWindow]time.Duration
	latencyCount int
}

// reset discards the signs and latencies of the previous phase.
func (e *evidence) reset() { *e = evidence{} }

// add processes an observation. sign reports whether it is a sign of a cold start; confirmed, whether it is the second
// sign within signWindow.
func (e *evidence) add(now time.Duration, observation Observation, warm bool) (confirmed, sign bool) {
	if !e.isSign(observation, warm) {
		return false, false
	}
	confirmed = e.hasSign && now-e.lastSign <= signWindow
	e.lastSign = now
	e.hasSign = true
	return confirmed, true
}

func (e *evidence) isSign(observation Observation, warm bool) bool {
	switch observation.Kind {
	case Reset:
		return true
	case Shed:
		e.sheds++
		return e.sheds%shedsPerSign == 0
	case Succeeded:
		e.sheds = 0
		return warm && e.isSlow(observation.Latency)
	}
	return false
}

// isSlow reports whether a success completes a run of slow ones. Slow successes do not affect the median.
func (e *evidence) isSlow(latency time.Duration) bool {
	if e.latencyCount >= latencyWindow && latency > slowLatencyFactor*e.median() {
		e.slowReplies++
		return e.slowReplies%slowRepliesPerSign == 0
	}
	e.slowReplies = 0
	e.latencies[e.latencyCount%latencyWindow] = latency
	e.latencyCount++
	return false
}

func (e *evidence) median() time.Duration {
	sorted := e.latencies
	slices.Sort(sorted[:])
	return sorted[latencyWindow/2]
}
