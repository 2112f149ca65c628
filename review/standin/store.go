package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pageItems is the number of items on a page of a listing.
const pageItems = 50

// storeAnswer is how long the store takes for an answer, when it is not slow.
const storeAnswer = 4 * time.Millisecond

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store, after PROTOCOL.md. The operator and the servers write to it by
// put and remove; the return of these is the acknowledgement.
type store struct {
	address string
	record  *record
	// slowness is how many times as long as usual the store takes for an answer.
	slowness atomic.Int64

	mu       sync.Mutex
	revision uint64
	// floor is the revision up to which the history is discarded.
	floor     uint64
	items     map[string]item
	events    []item
	changed   chan struct{}
	lastLease uint64
	leases    map[uint64]*lease
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func startStore(rec *record) *store {
	s := &store{record: rec, revision: 10, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]*lease{}}
	listener, err := net.Listen("tcp", loopback+":0")
	check(err)
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.getKey)
	mux.HandleFunc("GET /api/kv-range", s.getRange)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswer * time.Duration(max(1, s.slowness.Load())))
		mux.ServeHTTP(w, r)
	}))
	return s
}

// put writes a key for the operator or a server.
func (s *store) put(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, encoded, 0)
	return time.Now()
}

// remove removes a key for the operator or a server.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(key)
	return time.Now()
}

// discardHistory makes the store forget all changes so far.
func (s *store) discardHistory() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.events = s.revision, nil
	return time.Now()
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if before, ok := s.items[key]; ok {
		i.Created = before.Created
	}
	s.items[key] = i
	s.notify(i)
}

func (s *store) erase(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.notify(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) notify(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
	s.record.line("store rev=%d %s removed=%t", event.Revision, event.Key, event.Tombstone)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created,
		"lease": i.Lease, "store-revision": s.revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "has-more": more, "store-revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		found := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": found, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string
			Revision uint64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []item{}, false
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != e.Revision
	}
	for _, e := range t.Writes {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, e := range t.Writes {
		s.write(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Deletes {
		s.erase(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var g struct {
		TTL int64 `json:"ttl-ms"`
	}
	json.NewDecoder(r.Body).Decode(&g)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id, ttl := s.lastLease, time.Duration(g.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": g.TTL})
}

func (s *store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.erase(key)
		}
	}
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Reset(l.ttl) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.expire(id)
	w.WriteHeader(http.StatusOK)
}
