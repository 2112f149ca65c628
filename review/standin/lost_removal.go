package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The figures are those of the site file vpc-search and of DEPLOY.md.
const (
	removalServers = 4
	removalRate    = 10.0 // requests a second at each host
	drain          = 3 * time.Second
	stableWindow   = 4 * time.Second
	// lingering is how long the server that leaves goes on serving: drain and "a little longer (at times many seconds)".
	lingering       = 15 * time.Second
	removalDeadline = 3 * time.Second
)

// lostRemoval checks DRAIN after the store has discarded its history.
func lostRemoval(rec *record, trouble bool) (bool, error) {
	st, counted := startStore(rec), newRuns()
	var servers []*server
	for i := range removalServers {
		s := &server{id: fmt.Sprintf("i-%08x", i+1), service: "finder", zone: "kochi", slots: 6, queue: 36, store: st, record: rec, runs: counted,
			work: func() time.Duration { return 14*time.Millisecond + rand.N(28*time.Millisecond) }}
		s.start()
		servers = append(servers, s)
	}
	config := func(version, timeout int) any {
		return map[string]any{
			"version": version,
			"routes": []any{map[string]any{"name": "r-f", "host": "hufi27.example", "prefix": "/finder/", "route-type": "idempotent",
				"timeout-ms": timeout, "target-latency-ms": 200, "priority": 1, "service": "finder", "max-attempts": 2}},
			"services": []any{map[string]any{"name": "finder", "health-path": "/health", "max-connections": 90, "protocol": "h1", "tls": false,
				"warmup-s": 3.0, "warmup-per-s": 0.0}},
			"limits": map[string]any{"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		}
	}
	st.put("op/config", config(3, 3000))
	f := startFleet(rec, st.address, "alappuzha", "alappuzha", "kochi", "kochi", "kollam", "kollam", "kottayam", "kottayam")
	defer f.stop()
	if !f.awaitReady(10 * time.Second) {
		return false, errors.New("the hosts are not ready")
	}
	time.Sleep(8 * time.Second) // all are settled
	c := &clients{record: rec}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sending sync.WaitGroup
	for _, h := range f.hosts {
		sending.Go(func() { c.steady(ctx, &sending, h) })
	}
	time.Sleep(5 * time.Second)

	// The operator changes a timeout. A moment later a server leaves without reporting that it drains: its entry is removed.
	st.put("op/config", config(5, 2900))
	time.Sleep(100 * time.Millisecond)
	leaving := servers[0]
	gone := st.remove("servers/" + leaving.id)
	rec.say("server %s has left the store; it goes on serving for %v", leaving.id, lingering)
	settled := gone.Add(drain)
	if trouble {
		time.Sleep(50 * time.Millisecond)
		discarded := st.discardHistory()
		rec.say("the store has discarded its history, %v later", discarded.Sub(gone).Round(time.Millisecond))
		// The store is stable, and the hosts are in touch, from then on.
		settled = discarded.Add(stableWindow)
	}
	time.Sleep(time.Until(gone.Add(lingering)))
	cancel()
	sending.Wait()
	leaving.exit()

	byID := map[string]sent{}
	answered := 0
	for _, s := range c.all {
		byID[s.id] = s
		if s.status == http.StatusOK {
			answered++
		}
	}
	late := map[string]int{}
	counted.mu.Lock()
	defer counted.mu.Unlock()
	for _, a := range counted.arrivals {
		s, ok := byID[a.id]
		if ok && a.server == leaving.id && s.at.After(settled) && a.at.After(gone.Add(drain)) {
			late[s.host]++
			rec.line("DRAIN: %s, sent to %s %.3f s after the removal, reached %s", a.id, s.host, s.at.Sub(gone).Seconds(), a.server)
		}
	}
	total := 0
	for _, h := range f.hosts {
		rec.say("%s: %d requests, sent later than %.2f s after the removal, reached %s", h.name, late[h.name], settled.Sub(gone).Seconds(), leaving.id)
		total += late[h.name]
	}
	rec.say("%d requests, %d answered with 200", len(c.all), answered)
	if answered == 0 {
		return false, errors.New("no request was answered")
	}
	return total > 0, nil
}

// steady sends requests to a host at random times.
func (c *clients) steady(ctx context.Context, sending *sync.WaitGroup, h *host) {
	client := newClient()
	client.Transport.(*http.Transport).MaxIdleConnsPerHost = 64
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / removalRate * float64(time.Second)))
		sending.Go(func() { c.call(client, h, http.MethodGet, "/finder/2f", removalDeadline) })
	}
}
