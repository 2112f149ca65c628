// Package concurrency adapts the number of attempts that this host has in flight at one target. It is pure.
package concurrency

import (
	"fmt"
	"math"
	"time"
)

// Outcome is what the end of an attempt says about the load of its target.
type Outcome uint8

const (
	// Success is a reply in time.
	Success Outcome = iota + 1
	// Overload is a shed attempt, one that fell silent or one that missed its deadline.
	Overload
	// Neutral says nothing about load: a cancelled attempt, a lost version.
	Neutral
)

// Limiter gives the number of attempts that may be in flight at a target.
type Limiter interface {
	// Limit returns the limit, at least 1.
	Limit() int
	// Observe takes the end of an attempt. inFlight is the number of attempts while it ran, itself included.
	Observe(now, latency time.Duration, inFlight int, outcome Outcome)
}

// Variant names a kind of Limiter.
type Variant string

// The variants.
const (
	VariantFixed    Variant = "fixed"
	VariantGradient Variant = "gradient"
	VariantAIMD     Variant = "aimd"
)

// Config describes a limiter.
type Config struct {
	Variant Variant
	// Initial is the first limit; a fixed limiter keeps it.
	Initial int
	// Max is the greatest limit.
	Max int
}

// Validate returns an error that names the faulty field.
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

// New returns a limiter. An unknown variant gives a fixed limit; Validate finds it.
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

// decreaseFactor and the increase of 1 per limit successes are the usual values of AIMD.
const decreaseFactor = 0.5

// AIMD raises the limit by one for each limit successes while the limit is in use, and halves it on overload.
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
		// Attempts that were under way at the last decrease tell nothing new: one burst of refusals counts once.
		a.limit = max(1, a.limit*decreaseFactor)
		a.decreased = now
	}
}

const (
	// gradientTolerance is the growth of the latency over its base that is not yet taken for queueing.
	gradientTolerance = 1.5
	gradientSmoothing = 0.2
	shortWeight       = 1.0 / 16
	// baseWeight lets the base follow a lasting change of the service time within some hundred attempts.
	baseWeight = 1.0 / 256
)

// Gradient compares the recent mean of the latency with its base, the lowest recent mean: growing latency means queueing.
type Gradient struct {
	cfg         Config
	limit       float64
	base, short float64
}

// Limit implements Limiter.
func (g *Gradient) Limit() int { return int(g.limit) }

// Observe implements Limiter.
func (g *Gradient) Observe(_, latency time.Duration, inFlight int, outcome Outcome) {
	switch outcome {
	case Neutral:
		return
	case Overload:
		g.move(g.limit * decreaseFactor)
		return
	}
	inUse := 2*inFlight >= g.Limit()
	g.sample(float64(latency), !inUse || inFlight == 1)
	if !inUse {
		return
	}
	gradient := min(1, max(0.5, gradientTolerance*g.base/g.short))
	g.move(g.limit*gradient + math.Sqrt(g.limit))
}

// sample adds a latency. The base rises only with attempts that did not wait behind this host's own: otherwise it would
// take a standing queue for the service time, and the limit would rise until the target sheds.
func (g *Gradient) sample(latency float64, alone bool) {
	if g.base == 0 {
		g.base, g.short = latency, latency
		return
	}
	g.short += (latency - g.short) * shortWeight
	if alone {
		g.base += (latency - g.base) * baseWeight
	}
	g.base = min(g.short, g.base)
}

func (g *Gradient) move(to float64) {
	next := g.limit*(1-gradientSmoothing) + to*gradientSmoothing
	g.limit = min(float64(g.cfg.Max), max(1, next))
}
