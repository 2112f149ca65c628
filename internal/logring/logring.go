// Package logring writes log lines without ever blocking the goroutine that logs.
package logring

import (
	"fmt"
	"io"
	"sync/atomic"
)

// capacity is the number of lines that wait for the writer. A line that finds no room is dropped and counted.
const capacity = 1024

// Ring is a bounded queue of log lines in front of a writer. It implements zapcore.WriteSyncer.
type Ring struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a ring whose lines Run writes.
func New(out io.Writer) *Ring {
	return &Ring{out: out, lines: make(chan []byte, capacity)}
}

// Write takes one line.
func (r *Ring) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case r.lines <- copied:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. Lines are written in their own time.
func (r *Ring) Sync() error { return nil }

// Dropped returns the number of lines that found no room or could not be written.
func (r *Ring) Dropped() int64 { return r.dropped.Load() }

// Run writes lines until stop is closed and the lines before it are written. Lines that wait together are written
// together. A count of dropped lines follows the first write after the loss.
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
	waiting := len(r.lines)
	for range waiting {
		line = append(line, <-r.lines...)
	}
	if _, err := r.out.Write(line); err != nil {
		r.dropped.Add(int64(1 + waiting)) // a log that cannot be written has no other place to say so than the metrics
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
