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

// The figures are within those of SYSTEM.md and of the site file vpc-search.
const (
	evacuate      = 5 * time.Second
	evacuationFor = 20 * time.Second
	// otherServers is the number of servers of a service that gets no requests. The site has 147 servers in all.
	otherServers = 140
	// newServers start while the store is slow, newEvery apart: `scale_out` has share 0.3.
	newServers = 44
	newEvery   = 20 * time.Millisecond
	// slowX and slowFor are the slowness of the store: `platform_slow` has at most x = 98 and 5.5 s.
	slowX   = 30
	slowFor = 3 * time.Second
	// discardAt and evacuateAt are counted from the first new server.
	discardAt  = 100 * time.Millisecond
	evacuateAt = 600 * time.Millisecond
)

// lostEvacuation checks EVAC after the store, while it was slow, has discarded its history.
func lostEvacuation(rec *record, trouble bool) (bool, error) {
	st, counted := startStore(rec), newRuns()
	zoneOf := map[string]string{}
	start := func(service, zone string) *server {
		s := &server{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, slots: 6, queue: 36, store: st, record: rec, runs: counted,
			work: func() time.Duration { return 14*time.Millisecond + rand.N(28*time.Millisecond) }}
		zoneOf[s.id] = zone
		s.start()
		return s
	}
	zones := []string{"alappuzha", "kochi", "kollam", "kottayam"}
	for i := range 8 {
		start("finder", zones[i%len(zones)])
	}
	for i := range otherServers {
		start("other", zones[i%len(zones)])
	}
	service := func(name string) any {
		return map[string]any{"name": name, "health-path": "/health", "max-connections": 90, "protocol": "h1", "tls": false, "warmup-s": 3.0,
			"warmup-per-s": 0.0}
	}
	st.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "r-f", "host": "hufi27.example", "prefix": "/finder/", "route-type": "idempotent",
			"timeout-ms": 3000, "target-latency-ms": 200, "priority": 1, "service": "finder", "max-attempts": 2}},
		"services": []any{service("finder"), service("other")},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	f := startFleet(rec, st.address, "alappuzha", "alappuzha", "alappuzha", "alappuzha", "kochi", "kochi", "kochi", "kochi")
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

	slowUntil := time.Now()
	if trouble {
		st.slowness.Store(slowX)
		slowUntil = slowUntil.Add(slowFor)
		time.AfterFunc(slowFor, func() { st.slowness.Store(1) })
		rec.say("the store is slow, %d times, for %v", slowX, slowFor)
		time.Sleep(500 * time.Millisecond)
	}
	began := time.Now()
	var starting sync.WaitGroup
	starting.Go(func() {
		for i := range newServers {
			start("other", zones[i%len(zones)])
			time.Sleep(newEvery)
		}
	})
	if trouble {
		time.Sleep(time.Until(began.Add(discardAt)))
		st.discardHistory()
		rec.say("the store has discarded its history")
	}
	time.Sleep(time.Until(began.Add(evacuateAt)))
	acknowledged := st.put("op/evacuate/kochi", map[string]any{})
	rec.say("kochi is evacuated, %v after the first new server", acknowledged.Sub(began).Round(time.Millisecond))
	starting.Wait()
	settled := acknowledged.Add(evacuate)
	if touch := slowUntil.Add(stableWindow); trouble && touch.After(settled) {
		settled = touch
	}
	time.Sleep(time.Until(acknowledged.Add(evacuationFor)))
	cancel()
	sending.Wait()

	byID := map[string]sent{}
	answered := 0
	for _, s := range c.all {
		byID[s.id] = s
		if s.status == http.StatusOK {
			answered++
		}
	}
	late, total := map[string]int{}, 0
	counted.mu.Lock()
	defer counted.mu.Unlock()
	for _, a := range counted.arrivals {
		s, ok := byID[a.id]
		if ok && zoneOf[a.server] == "kochi" && s.at.After(settled) {
			late[s.host]++
			total++
			rec.line("EVAC: %s, sent to %s %.3f s after the evacuation, reached %s in kochi", a.id, s.host, s.at.Sub(acknowledged).Seconds(), a.server)
		}
	}
	for _, h := range f.hosts {
		rec.say("%s: %d requests, sent later than %.2f s after the evacuation, reached servers in kochi", h.name, late[h.name],
			settled.Sub(acknowledged).Seconds())
	}
	rec.say("%d requests, %d answered with 200", len(c.all), answered)
	if answered == 0 {
		return false, errors.New("no request was answered")
	}
	return total > 0, nil
}
