// Package concurrency adapts the limit of attempts that this host may have in flight at a target. It performs no I/O and
// reads no clock: callers pass in the current time.
package concurrency

import (
	"fmt"
	"math"
	"time"
)

// Outcome is what the result of an attempt indicates about the load of its target.
type Outcome uint8

const (
	// Success is a reply in time.
	Success Outcome = iota + 1
	// Overload is an attempt that was shed, got no reply or missed its deadline.
	Overload
	// Neutral is a result that does not depend on load, such as a cancelled attempt or a version that is no longer served.
	Neutral
)

// Limiter determines the number of attempts that may be in flight at a target.
type Limiter interface {
	// Limit returns the limit, at least 1.
	Limit() int
	// Observe records the end of an attempt. inFlight is the number of attempts in flight while it ran, including itself.
	Observe(now, latency time.Duration, inFlight int, outcome Outcome)
}

// Variant selects the algorithm of a Limiter.
type Variant string

// Variants.
const (
	VariantFixed    Variant = "fixed"
	VariantGradient Variant = "gradient"
	VariantAIMD     Variant = "aimd"
)

// Config configures a Limiter.
type Config struct {
	Variant Variant
	// Initial is the initial limit. A fixed limiter never changes it.
	Initial int
	// Max is the maximum limit.
	Max int
}

// Validate returns an error that names the invalid field.
func (c Config) Validate() error {
	switch c.Variant {
	case VariantFixed, VariantGradient, VariantAIMD:
	default:
		return fmt.Errorf("variant %q: use fixed, gradient or aimd", c.Variant)
	}
	if c.Initial < 1 || c.Max < c.Initial {
		return fmt.Errorf("initial %d and max %d: use 1 <= initial <= max", c.Initial, c.Max)
	}
	return nil
}

// New returns a limiter. It returns a fixed limiter for an unknown variant, which Validate rejects.
func New(cfg Config) Limiter {
	switch cfg.Variant {
	case VariantGradient:
		return &Gradient{cfg: cfg, limit: float64(cfg.Initial)}
	case VariantAIMD:
		return &AIMD{cfg: cfg, limit: float64(cfg.Initial)}
	}
	return Fixed(cfg.Initial)
}

// Fixed is a limit that never changes.
type Fixed int

// Limit implements Limiter.
func (f Fixed) Limit() int { return max(1, int(f)) }

// Observe implements Limiter.
func (f Fixed) Observe(time.Duration, time.Duration, int, Outcome) {}

// decreaseFactor is the factor by which overload reduces the limit. It and the increase of 1 per limit successes are the
// usual AIMD parameters.
const decreaseFactor = 0.5

// AIMD implements additive increase, multiplicative decrease. It raises the limit by one after as many successes as the
// limit, while at least half of the limit is in use, and halves it on overload.
type AIMD struct {
	cfg       Config
	limit     float64
	decreased time.Duration
}

// Limit implements Limiter.
func (a *AIMD) Limit() int { return int(a.limit) }

// Observe implements Limiter.
func (a *AIMD) Observe(now, latency time.Duration, inFlight int, outcome Outcome) {
	switch {
	case outcome == Success && 2*inFlight >= a.Limit():
		a.limit = min(float64(a.cfg.Max), a.limit+1/a.limit)
	case outcome == Overload && now-latency >= a.decreased:
		// Attempts that were in flight at the last decrease are ignored, so that one burst of refusals counts only once.
		a.limit = max(1, a.limit*decreaseFactor)
		a.decreased = now
	}
}

const (
	// gradientTolerance is the ratio of the recent latency to its base up to which no queueing is assumed.
	gradientTolerance = 1.5
	gradientSmoothing = 0.2
	recentWeight      = 1.0 / 16
	// baseWeight lets the base follow a lasting change of the service time within a few hundred attempts.
	baseWeight = 1.0 / 256
)

// Gradient adapts the limit to the ratio of the recent mean latency to its base, the lowest recent mean. Growing latency
// indicates queueing.
type Gradient struct {
	cfg          Config
	limit        float64
	base, recent float64
}

// Limit implements Limiter.
func (g *Gradient) Limit() int { return int(g.limit) }

// Observe implements Limiter.
func (g *Gradient) Observe(_, latency time.Duration, inFlight int, outcome Outcome) {
	switch outcome {
	case Neutral:
		return
	case Overload:
		g.moveLimit(g.limit * decreaseFactor)
		return
	}
	inUse := 2*inFlight >= g.Limit()
	g.sample(float64(latency), !inUse || inFlight == 1)
	if !inUse {
		return
	}
	gradient := min(1, max(0.5, gradientTolerance*g.base/g.recent))
	g.moveLimit(g.limit*gradient + math.Sqrt(g.limit))
}

// sample adds a latency. The base rises only with attempts that did not queue behind other attempts of this host.
// Otherwise a standing queue would be taken for the service time, and the limit would rise until the target sheds load.
func (g *Gradient) sample(latency float64, unqueued bool) {
	if g.base == 0 {
		g.base, g.recent = latency, latency
		return
	}
	g.recent += (latency - g.recent) * recentWeight
	if unqueued {
		g.base += (latency - g.base) * baseWeight
	}
	g.base = min(g.recent, g.base)
}

// moveLimit moves the limit towards the given value, within its bounds.
func (g *Gradient) moveLimit(to float64) {
	next := g.limit*(1-gradientSmoothing) + to*gradientSmoothing
	g.limit = min(float64(g.cfg.Max), max(1, next))
}
