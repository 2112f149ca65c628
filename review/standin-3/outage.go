package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// outageFor is how long the store is silent.
	outageFor   = 4500 * time.Millisecond
	outageAfter = 26 * time.Second
)

// playOutage: the store is silent for some seconds. When it is back, configurations come in quick succession, and the last of them moves
// the route to another service.
func playOutage(p *play) int {
	c := configuration{version: 10, kind: "idempotent", timeoutMS: 4000, service: serviceA, more: stormRoutes}
	c.write(p.store)
	size := p.store.size("op/config")
	if size > valueBytes {
		return p.verdict(unknown, "the configuration has %d bytes", size)
	}
	p.record.note("the configuration has %d routes and %d bytes", stormRoutes+1, size)
	services := map[string]string{}
	for i, service := range []string{serviceA, serviceA, serviceA, serviceB, serviceB, serviceB} {
		s := &server{id: fmt.Sprintf("i-7f3a91c%d", i), service: service, zone: "zone-1", slots: 6, work: 20 * time.Millisecond,
			body: func(string) []byte { return bytes.Repeat([]byte("answer.."), 250) }}
		services[s.id] = service
		s.start(p.store, p.record)
	}
	var silent atomic.Bool
	p.store.refuse = func(string) int {
		if silent.Load() {
			return -1
		}
		return 0
	}
	for i := range 3 {
		p.addGateway(fmt.Sprintf("edge-zone-1-%d", i+1), "zone-1", 700)
	}
	if !p.startGateways() {
		return p.verdict(unknown, "the gateways weren't ready")
	}
	time.Sleep(stableWindow + 2*time.Second)
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
		p.record.note("the store is silent")
		silent.Store(true)
		p.store.cut()
		time.Sleep(outageFor)
		silent.Store(false)
		p.record.note("the store is back")
	}
	storm := time.NewTicker(stormGap)
	for written := range stormChanges {
		<-storm.C
		c.timeoutMS = 4000 + written%7
		c.write(p.store)
	}
	storm.Stop()
	c.service = serviceB
	c.write(p.store)
	acknowledged := p.record.now()
	p.record.note("version %d is acknowledged: it moves the route to %s", c.version, serviceB)
	time.Sleep(outageAfter)
	close(done)
	clients.Wait()
	return p.judgeStale(acknowledged, services)
}
