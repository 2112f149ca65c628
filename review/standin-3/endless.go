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
	endlessLength  = 40 * time.Second
	troubleFrom    = 5 * time.Second
	troubleFor     = 25 * time.Second
	endlessRate    = 80 // requests a second
	endlessTimeout = 15 * time.Second
)

// playEndless: one server of a service of requests that must not run twice gets into trouble. It runs what it is sent, and its answers
// are bytes without end, until the caller closes.
func playEndless(p *play) int {
	c := configuration{version: 7, kind: "non_idempotent", timeoutMS: int(endlessTimeout.Milliseconds()), service: serviceA}
	c.write(p.store)
	from, until := troubleFrom, troubleFrom+troubleFor
	trouble := func(s *server, w http.ResponseWriter, r *http.Request) bool {
		if now := p.record.now(); !p.trouble || now < from || now > until {
			return false
		}
		p.record.note("trouble  %s: bytes without end", r.Header.Get("Request-Id"))
		connection, out, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return true
		}
		defer connection.Close()
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
		piece := bytes.Repeat([]byte("x"), 16<<10)
		for {
			fmt.Fprintf(out, "%x\r\n%s\r\n", len(piece), piece)
			if out.Flush() != nil {
				return true
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for i := range 6 {
		s := &server{id: fmt.Sprintf("i-7f3a91c%d", i), service: serviceA, zone: "zone-1", slots: 6, work: 200 * time.Millisecond,
			body: func(string) []byte { return bytes.Repeat([]byte("answer.."), 4500) }}
		if i < 2 {
			s.trouble = trouble
		}
		s.start(p.store, p.record)
	}
	for i := range 2 {
		p.addGateway(fmt.Sprintf("edge-zone-1-%d", i+1), "zone-1", 700)
	}
	if !p.startGateways() {
		return p.verdict(unknown, "the gateways weren't ready")
	}
	time.Sleep(time.Second)
	p.record.note("clients begin")
	from, until = p.record.now()+troubleFrom, p.record.now()+troubleFrom+troubleFor
	var clients sync.WaitGroup
	var doubled atomic.Int64
	ticker := time.NewTicker(time.Second / endlessRate)
	defer ticker.Stop()
	for i, began := 0, time.Now(); time.Since(began) < endlessLength; i++ {
		<-ticker.C
		q := request{gateway: p.gateways[i%2].front, method: http.MethodPost, host: routeHost, path: routePrefix + fmt.Sprint(i),
			body: bytes.Repeat([]byte("b"), 300), deadline: endlessTimeout}
		clients.Go(func() {
			t := q.send(p.record)
			if t.status != http.StatusServiceUnavailable {
				return
			}
			// The answer promises that the request has not run and never will, so that the client may send it once more.
			time.Sleep(t.retryAfter)
			q.gateway = p.gateways[(i+1)%2].front
			again := q.send(p.record)
			p.record.note("again    %s was sent once more as %s: %d", t.id, again.id, again.status)
			if len(p.record.runsOf(t.id)) > 0 && len(p.record.runsOf(again.id)) > 0 {
				doubled.Add(1)
			}
		})
	}
	clients.Wait()
	p.record.note("%d operations of clients ran twice, because a refusal promised that they had not run", doubled.Load())
	return p.judgeRefused()
}

// judgeRefused judges REFUSED: a request that isn't idempotent is answered 429 or 503 (or 408, 421) and has run, or runs later; and TWICE.
func (p *play) judgeRefused() int {
	r := p.record
	r.mu.Lock()
	statuses := map[int]int{}
	var refused, twice []string
	for id, t := range r.tries {
		statuses[t.status]++
		switch t.status {
		case 408, 421, 429, 503:
			if len(r.runs[id]) > 0 {
				refused = append(refused, id)
			}
		}
		if len(r.runs[id]) > 1 {
			twice = append(twice, id)
		}
	}
	for _, id := range refused {
		r.line("broken   REFUSED: %s answered %d at %.3f, ran at %s at %.3f", id, r.tries[id].status, r.tries[id].answered.Seconds(),
			r.runs[id][0].server, r.runs[id][0].at.Seconds())
	}
	total := len(r.tries)
	r.mu.Unlock()
	if statuses[200] < total/4 {
		return p.verdict(unknown, "too few answers: %v", statuses)
	}
	if len(refused)+len(twice) > 0 {
		return p.verdict(broken, "%d of %d requests that must not run twice were answered as not run and had run; %d ran twice; statuses %v",
			len(refused), total, len(twice), statuses)
	}
	return p.verdict(held, "%d requests, statuses %v", total, statuses)
}
