package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md tells it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []event
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
	// cutOff is closed when the store falls silent.
	cutOff chan struct{}
	// compacted is the revision up to which the history is gone.
	compacted uint64
	// refuse, if set, is asked before each call of a gateway. It returns the status to refuse the call with, -1 to answer nothing until
	// the caller leaves, and 0 to serve it.
	refuse func(gateway string) int
	// delay, if set, returns by how much answers are late.
	delay func() time.Duration
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	item
	Tombstone bool `json:"tombstone,omitempty"`
	at        time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, nextID: 10, changed: make(chan struct{}), cutOff: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) put(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = it
	s.append(event{item: it})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.append(event{item: item{Key: key, Revision: s.revision}, Tombstone: true})
}

func (s *store) append(e event) {
	e.at = time.Now()
	s.history = append(s.history, e)
	s.compact()
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a document of the operator or of a server.
func (s *store) set(key string, document any) {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// serve serves one gateway at an address of its own, so that it can be refused alone.
func (s *store) serve(gateway string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(gateway, w, r) }))
	return l.Addr().String()
}

func answer(w http.ResponseWriter, status int, document any) {
	if s, ok := w.(*slowWriter); ok {
		time.Sleep(s.delay)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}

// slowWriter delays the answer to a call.
type slowWriter struct {
	http.ResponseWriter
	delay time.Duration
}

func (s *store) handle(gateway string, w http.ResponseWriter, r *http.Request) {
	if s.delay != nil {
		w = &slowWriter{ResponseWriter: w, delay: s.delay()}
	}
	if s.refuse != nil {
		switch status := s.refuse(gateway); {
		case status < 0:
			<-r.Context().Done()
			return
		case status > 0:
			answer(w, status, struct{}{})
			return
		}
	}
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/api/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			answer(w, 404, struct{}{})
			return
		}
		answer(w, 200, it)
	case r.URL.Path == "/api/kv-range":
		s.handleRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.handleWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/api/kv-txn":
		s.handleTxn(w, r)
	case r.URL.Path == "/api/kv-lease":
		var body struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		ttl := time.Duration(min(max(body.TTL, 1000), 600000)) * time.Millisecond
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, 200, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/api/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			answer(w, 404, struct{}{})
			return
		}
		answer(w, 200, map[string]any{"lease": id, "ttl-ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/api/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, 200, struct{}{})
	default:
		answer(w, 404, struct{}{})
	}
}

func (s *store) handleRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var found []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > 500
	if more {
		found = found[:500]
	}
	if found == nil {
		found = []item{}
	}
	answer(w, 200, map[string]any{"items": found, "has-more": more, "store-revision": revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed, gone := s.revision, s.changed, after < s.compacted
		s.mu.Unlock()
		if gone {
			answer(w, 410, struct{}{})
			return
		}
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-s.cuts():
			<-r.Context().Done() // the store has fallen silent: this call gets no answer
			return
		case <-changed:
		case <-deadline.C:
			answer(w, 200, map[string]any{"events": events, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Writes  []item   `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		answer(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range txn.Expect {
		it := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if it.Revision > 0 {
			current = append(current, it)
		}
	}
	if !holds {
		answer(w, 412, map[string]any{"items": current})
		return
	}
	for _, it := range txn.Writes {
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			answer(w, 404, struct{}{})
			return
		}
		if strings.HasPrefix(it.Key, "op/") || strings.HasPrefix(it.Key, "servers/") {
			answer(w, 403, struct{}{})
			return
		}
	}
	for _, it := range txn.Writes {
		s.put(it.Key, it.Value, it.Lease)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	answer(w, 200, map[string]any{"revision": s.revision})
}

// size returns the bytes of a value.
func (s *store) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}

// historySeconds is how long the store keeps its history.
const historySeconds = 20

// compact drops the history that is older than that. It is called with the store's mutex held.
func (s *store) compact() {
	oldest := time.Now().Add(-historySeconds * time.Second)
	first := 0
	for first < len(s.history) && s.history[first].at.Before(oldest) {
		s.compacted = s.history[first].Revision
		first++
	}
	s.history = s.history[first:]
}

func (s *store) cuts() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutOff
}

// cut lets the calls that wait for changes go without an answer.
func (s *store) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cutOff)
	s.cutOff = make(chan struct{})
}
