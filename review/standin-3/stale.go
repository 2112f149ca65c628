package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// staleRoutes is the largest number of routes by which a site's configuration grows at once.
	staleRoutes = 1772
	staleRate   = 80 // requests a second
	staleBefore = 3 * time.Second
	staleAfter  = 12 * time.Second
)

// playStale: configurations come in quick succession, and the last of them moves the route to another service. One of four gateways of
// the zone is no relay.
func playStale(p *play) int {
	c := configuration{version: 10, kind: "idempotent", timeoutMS: 4000, service: serviceA, more: staleRoutes}
	c.write(p.store)
	p.record.note("the configuration has %d routes and %d bytes", staleRoutes+1, p.store.size("op/config"))
	services := map[string]string{}
	for i, service := range []string{serviceA, serviceA, serviceA, serviceB, serviceB, serviceB} {
		s := &server{id: fmt.Sprintf("i-7f3a91c%d", i), service: service, zone: "zone-1", slots: 6, work: 20 * time.Millisecond,
			body: func(string) []byte { return bytes.Repeat([]byte("answer.."), 250) }}
		services[s.id] = service
		s.start(p.store, p.record)
	}
	for i := range 4 {
		p.addGateway(fmt.Sprintf("edge-zone-1-%d", i+1), "zone-1", 700)
	}
	if !p.startGateways() {
		return p.verdict(unknown, "the gateways weren't ready")
	}
	time.Sleep(stableWindow + 2*time.Second) // all machines are in touch
	done := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		ticker := time.NewTicker(time.Second / staleRate)
		defer ticker.Stop()
		for i := 0; pause(done, 0); i++ {
			<-ticker.C
			q := request{gateway: p.gateways[i%len(p.gateways)].front, method: http.MethodGet, host: routeHost,
				path: routePrefix + fmt.Sprint(i), deadline: 4 * time.Second}
			clients.Go(func() { q.send(p.record) })
		}
	})
	time.Sleep(staleBefore)
	if p.trouble {
		storm := time.NewTicker(stormGap)
		for written := range stormChanges {
			<-storm.C
			c.timeoutMS = 4000 + written%7
			c.write(p.store)
		}
		storm.Stop()
		p.record.note("%d configurations were written", stormChanges)
	}
	c.service = serviceB
	c.write(p.store)
	acknowledged := p.record.now()
	p.record.note("version %d is acknowledged: it moves the route to %s", c.version, serviceB)
	time.Sleep(staleAfter)
	close(done)
	clients.Wait()
	return p.judgeStale(acknowledged, services)
}

// judgeStale judges CONFIG: a request sent later than config-apply-ms after the acknowledgement of a version is handled as only an older
// version allows.
func (p *play) judgeStale(acknowledged time.Duration, services map[string]string) int {
	r := p.record
	r.mu.Lock()
	due := acknowledged + configApplyMS*time.Millisecond
	stale, after := 0, 0
	latest := time.Duration(0)
	gateways := map[string]int{}
	for id, t := range r.tries {
		if t.sent <= due {
			continue
		}
		after++
		for _, at := range r.runs[id] {
			if services[at.server] == serviceA {
				stale++
				gateways[t.gateway]++
				latest = max(latest, t.sent-acknowledged)
				r.line("broken   CONFIG: %s, sent %.3f s after the acknowledgement, was run by %s of %s", id,
					(t.sent - acknowledged).Seconds(), at.server, services[at.server])
				break
			}
		}
	}
	r.mu.Unlock()
	if after == 0 {
		return p.verdict(unknown, "no requests")
	}
	text := fmt.Sprintf("%d of %d requests that were sent over %d ms after the acknowledgement were run by the old service, the last %.3f s after it; by gateway %v",
		stale, after, configApplyMS, latest.Seconds(), gateways)
	if stale > 0 {
		return p.verdict(broken, "%s", text)
	}
	return p.verdict(held, "%s", text)
}
