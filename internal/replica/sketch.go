package replica

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	sketchUnit = 10 * time.Microsecond
	sketchMax  = 20 * time.Second
	// sketchDigits is the number of significant digits. One digit is precise enough to compare replicas and keeps a sketch
	// below 3 KB.
	sketchDigits = 1
	// sketchWindow is the length of a window of samples. Samples count for one to two windows.
	sketchWindow = 10 * time.Second
	// refreshInterval is the number of samples after which the quantiles are recomputed.
	refreshInterval = 16
)

// Sketch is a histogram of the latencies of the last one to two windows.
type Sketch struct {
	current, previous *hdrhistogram.Histogram
	// currentTotals and previousTotals belong to the current and the previous window.
	currentTotals, previousTotals attemptTotals
	rotated                       time.Duration
	sinceRefresh                  int
	median, p95                   time.Duration
}

// attemptTotals holds the total duration of the attempts in a window and the number of them that completed.
type attemptTotals struct {
	time      time.Duration
	completed int
}

// Add records a latency. complete is false if the attempt was cancelled or given up, in which case the latency is only a
// lower bound.
func (s *Sketch) Add(now, latency time.Duration, complete bool) {
	s.rotate(now)
	s.currentTotals.time += latency
	if complete {
		s.currentTotals.completed++
	}
	if s.current == nil {
		s.current = hdrhistogram.New(1, int64(sketchMax/sketchUnit), sketchDigits)
	}
	clamped := min(max(latency, sketchUnit), sketchMax)
	_ = s.current.RecordValue(int64(clamped / sketchUnit)) // the value is within the range
	s.sinceRefresh++
	if s.sinceRefresh >= refreshInterval || s.current.TotalCount() < refreshInterval {
		s.refresh()
	}
}

// Mean estimates the mean latency as the total duration of all attempts divided by the number of completed ones. This is
// unbiased by cancelled attempts, whereas a median of the observed durations would be 30 ms for a slow target whose
// attempts are cancelled after 30 ms. prior counts as one completed attempt. Mean returns 0 if there are no recent samples.
func (s *Sketch) Mean(now, prior time.Duration) time.Duration {
	s.rotate(now)
	spent := s.currentTotals.time + s.previousTotals.time
	if spent == 0 {
		return 0
	}
	return (spent + prior) / time.Duration(s.currentTotals.completed+s.previousTotals.completed+1)
}

// Median returns the median latency, 0 if there are no recent samples.
func (s *Sketch) Median(now time.Duration) time.Duration {
	s.rotate(now)
	return s.median
}

// P95 returns the 95th percentile of the latency. It returns 0 if there are fewer than 16 recent samples, because the
// percentile of a few samples would be their typical latency.
func (s *Sketch) P95(now time.Duration) time.Duration {
	s.rotate(now)
	return s.p95
}

func (s *Sketch) rotate(now time.Duration) {
	age := now - s.rotated
	if age < sketchWindow {
		return
	}
	s.previousTotals, s.currentTotals = s.currentTotals, attemptTotals{}
	if age >= 2*sketchWindow {
		s.previousTotals = attemptTotals{}
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

// refresh computes the quantiles from the current window, or from the previous one while the current one has too few
// samples.
func (s *Sketch) refresh() {
	s.sinceRefresh = 0
	source := s.current
	if s.previous != nil && s.previous.TotalCount() > 0 && (source == nil || source.TotalCount() < refreshInterval) {
		source = s.previous
	}
	if source == nil || source.TotalCount() == 0 {
		s.median, s.p95 = 0, 0
		return
	}
	s.median = time.Duration(source.ValueAtQuantile(50)) * sketchUnit
	s.p95 = 0
	if source.TotalCount() >= refreshInterval {
		s.p95 = time.Duration(source.ValueAtQuantile(95)) * sketchUnit
	}
}
