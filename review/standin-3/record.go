package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
	runs  map[string][]run
	tries map[string]*try
}

type run struct {
	at     time.Duration
	server string
}

type try struct {
	id             string
	retryAfter     time.Duration
	sent, answered time.Duration
	gateway        string
	status         int // 0 while it is not answered
	sealed         bool
	err            error
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		panic(err)
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now(), runs: map[string][]run{}, tries: map[string]*try{}}
}

func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f ", r.now().Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) ran(id, server, request string, body int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], run{at: r.now(), server: server})
	r.line("ran      %s at %s: %s, %d bytes", id, server, request, body)
}

func (r *record) sent(id, gateway string) *try {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &try{id: id, sent: r.now(), gateway: gateway}
	r.tries[id] = t
	r.line("sent     %s to %s", id, gateway)
	return t
}

func (r *record) answered(id string, t *try, status int, sealed bool, err error, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.answered, t.status, t.sealed, t.err = r.now(), status, sealed, err
	if err != nil {
		r.line("ended    %s by %s: %v", id, t.gateway, err)
		return
	}
	r.line("answered %s by %s: %d %s", id, t.gateway, status, text)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

func (r *record) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
