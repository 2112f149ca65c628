package admission

import "time"

const (
	// latencyWeight is the number of requests over which an estimate follows a change.
	latencyWeight = 32
	// estimateHalfLife is the time without a sample after which an estimate counts half. Without it, an estimate above all
	// deadlines would refuse every request and never be corrected.
	estimateHalfLife = time.Second
	// maxWorks bounds the works with an estimate of their own. The others use the estimate over all.
	maxWorks = 1024
)

// estimate is the mean time that requests run.
type estimate struct {
	mean time.Duration
	// sampled is the time of the last sample.
	sampled time.Duration
}

// at returns the estimate at a time, at least a millisecond.
func (e estimate) at(now time.Duration) time.Duration {
	halvings := max(0, now-e.sampled) / estimateHalfLife
	return max(e.mean>>min(halvings, 30), time.Millisecond)
}

// add takes a sample.
func (e estimate) add(now, latency time.Duration) estimate {
	mean := e.at(now)
	return estimate{mean: mean + (latency-mean)/latencyWeight, sampled: now}
}

// latencyOf returns the estimate of a work.
func (c *Controller) latencyOf(now time.Duration, work string) time.Duration {
	if known, ok := c.works[work]; ok {
		return known.at(now)
	}
	return c.cfg.Latency
}

func (c *Controller) learn(now time.Duration, work string, latency time.Duration) {
	c.latency = c.latency.add(now, latency)
	known, ok := c.works[work]
	if !ok {
		known = estimate{mean: c.cfg.Latency, sampled: now}
	}
	if ok || len(c.works) < maxWorks {
		c.works[work] = known.add(now, latency)
	}
}
