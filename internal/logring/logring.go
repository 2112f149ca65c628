// Package logring writes log lines asynchronously, so that logging never blocks the calling goroutine.
package logring

import (
	"fmt"
	"io"
	"sync/atomic"
)

// capacity is the maximum number of queued lines. Lines that arrive while the queue is full are dropped and counted.
const capacity = 1024

// Ring is a bounded queue of log lines for a writer. It implements zapcore.WriteSyncer.
type Ring struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a ring that writes to out. The lines are written by Run.
func New(out io.Writer) *Ring {
	return &Ring{out: out, lines: make(chan []byte, capacity)}
}

// Write enqueues a copy of one line. It never blocks.
func (r *Ring) Write(line []byte) (int, error) {
	lineCopy := append([]byte(nil), line...)
	select {
	case r.lines <- lineCopy:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because lines are written asynchronously.
func (r *Ring) Sync() error { return nil }

// Dropped returns the number of lines that were dropped because the queue was full or a write failed.
func (r *Ring) Dropped() int64 { return r.dropped.Load() }

// Run writes queued lines until stop is closed and the queue is empty. All queued lines are written in one call. After
// lines have been dropped, a line with their number follows the next write.
func (r *Ring) Run(stop <-chan struct{}) {
	reported := int64(0)
	for {
		select {
		case line := <-r.lines:
			r.write(line)
		case <-stop:
			r.drain()
			return
		}
		if dropped := r.dropped.Load(); dropped > reported {
			r.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", dropped-reported))
			reported = dropped
		}
	}
}

func (r *Ring) write(line []byte) {
	queued := len(r.lines)
	for range queued {
		line = append(line, <-r.lines...)
	}
	if _, err := r.out.Write(line); err != nil {
		r.dropped.Add(int64(1 + queued)) // a failure of the log itself can be reported only by the metrics
	}
}

func (r *Ring) drain() {
	for {
		select {
		case line := <-r.lines:
			r.write(line)
		default:
			return
		}
	}
}
