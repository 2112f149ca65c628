package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// server is a stand-in of a server of the platform.
type server struct {
	id, service, zone string
	slots             int
	work              time.Duration
	// body returns the body of the answer to a request that has run.
	body func(id string) []byte
	// trouble, if set, takes over the answer to a request that has run. It returns false if the server is sound.
	trouble func(s *server, w http.ResponseWriter, r *http.Request) bool

	address  string
	listener net.Listener
	http     *http.Server
	born     int64
	record   *record
	running  chan struct{}
	waiting  atomic.Int64
}

// queueLength is the number of requests that wait for a slot before further ones are rejected.
const queueLength = 36

func (s *server) start(st *store, rec *record) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s.listener, s.address, s.record = l, l.Addr().String(), rec
	s.born = time.Now().Unix() * 1000
	s.running = make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	s.register(st)
}

// register writes the entry of the server. Heartbeats raise only the sequence, which doesn't change the entry.
func (s *server) register(st *store) {
	st.set("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "1", "max-concurrency": s.slots, "state": "ready",
		"warmup-left-ms": 0, "sequence": 1, "born": s.born,
	})
}

func (s *server) load() string {
	return fmt.Sprintf("%d,%d,%d", len(s.running), s.waiting.Load(), s.slots)
}

func (s *server) refuse(w http.ResponseWriter, id string, status int, reason string) {
	w.Header().Set("Request-Id", id)
	w.Header().Set("Not-Executed", reason)
	w.Header().Set("Server-Load", s.load())
	w.WriteHeader(status)
}

// ServeHTTP answers as the page says of servers.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		s.refuse(w, id, http.StatusMisdirectedRequest, "another instance")
		return
	}
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Server-Load", s.load())
		return
	}
	if id == "" {
		s.refuse(w, id, http.StatusBadRequest, "no id")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	deadline := time.Duration(parseInt(r.Header.Get("Deadline-Ms"))) * time.Millisecond
	ends := time.NewTimer(deadline)
	defer ends.Stop()
	if s.waiting.Add(1) > queueLength {
		s.waiting.Add(-1)
		s.refuse(w, id, http.StatusServiceUnavailable, "full")
		return
	}
	select {
	case s.running <- struct{}{}:
		s.waiting.Add(-1)
	case <-ends.C:
		s.waiting.Add(-1)
		s.refuse(w, id, http.StatusServiceUnavailable, "deadline in the queue")
		return
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	defer func() { <-s.running }()
	s.record.ran(id, s.id, r.Method+" "+r.URL.Path, len(body))
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	if s.trouble != nil && s.trouble(s, w, r) {
		return
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", s.id+"."+id)
	w.Header().Set("Server-Load", s.load())
	content := s.body(id)
	w.Header().Set("Content-Length", fmt.Sprint(len(content)))
	_, _ = w.Write(content)
}
