package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The figures are within those of the site file vpc-search: `garble` with how = "extra late" has at most share 0.6, x 0.05
// and 5.8 s there, a server of warranty-desk has 2 slots and a queue of 8, and dealer-lookup takes 28 ms.
const (
	lateSlots    = 2
	lateQueue    = 4
	lateWork     = 28 * time.Millisecond
	lateRate     = 60.0 // requests a second for each service, about what its server can take
	lateX        = 0.05
	lateFor      = 5800 * time.Millisecond
	latePause    = 500 * time.Millisecond
	lateRounds   = 12
	lateDeadline = 15 * time.Second
)

// lateServices are two small services with one server each. The first server is the one that garbles: share 0.5.
var lateServices = []string{"warranty", "hire"}

// lateCopy checks TWICE and REFUSED while servers send some answers a second time, late.
func lateCopy(rec *record, trouble bool) (bool, error) {
	st, counted := startStore(rec), newRuns()
	var garbling atomic.Bool
	var routes, services []any
	for i, service := range lateServices {
		s := &server{id: fmt.Sprintf("i-%08x", i+1), service: service, zone: "kochi", slots: lateSlots, queue: lateQueue,
			store: st, record: rec, runs: counted, work: func() time.Duration { return lateWork/2 + rand.N(lateWork) }}
		if i == 0 {
			s.late = func() bool { return garbling.Load() && rand.Float64() < lateX }
		}
		s.start()
		routes = append(routes, map[string]any{"name": "r-" + service, "host": "hufi27.example", "prefix": "/" + service + "/",
			"route-type": "non_idempotent", "timeout-ms": 15000, "target-latency-ms": 800, "priority": 2, "service": service, "max-attempts": 2})
		services = append(services, map[string]any{"name": service, "health-path": "/health", "max-connections": 68, "protocol": "h1",
			"tls": false, "warmup-s": 3.0, "warmup-per-s": 0.0})
	}
	st.put("op/config", map[string]any{"version": 3, "routes": routes, "services": services,
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
	f := startFleet(rec, st.address, "kochi", "kochi", "kollam", "kollam")
	defer f.stop()
	if !f.awaitReady(10 * time.Second) {
		return false, errors.New("the hosts are not ready")
	}
	c := &clients{record: rec}
	var sending sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, h := range f.hosts {
		for _, service := range lateServices {
			sending.Go(func() { c.arrive(ctx, &sending, h, "/"+service+"/2f", lateRate/float64(len(f.hosts))) })
		}
	}
	time.Sleep(3 * time.Second)
	for range lateRounds {
		garbling.Store(trouble)
		time.Sleep(lateFor)
		garbling.Store(false)
		time.Sleep(latePause)
	}
	cancel()
	sending.Wait()
	time.Sleep(5 * time.Second) // what still waits at a server runs
	twice, refused, answered := 0, 0, 0
	counted.mu.Lock()
	defer counted.mu.Unlock()
	for _, s := range c.all {
		ran := counted.ran[s.id]
		if s.status == http.StatusOK {
			answered++
		}
		if len(ran) > 1 {
			twice++
			rec.say("TWICE: %s ran at %v; its client got %d", s.id, ran, s.status)
		}
		if (s.status == 503 || s.status == 429) && len(ran) > 0 {
			refused++
			rec.say("REFUSED: %s was answered %d and ran at %v", s.id, s.status, ran)
		}
	}
	rec.say("%d requests, %d answered with 200, %d ran more than once, %d refused though they ran", len(c.all), answered, twice, refused)
	if answered == 0 {
		return false, errors.New("no request was answered")
	}
	return twice+refused > 0, nil
}

// arrive lets requests arrive at random times, each on a connection of its own or one that is free.
func (c *clients) arrive(ctx context.Context, sending *sync.WaitGroup, h *host, path string, perSecond float64) {
	client := newClient()
	client.Transport.(*http.Transport).MaxIdleConnsPerHost = 64
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		sending.Go(func() { c.post(client, h, path) })
	}
}

// post sends a request, and once again after a refusal, with an id of its own.
func (c *clients) post(client *http.Client, h *host, path string) {
	first, after := c.call(client, h, http.MethodPost, path, lateDeadline)
	if first.status == http.StatusServiceUnavailable {
		time.Sleep(after)
		c.call(client, h, http.MethodPost, path, lateDeadline-after)
	}
}
