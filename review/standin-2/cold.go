package main

import (
	"sync"
	"time"
)

const (
	coldMachines = 2
	coldLength   = 20 * time.Second
	coldRate     = 60 // requests a second at each machine
	// The outage of the store is as long as the site vpc-search names for platform_down.
	coldOutage = 5 * time.Second
	coldLasts  = 4500 * time.Millisecond
	coldAt     = 5500 * time.Millisecond
	// coldOvershoot and coldSlack are the bounds warmup-overshoot and warmup-slack.
	coldOvershoot = 1.5
	coldSlack     = 5
)

var coldService = service{
	name: "desk", host: "fetch.example", routeType: "idempotent", servers: 3, slots: 12, queue: 8, work: 40 * time.Millisecond,
	timeout: 15 * time.Second, objective: 800 * time.Millisecond, coldFor: 3 * time.Second, coldPerS: 6, connections: 68,
}

// playCold has a server become cold again while the store is down.
func playCold(d *deployment, trouble bool) (bool, error) {
	d.store.put("op/config", configuration(coldService))
	servers, err := coldService.start(d)
	if err != nil {
		return false, err
	}
	gateways, stop, err := startGateways(d, coldMachines)
	if err != nil {
		return false, err
	}
	defer stop()
	c := newClient(d.record)
	started := time.Now()
	var playing sync.WaitGroup
	if trouble {
		playing.Go(func() { playOutage(d, servers[0], started) })
	}
	for _, g := range gateways {
		playing.Go(func() {
			for time.Since(started) < coldLength {
				time.Sleep(time.Second / coldRate)
				playing.Go(func() { c.get(g, &coldService) })
			}
		})
	}
	playing.Wait()
	return judgeCold(d, c, servers[0], &coldService), nil
}

// judgeCold records how many requests reached a cold server, and returns whether they were more than the rule allows.
func judgeCold(d *deployment, c *client, s *server, of *service) bool {
	var cold []time.Time
	for _, a := range s.arrived() {
		if a.isCold {
			cold = append(cold, a.at)
		}
	}
	most, bound := mostInSecond(cold), of.coldPerS*coldOvershoot+coldSlack
	d.record.result("%d requests reached the cold server, %d of them in one second; the rule allows %.1f", len(cold), most, bound)
	d.record.result("attempts of clients by status: %s", c.summary())
	return float64(most) > bound
}

// playOutage plays the outage of the store, in which a server becomes cold.
func playOutage(d *deployment, s *server, started time.Time) {
	at := func(offset time.Duration) { time.Sleep(time.Until(started.Add(offset))) }
	at(coldOutage)
	d.store.setDown(true)
	d.record.add("the store is down")
	at(coldAt)
	s.becomeCold(coldService.coldFor)
	d.record.add("%s is cold for %s: its health answers say so, the store can't take its entry", s.id, coldService.coldFor)
	at(coldOutage + coldLasts)
	d.store.setDown(false)
	d.store.put("servers/"+s.id, s.entry())
	d.record.add("the store is back and has the server's entry")
}

// mostInSecond returns the largest number of times, in order, that lie within one second.
func mostInSecond(times []time.Time) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
