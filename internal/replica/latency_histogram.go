package replica

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramUnit = 10 * time.Microsecond
	histogramMax  = 20 * time.Second
	// histogramDigits is the number of significant digits. One digit is precise enough to compare replicas and keeps
	// a histogram below 3 KB.
	histogramDigits = 1
	// histogramWindow is the length of a window of samples. Samples count for one to two windows.
	histogramWindow = 10 * time.Second
	// minSamples is the number of samples from which a window is preferred to the previous one and yields a 95th
	// percentile. The quantiles are recomputed once per that many samples, and after every sample of a window with fewer.
	minSamples = 16
	// averageWeight is the weight of a new sample in the moving average. With it the average lies within a tenth of the level
	// after about 20 samples, and its random deviation from the level is about a fifth of that of a sample.
	averageWeight = 0.1
)

// LatencyHistogram is a histogram of the latencies of the last one to two windows.
type LatencyHistogram struct {
	current, previous *hdrhistogram.Histogram
	// currentTotals and previousTotals belong to the current and the previous window.
	currentTotals, previousTotals attemptTotals
	rotated                       time.Duration
	sinceRefresh                  int
	median, p95                   time.Duration
	// average is the moving average of the completed attempts, 0 before the first one.
	average time.Duration
}

// attemptTotals holds the total duration of the attempts in a window and the number of them that completed.
type attemptTotals struct {
	time      time.Duration
	completed int
}

// Add records a latency. complete is false if the attempt was cancelled or given up, in which case the latency is only a
// lower bound.
func (h *LatencyHistogram) Add(now, latency time.Duration, complete bool) {
	h.rotate(now)
	h.currentTotals.time += latency
	if complete {
		h.currentTotals.completed++
		h.updateAverage(latency)
	}
	if h.current == nil {
		h.current = hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)
	}
	clamped := min(max(latency, histogramUnit), histogramMax)
	_ = h.current.RecordValue(int64(clamped / histogramUnit)) // the value is within the range
	h.sinceRefresh++
	if h.sinceRefresh >= minSamples || h.current.TotalCount() < minSamples {
		h.refresh()
	}
}

// Mean estimates the mean latency as the total duration of all attempts divided by the number of completed ones. This is
// unbiased by cancelled attempts, whereas a median of the observed durations would be 30 ms for a slow target whose
// attempts are cancelled after 30 ms. prior counts as one completed attempt. Mean returns 0 if there are no recent samples.
func (h *LatencyHistogram) Mean(now, prior time.Duration) time.Duration {
	h.rotate(now)
	spent := h.currentTotals.time + h.previousTotals.time
	if spent == 0 {
		return 0
	}
	return (spent + prior) / time.Duration(h.currentTotals.completed+h.previousTotals.completed+1)
}

// Median returns the median latency, 0 if there are no recent samples.
func (h *LatencyHistogram) Median(now time.Duration) time.Duration {
	h.rotate(now)
	return h.median
}

// Typical returns the latency of an ordinary attempt at this time: the median, or the moving average if that is lower. The median
// follows a fall of the latency only after up to two windows. A slow target raises the average, but not the median. Typical returns
// 0 if there are no recent samples.
func (h *LatencyHistogram) Typical(now time.Duration) time.Duration {
	return min(h.Median(now), h.average)
}

func (h *LatencyHistogram) updateAverage(latency time.Duration) {
	if h.average == 0 {
		h.average = latency
	}
	h.average += time.Duration(averageWeight * float64(latency-h.average))
}

// P95 returns the 95th percentile of the latency. It returns 0 if there are fewer than 16 recent samples, because the
// percentile of a few samples would be their typical latency.
func (h *LatencyHistogram) P95(now time.Duration) time.Duration {
	h.rotate(now)
	return h.p95
}

// CurrentP95 returns the 95th percentile of all recent latencies, including the latest ones. It returns 0 if there are none.
// Unlike P95 it is computed at each call.
func (h *LatencyHistogram) CurrentP95(now time.Duration) time.Duration {
	h.rotate(now)
	both := hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)
	for _, window := range []*hdrhistogram.Histogram{h.current, h.previous} {
		if window != nil {
			both.Merge(window)
		}
	}
	return time.Duration(both.ValueAtQuantile(95)) * histogramUnit
}

// rotate starts a new window if the current one has ended.
func (h *LatencyHistogram) rotate(now time.Duration) {
	age := now - h.rotated
	if age < histogramWindow {
		return
	}
	h.previousTotals, h.currentTotals = h.currentTotals, attemptTotals{}
	if age >= 2*histogramWindow {
		h.previousTotals = attemptTotals{}
	}
	h.previous, h.current = h.current, h.previous
	if h.current != nil {
		h.current.Reset()
	}
	if age >= 2*histogramWindow && h.previous != nil {
		h.previous.Reset()
	}
	h.rotated = now
	h.refresh()
}

// refresh computes the quantiles from the current window, or from the previous one while the current one has too few
// samples.
func (h *LatencyHistogram) refresh() {
	h.sinceRefresh = 0
	source := h.current
	if h.previous != nil && h.previous.TotalCount() > 0 && (source == nil || source.TotalCount() < minSamples) {
		source = h.previous
	}
	if source == nil || source.TotalCount() == 0 {
		h.median, h.p95 = 0, 0
		return
	}
	h.median = time.Duration(source.ValueAtQuantile(50)) * histogramUnit
	h.p95 = 0
	if source.TotalCount() >= minSamples {
		h.p95 = time.Duration(source.ValueAtQuantile(95)) * histogramUnit
	}
}
