package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of a server, after PROTOCOL.md.
type server struct {
	id, service, zone string
	slots, queue      int
	work              func() time.Duration
	address           string
	born              int64 // Unix milliseconds
	started           time.Time
	store             *store
	record            *record
	runs              *runs
	listener          net.Listener
	// late returns whether a copy of this answer arrives late, at the point where the next answer on the connection is
	// expected.
	late func() bool
	// poison is the path of a request that crashes each server which begins to run it; crashed is called then.
	poison  string
	crashed func(s *server, id string)
	// warmup is how long the server is slow after its start.
	warmup time.Duration

	mu       sync.Mutex
	sequence int
	running  int
	waiting  []chan struct{}
	draining bool
	conns    map[net.Conn]bool
}

// runs counts how often each request has run and where, and which arrived.
type runs struct {
	mu       sync.Mutex
	ran      map[string][]string
	arrivals []arrival
}

type arrival struct {
	at     time.Time
	id     string
	server string
}

func newRuns() *runs { return &runs{ran: map[string][]string{}} }

func (r *runs) add(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[id] = append(r.ran[id], server)
}

func (r *runs) arrive(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), id, server})
}

func (s *server) start() {
	listener, err := net.Listen("tcp", loopback+":0")
	check(err)
	s.listener, s.address, s.conns = listener, listener.Addr().String(), map[net.Conn]bool{}
	s.started = time.Now()
	s.born = s.started.Unix()*1000 + int64(s.started.Nanosecond())/1e6 // a time of day, as the pages say
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	s.report()
}

// report writes the server's entry, which changes only if more than its sequence has changed.
func (s *server) report() time.Time {
	s.mu.Lock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	warm := max(0, s.warmup-time.Since(s.started))
	entry := map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "max-concurrency": s.slots,
		"state": state, "warmup-left-ms": warm.Milliseconds(), "sequence": s.sequence, "born": s.born}
	s.mu.Unlock()
	return s.store.put("servers/"+s.id, entry)
}

// exit ends the server.
func (s *server) exit() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
	s.record.line("server %s exits", s.id)
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	copied, copiedID := "", "" // a copy of an earlier answer that is still to arrive
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if copied != "" {
			s.record.line("server %s: the late copy for %s arrives where the answer to %s is due", s.id, copiedID, request.Header.Get("Request-Id"))
			if _, err := io.WriteString(conn, copied); err != nil {
				return
			}
			copied = ""
		}
		answer := s.answer(request)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if request.URL.Path != "/health" && s.late != nil && s.late() {
			copied, copiedID = answer, request.Header.Get("Request-Id")
			s.record.line("server %s answers %s a second time, late", s.id, request.Header.Get("Request-Id"))
		}
	}
}

// answer runs a request, if it has a slot, and returns the answer.
func (s *server) answer(r *http.Request) string {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		return s.text(200, "", "Instance-Id: "+s.id+"\r\n", "")
	}
	s.runs.arrive(id, s.id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		return s.text(421, id, "Instance-Id: "+s.id+"\r\n", "")
	}
	if !s.enter() {
		s.record.line("server %s refuses %s as not run", s.id, id)
		return s.text(503, id, "Not-Executed: 1\r\n", "")
	}
	defer s.leave()
	s.runs.add(id, s.id)
	s.record.line("server %s runs %s", s.id, id)
	if s.poison != "" && r.URL.Path == s.poison {
		s.exit()
		s.crashed(s, id)
		return ""
	}
	time.Sleep(s.work())
	seal := fmt.Sprintf("%s.%08x", id, rand.Uint32())
	return s.text(200, id, "Response-Seal: "+seal+"\r\n", "body of "+id)
}

func (s *server) text(status int, id, header, body string) string {
	var text strings.Builder
	text.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	if id != "" {
		text.WriteString("Request-Id: " + id + "\r\n")
	}
	s.mu.Lock()
	text.WriteString(fmt.Sprintf("Server-Load: %d,%d,%d\r\n", s.running, len(s.waiting), s.slots))
	s.mu.Unlock()
	text.WriteString(header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	return text.String()
}

// enter waits for a slot. It returns false if the queue is full.
func (s *server) enter() bool {
	s.mu.Lock()
	if s.running < s.slots {
		s.running++
		s.mu.Unlock()
		return true
	}
	if len(s.waiting) >= s.queue {
		s.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	<-turn
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	s.running--
}
