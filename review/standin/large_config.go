package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The figures are those of SYSTEM.md and DEPLOY.md.
const (
	valueBytes  = 1048576
	configApply = 3 * time.Second
	// storeTransfer is the time of valueBytes at the store's 1,000 Mbit/s.
	storeTransfer = 9 * time.Millisecond
	largeRate     = 25.0 // requests a second at each host
	largeEvery    = 4500 * time.Millisecond
	largeRounds   = 16
	// smallRoutes and largeRoutes are the numbers of idle routes without the disruption and with it.
	smallRoutes = 350
	largeRoutes = 5200
)

// largeConfig checks CONFIG while the operator changes a configuration that is as large as the store takes.
func largeConfig(rec *record, trouble bool) (bool, error) {
	st, counted := startStore(rec), newRuns()
	for i := range 8 {
		s := &server{id: fmt.Sprintf("i-%08x", i+1), service: "finder", zone: "kochi", slots: 6, queue: 36, store: st, record: rec, runs: counted,
			work: func() time.Duration { return 5*time.Millisecond + rand.N(10*time.Millisecond) }}
		s.start()
	}
	idle, size := smallRoutes, 0
	if trouble {
		idle, size = largeRoutes, valueBytes
	}
	st.put("op/config", largeDocument(1, idle, size))
	f := startFleet(rec, st.address, "alappuzha", "alappuzha", "alappuzha", "alappuzha", "kochi", "kochi", "kochi", "kochi",
		"kollam", "kollam", "kottayam", "kottayam")
	defer f.stop()
	if !f.awaitReady(15 * time.Second) {
		return false, errors.New("the hosts are not ready")
	}
	time.Sleep(8 * time.Second) // all are settled
	c := &clients{record: rec}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sending sync.WaitGroup
	var newest versions
	newest.set(1, time.Now())
	late, total := map[string]int{}, 0
	var mu sync.Mutex
	for _, h := range f.hosts {
		sending.Go(func() {
			client := newClient()
			client.Transport.(*http.Transport).MaxIdleConnsPerHost = 64
			for ctx.Err() == nil {
				time.Sleep(time.Duration(rand.ExpFloat64() / largeRate * float64(time.Second)))
				sending.Go(func() {
					version, acknowledged := newest.get()
					s, _ := c.call(client, h, http.MethodGet, fmt.Sprintf("/version%d/2f", version), 3*time.Second)
					mu.Lock()
					defer mu.Unlock()
					total++
					if s.status == http.StatusNotFound && s.at.Sub(acknowledged) > configApply {
						late[h.name]++
						rec.line("CONFIG: %s, sent to %s %.3f s after version %d was acknowledged, got 404", s.id, h.name,
							s.at.Sub(acknowledged).Seconds(), version)
					}
				})
			}
		})
	}
	for version := 2; version < 2+largeRounds; version++ {
		time.Sleep(largeEvery + rand.N(time.Second))
		document := largeDocument(version, idle, size)
		st.put("op/config", document)
		time.Sleep(storeAnswer + storeTransfer) // the operator gets the acknowledgement then
		newest.set(version, time.Now())
		rec.say("version %d, %d bytes, is acknowledged", version, len(document))
	}
	time.Sleep(largeEvery)
	cancel()
	sending.Wait()
	broken := 0
	for _, h := range f.hosts {
		rec.say("%s: %d requests, sent later than %v after the acknowledgement, were refused as an older version tells", h.name, late[h.name], configApply)
		broken += late[h.name]
	}
	answered := 0
	for _, s := range c.all {
		if s.status == http.StatusOK {
			answered++
		}
	}
	rec.say("%d requests, %d answered with 200", total, answered)
	if answered == 0 {
		return false, errors.New("no request was answered")
	}
	return broken > 0, nil
}

// versions is the newest version with the time of its acknowledgement.
type versions struct {
	mu           sync.Mutex
	version      int
	acknowledged time.Time
}

func (v *versions) set(version int, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.version, v.acknowledged = version, at
}

func (v *versions) get() (int, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version, v.acknowledged
}

// largeDocument returns a configuration with a route of its version's own, that of the version before, and idle routes. If size is not 0, the name of
// the last route is as long as it takes to reach it.
func largeDocument(version, idle, size int) json.RawMessage {
	route := func(name, prefix string) any {
		return map[string]any{"name": name, "host": "hufi27.example", "prefix": prefix, "route-type": "idempotent", "timeout-ms": 3000,
			"target-latency-ms": 200, "priority": 1, "service": "finder", "max-attempts": 2}
	}
	routes := []any{}
	for v := max(1, version-1); v <= version; v++ { // a request that was sent just before the change is proper, too
		routes = append(routes, route(fmt.Sprintf("r-version%d", v), fmt.Sprintf("/version%d/", v)))
	}
	for i := range idle {
		routes = append(routes, route(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/idle%d/no%d/", i, i%97)))
	}
	encode := func(padding int) []byte {
		all := append(routes[:len(routes):len(routes)], route("r-last"+strings.Repeat("x", padding), "/last/"))
		encoded, err := json.Marshal(map[string]any{"version": version, "routes": all,
			"services": []any{map[string]any{"name": "finder", "health-path": "/health", "max-connections": 900, "protocol": "h1", "tls": false,
				"warmup-s": 3.0, "warmup-per-s": 0.0}},
			"limits": map[string]any{"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
		check(err)
		return encoded
	}
	encoded := encode(0)
	if size == 0 {
		return encoded
	}
	if len(encoded) > size {
		fail("%d bytes are more than %d", len(encoded), size)
	}
	return encode(size - len(encoded))
}
