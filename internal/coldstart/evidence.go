package coldstart

import (
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// shedRun is the number of sheds in a row that are one sign. Single sheds are usual under load.
	shedRun = 3
	// slowRun is the number of slow successes in a row that are one sign. One in sixteen replies of an exponential
	// distribution is slower than four times the median, so single ones prove nothing.
	slowRun = 4
	// slowFactor times the median is a slow success.
	slowFactor = 4
	// latencies is the number of successes of which the median is taken.
	latencies = 31
)

// ObservationKind is the type of an observation.
type ObservationKind string

// The kinds of observations.
const (
	// Succeeded is a whole and matching reply in time.
	Succeeded ObservationKind = "succeeded"
	// Shed is a refusal for load.
	Shed ObservationKind = "shed"
	// Reset is a connection that ended before the reply.
	Reset ObservationKind = "reset"
	// SaysCold is a status report that says so.
	SaysCold ObservationKind = "says_cold"
	// SaysReady is a status report that says that the target is neither cold nor leaving.
	SaysReady ObservationKind = "says_ready"
	// Seen only names the incarnation.
	Seen ObservationKind = "seen"
)

// Observation is one piece of evidence about a target.
type Observation struct {
	Target model.TargetID
	// Incarnation is the one that the target named; 0 if it named none.
	Incarnation model.Incarnation
	Kind        ObservationKind
	// Latency is the duration of a success.
	Latency time.Duration
}

// evidence looks for signs of a cold start.
type evidence struct {
	sheds    int
	slow     int
	lastSign time.Duration
	anySign  bool
	recent   [latencies]time.Duration
	count    int
}

// restart forgets the signs and the latencies of the former phase.
func (e *evidence) restart() { *e = evidence{} }

// add weighs an observation. sign tells that it is a sign of a cold start; drop, that it is the second in time.
func (e *evidence) add(now time.Duration, observation Observation, warm bool) (drop, sign bool) {
	if !e.isSign(observation, warm) {
		return false, false
	}
	drop = e.anySign && now-e.lastSign <= signsWithin
	e.lastSign = now
	e.anySign = true
	return drop, true
}

func (e *evidence) isSign(observation Observation, warm bool) bool {
	switch observation.Kind {
	case Reset:
		return true
	case Shed:
		e.sheds++
		return e.sheds%shedRun == 0
	case Succeeded:
		e.sheds = 0
		return warm && e.isSlow(observation.Latency)
	}
	return false
}

// isSlow tells whether a success ends a run of slow ones. Slow successes do not move the median.
func (e *evidence) isSlow(latency time.Duration) bool {
	if e.count >= latencies && latency > slowFactor*e.median() {
		e.slow++
		return e.slow%slowRun == 0
	}
	e.slow = 0
	e.recent[e.count%latencies] = latency
	e.count++
	return false
}

func (e *evidence) median() time.Duration {
	sorted := e.recent
	slices.Sort(sorted[:])
	return sorted[latencies/2]
}
