package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	goneMachines = 2
	goneCalm     = 5 * time.Second
	goneLength   = 30 * time.Second
	goneRate     = 66 // requests a second at each machine; the servers manage 145 in all
	// The crowd and the clients that leave stay inside what the site vpc-search names: burst 1.84 and 3 s, give_up 0.3 and 8 s.
	goneCrowd    = 3 * time.Second
	goneCrowded  = 1.8
	goneLeaving  = 8 * time.Second
	goneEach     = 4 // every fourth client leaves early
	gonePatience = 400 * time.Millisecond
	// goneSlack is the rule's; goneFew is more than the few requests that it allows.
	goneSlack = 500 * time.Millisecond
	goneFew   = 10
)

var goneService = service{
	name: "claims", host: "claim.example", routeType: "non_idempotent", servers: 16, slots: 2, queue: 8, work: 220 * time.Millisecond,
	timeout: 15 * time.Second, objective: 800 * time.Millisecond, coldFor: 3 * time.Second, connections: 68,
}

// departures holds when the clients of requests have closed their connections.
type departures struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (d *departures) add(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at[id] = time.Now()
}

// playGone has clients of requests that must not be repeated leave early while many users come at once.
func playGone(d *deployment, trouble bool) (bool, error) {
	d.store.put("op/config", configuration(goneService))
	servers, err := goneService.start(d)
	if err != nil {
		return false, err
	}
	gateways, stop, err := startGateways(d, goneMachines)
	if err != nil {
		return false, err
	}
	defer stop()
	c := newClient(d.record)
	left := departures{at: map[string]time.Time{}}
	started := time.Now()
	during := func(length time.Duration) bool {
		since := time.Since(started)
		return trouble && since >= goneCalm && since < goneCalm+length
	}
	var sending sync.WaitGroup
	for _, g := range gateways {
		sending.Go(func() {
			for n := 0; time.Since(started) < goneLength; n++ {
				rate := float64(goneRate)
				if during(goneCrowd) {
					rate *= goneCrowded
				}
				time.Sleep(time.Duration(float64(time.Second) / rate))
				if leaves := during(goneLeaving) && n%goneEach == 0; leaves {
					sending.Go(func() { c.leaveEarly(g, &left) })
				} else {
					sending.Go(func() { c.post(g, &goneService) })
				}
			}
		})
	}
	sending.Wait()
	late := 0
	for _, s := range servers {
		for _, a := range s.arrived() {
			if at, ok := left.at[a.id]; ok && a.at.Sub(at) > goneSlack {
				late++
				d.record.result("%s reached %s %.3f s after its client had closed its connection", a.id, s.id, a.at.Sub(at).Seconds())
			}
		}
	}
	d.record.result("%d clients left early; %d requests reached a server over half a second later", len(left.at), late)
	d.record.result("attempts of the other clients by status: %s", c.summary())
	return late > goneFew, nil
}

// leaveEarly sends a request and closes the connection after gonePatience, unless the answer comes before.
func (c *client) leaveEarly(g *gateway, left *departures) {
	ctx, cancel := context.WithTimeout(context.Background(), gonePatience)
	defer cancel()
	id := newID()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+"/q/"+id, strings.NewReader("claim"))
	if err != nil {
		panic(err)
	}
	request.Host = goneService.host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "15000")
	request.GetBody = nil // it is never sent twice
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	c.record.add("%s is sent to %s by a client that leaves early", id, g.name)
	response, err := transport.RoundTrip(request)
	if err == nil {
		response.Body.Close()
		c.record.add("%s is answered %d", id, response.StatusCode)
		return
	}
	left.add(id)
	c.record.add("%s: its client has closed its connection", id)
}
