package main

import (
	"sync"
	"time"
)

const (
	lapseMachines = 4
	lapseRate     = 22 // requests a second at each machine
	lapseRounds   = 3
	lapseCalm     = 7 * time.Second
	// lapseOutage is how long the store is down; the leases of the system last 9 s.
	lapseOutage = 9 * time.Second
	// lapseWait is the time from the store's return to the moment in which a server turns cold and says so in its entry.
	lapseWait = 1800 * time.Millisecond
)

var lapseService = service{
	name: "desk", host: "fetch.example", routeType: "idempotent", servers: 3, slots: 12, queue: 8, work: 40 * time.Millisecond,
	timeout: 15 * time.Second, objective: 800 * time.Millisecond, coldFor: 3 * time.Second, coldPerS: 6, connections: 68,
}

// playLapse has the store go down while leases run out, and a server turn cold after it is back. Without the disruption the server
// turns cold as well.
func playLapse(d *deployment, trouble bool) (bool, error) {
	d.store.lapses = true
	d.store.put("op/config", configuration(lapseService))
	servers, err := lapseService.start(d)
	if err != nil {
		return false, err
	}
	gateways, stop, err := startGateways(d, lapseMachines)
	if err != nil {
		return false, err
	}
	defer stop()
	c := newClient(d.record)
	ended := make(chan struct{})
	var playing sync.WaitGroup
	playing.Go(func() {
		defer close(ended)
		for range lapseRounds {
			playLapseRound(d, servers[0], trouble)
		}
	})
	for _, g := range gateways {
		playing.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(time.Second / lapseRate):
					playing.Go(func() { c.get(g, &lapseService) })
				}
			}
		})
	}
	playing.Wait()
	return judgeCold(d, c, servers[0], &lapseService), nil
}

// playLapseRound plays an outage and a server that turns cold after it.
func playLapseRound(d *deployment, s *server, trouble bool) {
	time.Sleep(lapseCalm)
	if trouble {
		d.store.setDown(true)
		d.record.add("the store is down")
		time.Sleep(lapseOutage)
		d.store.setDown(false)
		d.record.add("the store is back")
	}
	time.Sleep(lapseWait)
	s.becomeCold(lapseService.coldFor)
	d.store.put("servers/"+s.id, s.entry())
	d.record.add("%s is cold for %s; the store has acknowledged its entry that says so", s.id, lapseService.coldFor)
	time.Sleep(lapseService.coldFor)
}
