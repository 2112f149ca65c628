package admission

import "time"

const (
	// smoothingWindow is the number of samples over which an estimate adapts to a change.
	smoothingWindow = 32
	// estimateHalfLife is the time without samples after which an estimate is halved. Without the decay, an
	// estimate above every deadline would cause all requests to be refused and would never be corrected.
	estimateHalfLife = time.Second
	// maxTrackedWorkNames bounds the number of work names with their own estimate. For others, latencyFor returns the
	// configured latency.
	maxTrackedWorkNames = 1024
)

// latencyEstimate is a moving average of request latencies.
type latencyEstimate struct {
	mean time.Duration
	// lastSample is the time of the last sample.
	lastSample time.Duration
}

// at returns the decayed estimate at the given time, at least a millisecond.
func (e latencyEstimate) at(now time.Duration) time.Duration {
	halvings := max(0, now-e.lastSample) / estimateHalfLife
	return max(e.mean>>min(halvings, 30), time.Millisecond)
}

// add returns the estimate updated with a sample.
func (e latencyEstimate) add(now, latency time.Duration) latencyEstimate {
	mean := e.at(now)
	return latencyEstimate{mean: mean + (latency-mean)/smoothingWindow, lastSample: now}
}

// latencyFor returns the latency estimate for a work name.
func (c *Controller) latencyFor(now time.Duration, workName string) time.Duration {
	if known, ok := c.latencyByWorkName[workName]; ok {
		return known.at(now)
	}
	return c.cfg.Latency
}

func (c *Controller) recordLatency(now time.Duration, workName string, latency time.Duration) {
	c.latency = c.latency.add(now, latency)
	known, ok := c.latencyByWorkName[workName]
	if !ok {
		known = latencyEstimate{mean: c.cfg.Latency, lastSample: now}
	}
	if ok || len(c.latencyByWorkName) < maxTrackedWorkNames {
		c.latencyByWorkName[workName] = known.add(now, latency)
	}
}
