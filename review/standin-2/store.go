package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It speaks the calls of the platform's protocol page.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]time.Time
	changed  chan struct{}
	isDown   bool
	// lapses means that leases run out while the store is down; otherwise they pause.
	lapses bool
}

// item is a key with its value, or the removal of a key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// newStore starts a store on a free port.
func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), revision: 10, items: map[string]item{}, leases: map[uint64]time.Time{},
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.getKey)
	mux.HandleFunc("GET /api/kv-range", s.getRange)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.transact)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(listener, s.unlessDown(mux)) }() // it ends with the process
	go s.expireLeases()
	return s, nil
}

// unlessDown answers 503 while the store is down. Watches that wait are cut at that moment.
func (s *store) unlessDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *store) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown
}

// setDown ends or restores the service of the store.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = down
	if !down && !s.lapses {
		for id := range s.leases {
			s.leases[id] = s.leases[id].Add(10 * time.Second)
		}
	}
	s.notify()
}

// put writes a key for the operator or a server. It returns false while the store is down.
func (s *store) put(key string, value any) bool {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return false
	}
	s.revision++
	s.write(key, encoded, 0)
	s.notify()
	return true
}

// write sets a key at the current revision. The caller holds s.mu.
func (s *store) write(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.events = append(s.events, s.items[key])
}

// remove removes a key at the current revision. The caller holds s.mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

// notify wakes the watches. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		if !s.isDown || s.lapses {
			for id, end := range s.leases {
				if time.Now().After(end) {
					s.dropLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

// dropLease ends a lease and removes its keys. The caller holds s.mu.
func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, held := range s.items {
		if held.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"store-revision": s.revision})
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"key": found.Key, "value": found.Value, "revision": found.Revision, "created": found.Created, "lease": found.Lease,
		"store-revision": s.revision,
	})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, held := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, held)
		}
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "store-revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
				events = append(events, event)
			}
		}
		revision, changed, isDown := s.revision, s.changed, s.isDown
		s.mu.Unlock()
		if isDown {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range call.Expect {
		if s.items[expected.Key].Revision != expected.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[expected.Key]}})
			return
		}
	}
	for _, written := range call.Writes {
		if _, ok := s.leases[written.Lease]; written.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, written := range call.Writes {
		s.write(written.Key, written.Value, written.Lease)
	}
	for _, key := range call.Deletes {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTLMS int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision<<8 | 1
	s.leases[id] = time.Now().Add(time.Duration(call.TTLMS) * time.Millisecond)
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": call.TTLMS})
}

// renewal is the length of a renewed lease: that of the slots, the only leases that the system renews.
const renewal = 9 * time.Second

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.leases[id] = time.Now().Add(renewal)
	answer(w, http.StatusOK, map[string]any{"ttl-ms": renewal.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.dropLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
