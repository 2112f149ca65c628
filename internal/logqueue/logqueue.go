// Package logqueue writes log lines asynchronously, so that logging never blocks the calling goroutine.
package logqueue

import (
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// capacity is the maximum number of queued lines. Lines that arrive while the queue is full are dropped and counted.
	capacity = 1024
	// maxQueuedBytes is the maximum size of the queued lines together. Lines hold what callers sent, such as their request IDs.
	maxQueuedBytes = 2 << 20
)

// Queue buffers log lines for a writer. It implements zapcore.WriteSyncer.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	queued  atomic.Int64 // bytes
	dropped atomic.Int64
}

// New returns a queue that writes to out. The lines are written by Run.
func New(out io.Writer) *Queue {
	return &Queue{out: out, lines: make(chan []byte, capacity)}
}

// Write enqueues a copy of one line. It never blocks.
func (q *Queue) Write(line []byte) (int, error) {
	size := int64(len(line))
	if q.queued.Add(size) > maxQueuedBytes {
		q.drop(size)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.drop(size)
	}
	return len(line), nil
}

// drop counts a line that was not queued.
func (q *Queue) drop(size int64) {
	q.queued.Add(-size)
	q.dropped.Add(1)
}

// Sync implements zapcore.WriteSyncer. It does nothing, because lines are written asynchronously.
func (q *Queue) Sync() error { return nil }

// Dropped returns the number of lines that were dropped because the queue was full or a write failed.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes queued lines until stop is closed and the queue is empty. All queued lines are written in one call. After
// lines have been dropped, a line with their number follows the next write.
func (q *Queue) Run(stop <-chan struct{}) {
	reported := int64(0)
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-stop:
			q.drain()
			return
		}
		if dropped := q.dropped.Load(); dropped > reported {
			report := fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", dropped-reported)
			q.queued.Add(int64(len(report)))
			q.write(report)
			reported = dropped
		}
	}
}

// write writes a line and all queued ones.
func (q *Queue) write(line []byte) {
	queued := len(q.lines)
	for range queued {
		line = append(line, <-q.lines...)
	}
	q.queued.Add(-int64(len(line)))
	if _, err := q.out.Write(line); err != nil {
		q.dropped.Add(int64(1 + queued)) // a failure of the log itself can be reported only by the metrics
	}
}

func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}
