package replica

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	sketchUnit = 10 * time.Microsecond
	sketchMax  = 20 * time.Second
	// sketchDigits keeps a sketch below 3 KB; one significant digit is precise enough to compare replicas.
	sketchDigits = 1
	// sketchWindow is the time after which a window of samples is closed. Samples count for one to two windows.
	sketchWindow = 10 * time.Second
	// refreshEvery is the number of samples after which the quantiles are computed again.
	refreshEvery = 16
)

// Sketch holds the latencies of the last one to two windows.
type Sketch struct {
	current, previous *hdrhistogram.Histogram
	// exposed and exposedBefore belong to the current and the previous window.
	exposed, exposedBefore exposure
	rotated                time.Duration
	unread                 int
	median, p95            time.Duration
}

// exposure is the time that attempts spent at a target, and the number of them that completed.
type exposure struct {
	time      time.Duration
	completed int
}

// Add records a latency. complete is false if the attempt was cancelled or given up, so that the latency is only a lower
// bound.
func (s *Sketch) Add(now, latency time.Duration, complete bool) {
	s.rotate(now)
	s.exposed.time += latency
	if complete {
		s.exposed.completed++
	}
	if s.current == nil {
		s.current = hdrhistogram.New(1, int64(sketchMax/sketchUnit), sketchDigits)
	}
	clamped := min(max(latency, sketchUnit), sketchMax)
	_ = s.current.RecordValue(int64(clamped / sketchUnit)) // the value is within the range
	s.unread++
	if s.unread >= refreshEvery || s.current.TotalCount() < refreshEvery {
		s.refresh()
	}
}

// Mean estimates the mean latency as the time that all attempts spent over the number that completed, which stays true if
// attempts are cut short: a median of what was seen would show a straggler whose attempts are cancelled after 30 ms as a
// target of 30 ms. prior counts as one completed attempt. It returns 0 if there is no recent sample.
func (s *Sketch) Mean(now, prior time.Duration) time.Duration {
	s.rotate(now)
	spent := s.exposed.time + s.exposedBefore.time
	if spent == 0 {
		return 0
	}
	return (spent + prior) / time.Duration(s.exposed.completed+s.exposedBefore.completed+1)
}

// Median returns the median latency, 0 if there is no recent sample.
func (s *Sketch) Median(now time.Duration) time.Duration {
	s.rotate(now)
	return s.median
}

// P95 returns the 95th percentile of the latency, 0 if there are fewer than 16 recent samples: the percentile of a few
// would be their usual latency.
func (s *Sketch) P95(now time.Duration) time.Duration {
	s.rotate(now)
	return s.p95
}

func (s *Sketch) rotate(now time.Duration) {
	age := now - s.rotated
	if age < sketchWindow {
		return
	}
	s.exposedBefore, s.exposed = s.exposed, exposure{}
	if age >= 2*sketchWindow {
		s.exposedBefore = exposure{}
	}
	s.previous, s.current = s.current, s.previous
	if s.current != nil {
		s.current.Reset()
	}
	if age >= 2*sketchWindow && s.previous != nil {
		s.previous.Reset()
	}
	s.rotated = now
	s.refresh()
}

// refresh computes the quantiles from the current window once it has enough samples, and from the previous until then.
func (s *Sketch) refresh() {
	s.unread = 0
	source := s.current
	if s.previous != nil && s.previous.TotalCount() > 0 && (source == nil || source.TotalCount() < refreshEvery) {
		source = s.previous
	}
	if source == nil || source.TotalCount() == 0 {
		s.median, s.p95 = 0, 0
		return
	}
	s.median = time.Duration(source.ValueAtQuantile(50)) * sketchUnit
	s.p95 = 0
	if source.TotalCount() >= refreshEvery {
		s.p95 = time.Duration(source.ValueAtQuantile(95)) * sketchUnit
	}
}
