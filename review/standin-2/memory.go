package main

import (
	"sync"
	"time"
)

const (
	memoryCalm   = 5 * time.Second
	memoryLength = 75 * time.Second
	// memoryShare of the servers of each service are in trouble.
	memoryShare = 0.15
	// faultEnds and faultMachines are the rule's: processes end by themselves three times on two machines at least.
	faultEnds, faultMachines = 3, 2
)

// memoryServices are those of the site vpc-search; memoryRates is the traffic of one of its machines in requests a second.
var (
	memoryServices = []service{
		{
			name: "catalogue", host: "lookup.example", routeType: "idempotent", servers: 3, slots: 6, queue: 36, work: 28 * time.Millisecond,
			timeout: 3 * time.Second, objective: 200 * time.Millisecond, coldFor: 3 * time.Second, shards: 10, connections: 90, minCoverage: 0.89,
		},
		{
			name: "warranty", host: "fetch.example", routeType: "idempotent", servers: 48, slots: 2, queue: 8, work: 220 * time.Millisecond,
			timeout: 15 * time.Second, objective: 800 * time.Millisecond, coldFor: 3 * time.Second, connections: 68,
		},
		{
			name: "hire", host: "hire.example", routeType: "idempotent", servers: 24, slots: 2, queue: 8, work: 220 * time.Millisecond,
			timeout: 15 * time.Second, objective: 800 * time.Millisecond, coldFor: 3 * time.Second, connections: 68,
		},
	}
	memoryRates = []float64{11, 5, 3}
)

// playMemory has some servers break off answers and answer health checks without end.
func playMemory(d *deployment, trouble bool) (bool, error) {
	d.store.put("op/config", configuration(memoryServices...))
	var faulty []*server
	all := 0
	for _, s := range memoryServices {
		started, err := s.start(d)
		if err != nil {
			return false, err
		}
		all += len(started)
		faulty = append(faulty, started[:int(memoryShare*float64(len(started)))]...)
	}
	gateways, stop, err := startGateways(d, faultMachines)
	if err != nil {
		return false, err
	}
	defer stop()
	if trouble {
		time.AfterFunc(memoryCalm, func() {
			for _, s := range faulty {
				s.inTrouble.Store(true)
			}
			d.record.add("%d of %d servers are in trouble from now on", len(faulty), all)
		})
	}
	c := newClient(d.record)
	end := time.Now().Add(memoryLength)
	var sending sync.WaitGroup
	for _, g := range gateways {
		for i, s := range memoryServices {
			sending.Go(func() {
				for time.Now().Before(end) {
					time.Sleep(time.Duration(float64(time.Second) / memoryRates[i]))
					sending.Go(func() { c.get(g, &s) })
				}
			})
		}
	}
	sending.Wait()
	broken := 0
	for _, g := range gateways {
		ends, peak := g.counts()
		d.record.result("%s: its process has ended by itself %d times; %d MB in use at most", g.name, ends, peak)
		if ends >= faultEnds {
			broken++
		}
	}
	d.record.result("attempts of clients by status: %s", c.summary())
	return broken >= faultMachines, nil
}
