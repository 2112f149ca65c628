package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// stormRoutes is the number of routes beyond the one with traffic: three times 1,772, by which a site's configuration grows at once.
	// The document stays below value-bytes.
	stormRoutes = 5316
	valueBytes  = 1 << 20
	// Storms as in cargavoz-central.toml: a change each 0.08 s for 2 s. They come again each stormEvery.
	stormGap     = 80 * time.Millisecond
	stormChanges = int(2 * time.Second / stormGap)
	stormEvery   = 3 * time.Second
	stormLength  = 100 * time.Second
	stormRate    = 30 // requests a second
)

// playStorm: configurations with many routes come in quick succession. The platform kills a process that exceeds memory-mb, and starts
// it again.
func playStorm(p *play) int {
	c := configuration{version: 10, kind: "idempotent", timeoutMS: 4000, service: serviceA, more: stormRoutes}
	c.write(p.store)
	size := p.store.size("op/config")
	if size > valueBytes {
		return p.verdict(unknown, "the configuration has %d bytes", size)
	}
	p.record.note("the configuration has %d routes and %d bytes", stormRoutes+1, size)
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-7f3a91c%d", i), service: serviceA, zone: "zone-1", slots: 6, work: 90 * time.Millisecond,
			body: func(string) []byte { return bytes.Repeat([]byte("answer.."), 250) }}
		s.start(p.store, p.record)
	}
	for i := range 3 {
		p.addGateway(fmt.Sprintf("edge-zone-1-%d", i+1), "zone-1", 700)
	}
	if !p.startGateways() {
		return p.verdict(unknown, "the gateways weren't ready")
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	var tasks sync.WaitGroup
	ends := make([]int, len(p.gateways))
	peaks := make([]int, len(p.gateways))
	for i, g := range p.gateways {
		tasks.Go(func() { p.watchMemory(g, done, &ends[i], &peaks[i]) })
	}
	began := p.record.now()
	if p.trouble {
		tasks.Go(func() {
			written := 0
			for next := time.Now(); ; next = next.Add(stormEvery) {
				if !pause(done, time.Until(next)) {
					p.record.note("%d configurations were written", written)
					return
				}
				for range stormChanges {
					if !pause(done, stormGap) {
						break
					}
					c.timeoutMS = 4000 + written%7
					c.write(p.store)
					written++
				}
			}
		})
	}
	var clients sync.WaitGroup
	ticker := time.NewTicker(time.Second / stormRate)
	defer ticker.Stop()
	for i := 0; p.record.now()-began < stormLength; i++ {
		<-ticker.C
		q := request{gateway: p.gateways[i%len(p.gateways)].front, method: http.MethodGet, host: routeHost, path: routePrefix + fmt.Sprint(i),
			deadline: 4 * time.Second}
		clients.Go(func() { q.send(p.record) })
	}
	clients.Wait()
	close(done)
	tasks.Wait()
	return p.judgeStorm(ends, peaks)
}

// pause waits. It returns false once the play is over.
func pause(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return false
	case <-time.After(d):
		return true
	}
}

// watchMemory does what the platform does: it kills a process that exceeds memory-mb, and starts one that has ended again.
func (p *play) watchMemory(g *gateway, done <-chan struct{}, ends, peak *int) {
	for pause(done, 50*time.Millisecond) {
		used := g.anonymousKB() / 1024
		*peak = max(*peak, used)
		if used > memoryMB {
			p.record.note("memory   %s holds %d MB of %d: killed", g.name, used, memoryMB)
			g.kill()
		}
		if g.hasEnded() {
			*ends++
			p.record.note("end      %s has ended, for the %d. time", g.name, *ends)
			if !pause(done, 500*time.Millisecond) {
				return
			}
			g.start(p.root)
		}
	}
}

// anonymousKB returns the memory of the process without that of files.
func (g *gateway) anonymousKB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if name, value, ok := strings.Cut(line, ":"); ok && name == "RssAnon" {
			return parseInt(strings.Fields(value)[0])
		}
	}
	return 0
}

// judgeStorm judges the fault that processes end by themselves three times on a tenth of the machines, two at least; and LOST: around a
// configuration, the connection of a request that was passed on to a server ends without a complete answer.
func (p *play) judgeStorm(ends, peaks []int) int {
	r := p.record
	r.mu.Lock()
	lost, served := 0, 0
	for id, t := range r.tries {
		if t.status == 200 && t.err == nil {
			served++
		}
		if t.err != nil && t.err.Error() != "no answer in time" && len(r.runs[id]) > 0 {
			lost++
			r.line("broken   LOST: %s was passed on to %s, and its connection ended without an answer", id, r.runs[id][0].server)
		}
	}
	total := len(r.tries)
	r.mu.Unlock()
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	text := fmt.Sprintf("processes ended by themselves %v times, peaks %v MB of %d; %d of %d requests served, %d lost after they had been passed on",
		ends, peaks, memoryMB, served, total, lost)
	switch {
	case machines >= 2 || lost > 0:
		return p.verdict(broken, "%s", text)
	case served < total/2:
		return p.verdict(unknown, "%s", text)
	}
	return p.verdict(held, "%s", text)
}
