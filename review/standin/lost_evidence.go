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

const (
	poisonPath = "/finder/poison"
	// poisonRounds is how often the request that crashes servers comes. All hosts are killed between two times.
	poisonRounds = 5
	// poisonEvery is the time from one to the next: the hosts are in touch again 4 s after they have started.
	poisonEvery = 10 * time.Second
	// backAfter is when a crashed server is back; lapseAfter is when its entry is removed: three heartbeats of 1.2 s.
	backAfter  = 3 * time.Second
	lapseAfter = 3600 * time.Millisecond
)

// lostEvidence checks BUDGET for a request that crashes servers, while all hosts are killed now and then.
func lostEvidence(rec *record, trouble bool) (bool, error) {
	st, counted := startStore(rec), newRuns()
	var mu sync.Mutex
	var crashes []time.Time
	number := 0
	var start func()
	start = func() {
		mu.Lock()
		number++
		s := &server{id: fmt.Sprintf("i-%08x", number), service: "finder", zone: "kochi", slots: 6, queue: 36, store: st, record: rec, runs: counted,
			work: func() time.Duration { return 14*time.Millisecond + rand.N(28*time.Millisecond) }, poison: poisonPath}
		if number > 12 {
			s.warmup = 3 * time.Second
		}
		mu.Unlock()
		s.crashed = func(s *server, id string) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			rec.say("request %s crashes server %s, the %d. time", id, s.id, len(crashes))
			mu.Unlock()
			time.AfterFunc(lapseAfter, func() { st.remove("servers/" + s.id) })
			time.AfterFunc(backAfter, start)
		}
		s.start()
		if s.warmup > 0 {
			time.AfterFunc(s.warmup, func() { s.report() })
		}
	}
	for range 12 {
		start()
	}
	st.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "r-f", "host": "hufi27.example", "prefix": "/finder/", "route-type": "idempotent",
			"timeout-ms": 3000, "target-latency-ms": 200, "priority": 1, "service": "finder", "max-attempts": 2}},
		"services": []any{map[string]any{"name": "finder", "health-path": "/health", "max-connections": 90, "protocol": "h1", "tls": false,
			"warmup-s": 3.0, "warmup-per-s": 0.0}},
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	f := startFleet(rec, st.address, "kochi", "kochi", "kollam", "kollam")
	defer f.stop()
	if !f.awaitReady(10 * time.Second) {
		return false, errors.New("the hosts are not ready")
	}
	c := &clients{record: rec}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sending sync.WaitGroup
	for _, h := range f.hosts {
		sending.Go(func() { c.steady(ctx, &sending, h) })
	}
	poisoned := map[string]bool{}
	for round := range poisonRounds {
		time.Sleep(poisonEvery - 2*time.Second)
		s, _ := c.call(newClient(), f.hosts[round%len(f.hosts)], http.MethodGet, poisonPath, 3*time.Second)
		poisoned[s.id] = true
		rec.say("the request that crashes servers gets %d", s.status)
		time.Sleep(time.Second)
		switch {
		case round == poisonRounds-1:
		case trouble:
			f.killAll(rec, time.Second)
		default:
			time.Sleep(time.Second)
		}
	}
	cancel()
	sending.Wait()
	counted.mu.Lock()
	defer counted.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, a := range counted.arrivals {
		if poisoned[a.id] && len(crashes) >= 3 && a.at.After(crashes[2].Add(stableWindow)) {
			late++
			rec.line("BUDGET: %s reached %s %.3f s after the third crash", a.id, a.server, a.at.Sub(crashes[2]).Seconds())
		}
	}
	answered := 0
	for _, s := range c.all {
		if s.status == http.StatusOK {
			answered++
		}
	}
	rec.say("%d servers crashed; the request reached servers %d times later than %v after the third crash", len(crashes), late, stableWindow)
	rec.say("%d requests, %d answered with 200", len(c.all), answered)
	if answered == 0 || len(crashes) == 0 {
		return false, errors.New("no request was answered, or no server crashed")
	}
	return late > 3, nil
}
