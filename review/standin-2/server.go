package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath = "/health"
	// bodyBytes is the length of an answer: 25 records.
	bodyBytes = 400
)

// server is a stand-in of one server of a service. It serves one request at a time on a connection.
type server struct {
	id       string
	service  string
	slots    int
	queue    int // requests that wait for a slot at most; further ones are shed
	work     time.Duration
	born     time.Time
	record   *record
	listener net.Listener
	running  chan struct{}
	// inTrouble means that the server breaks off its answers, and that its answers to health checks have no end.
	inTrouble atomic.Bool
	// reports counts what the server has written to the store.
	reports int

	mu        sync.Mutex
	coldUntil time.Time
	// admitted counts the requests that wait or run.
	admitted int
	arrivals []arrival
}

// arrival is a request that has reached the server, other than those for another instance and health checks.
type arrival struct {
	id string
	at time.Time
	// isCold tells whether the server was cold.
	isCold bool
}

// entry is what a server says of itself in the store.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"max-concurrency"`
	State    string `json:"state"`
	ColdMS   int64  `json:"warmup-left-ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

func newServer(r *record, name string, number int, of *service) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: fmt.Sprintf("i-%s-%d", name, number), service: name, slots: of.slots, queue: of.queue, work: of.work, born: time.Now(), record: r,
		listener: listener, running: make(chan struct{}, of.slots),
	}
	go s.accept()
	return s, nil
}

// entry returns the next report of the server.
func (s *server) entry() entry {
	s.reports++
	return entry{
		Service: s.service, Address: s.listener.Addr().String(), Zone: "zone-1", Version: "v1", Slots: s.slots, State: "ready",
		ColdMS: s.coldLeft().Milliseconds(), Sequence: s.reports, Born: unixMS(s.born),
	}
}

// unixMS returns the time since the Unix epoch in ms, as servers state their start. It tells starts apart and measures nothing.
func unixMS(t time.Time) int64 { return t.Unix()*1000 + int64(t.Nanosecond()/int(time.Millisecond)) }

// coldLeft returns how long the server stays cold.
func (s *server) coldLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, time.Until(s.coldUntil))
}

// becomeCold makes the server cold for a time.
func (s *server) becomeCold(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(length)
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
			if writeAnswer(conn, http.StatusMisdirectedRequest, "Instance-Id: "+s.id+"\r\n", "") != nil {
				return
			}
			continue
		}
		if !s.answer(conn, request) {
			return
		}
	}
}

// answer answers a request to this instance. It returns false if the connection can't be used any more.
func (s *server) answer(conn net.Conn, request *http.Request) bool {
	if s.inTrouble.Load() {
		s.answerInTrouble(conn, request)
		return false
	}
	load := fmt.Sprintf("Instance-Id: %s\r\nServer-Load: %d,0,%d\r\n", s.id, len(s.running), s.slots)
	if request.URL.Path == healthPath {
		if left := s.coldLeft(); left > 0 {
			load += fmt.Sprintf("Warmup-Ms: %d\r\n", left.Milliseconds())
		}
		return writeAnswer(conn, http.StatusOK, load, "") == nil
	}
	id := request.Header.Get("Request-Id")
	load += "Request-Id: " + id + "\r\n"
	if !s.admit(id) {
		s.record.add("%s sheds %s", s.id, id)
		return writeAnswer(conn, http.StatusServiceUnavailable, load+"Not-Executed: 1\r\n", "") == nil
	}
	s.running <- struct{}{}
	s.record.add("%s runs %s", s.id, id)
	time.Sleep(s.work)
	<-s.running
	s.leave()
	return writeAnswer(conn, http.StatusOK, load+"Response-Seal: "+s.id+"."+id+"\r\n", strings.Repeat("r", bodyBytes)) == nil
}

// admit records the arrival of a request and reports whether there is room for it.
func (s *server) admit(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{id, time.Now(), time.Now().Before(s.coldUntil)})
	if s.admitted >= s.slots+s.queue {
		return false
	}
	s.admitted++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
}

// arrived returns the requests that have reached the server.
func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func writeAnswer(conn net.Conn, status int, header, body string) error {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err
}

const (
	// quickBytes of an answer without end come at the speed of the link, the rest slowly.
	quickBytes = 8<<20 - 64<<10
	slowBytes  = 1 << 10
	slowPause  = 100 * time.Millisecond
)

// answerInTrouble answers a health check without end, until the caller closes, and breaks off the answer to a request.
func (s *server) answerInTrouble(conn net.Conn, request *http.Request) {
	if request.URL.Path != healthPath {
		s.record.add("%s breaks off its answer to %s", s.id, request.Header.Get("Request-Id"))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le") // the caller may have left
		return
	}
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
	chunk := []byte(strings.Repeat("x", 64<<10))
	sent := 0
	for ; err == nil && sent < quickBytes; sent += len(chunk) {
		_, err = conn.Write(chunk)
	}
	for ; err == nil; sent += slowBytes {
		time.Sleep(slowPause)
		_, err = conn.Write(chunk[:slowBytes])
	}
	s.record.add("%s answered a health check with %d bytes until the caller closed", s.id, sent)
}
