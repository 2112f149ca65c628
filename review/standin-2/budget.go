package main

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	budgetMachines = 4
	budgetSettle   = 5 * time.Second // until all machines know each other
	budgetLength   = 26 * time.Second
	budgetRate     = 8 // requests a second at each machine; the servers manage 36 in all
	// The crowds are as large and as long as the site vpc-search names for burst.
	budgetCrowdFor = 3 * time.Second
	budgetCrowded  = 1.84
	budgetKillAt   = 9 * time.Second
	budgetWindow   = 10 * time.Second
	budgetRatio    = 0.2
	budgetSlack    = 104
	budgetSampling = 100 * time.Millisecond
)

// budgetCrowds holds the times at which crowds come.
var budgetCrowds = []time.Duration{6 * time.Second, 10 * time.Second}

var budgetService = service{
	name: "desk", host: "fetch.example", routeType: "idempotent", servers: 4, slots: 2, queue: 2, work: 220 * time.Millisecond,
	timeout: 3 * time.Second, objective: 800 * time.Millisecond, coldFor: 3 * time.Second, connections: 68,
}

// budgetPause returns the pause between two requests at a machine.
func budgetPause(since time.Duration, trouble bool) time.Duration {
	rate := float64(budgetRate)
	for _, at := range budgetCrowds {
		if trouble && since >= at && since < at+budgetCrowdFor {
			rate *= budgetCrowded
		}
	}
	return time.Duration(float64(time.Second) / rate)
}

// playBudget has many users come twice, so that the servers shed requests, and all processes of the system killed in between.
func playBudget(d *deployment, trouble bool) (bool, error) {
	d.store.put("op/config", configuration(budgetService))
	servers, err := budgetService.start(d)
	if err != nil {
		return false, err
	}
	gateways, stop, err := startGateways(d, budgetMachines)
	if err != nil {
		return false, err
	}
	defer stop()
	time.Sleep(budgetSettle)
	c := newClient(d.record)
	started := time.Now()
	if trouble {
		time.AfterFunc(budgetKillAt, func() {
			for _, g := range gateways {
				g.kill()
			}
		})
	}
	var mu sync.Mutex
	var sent []time.Time
	var playing sync.WaitGroup
	for _, g := range gateways {
		playing.Go(func() {
			for time.Since(started) < budgetLength {
				time.Sleep(budgetPause(time.Since(started), trouble))
				mu.Lock()
				sent = append(sent, time.Now())
				mu.Unlock()
				playing.Go(func() { c.get(g, &budgetService) })
			}
		})
	}
	playing.Wait()
	extra := arrivalsBeyondFirst(servers)
	worst, worstBound, worstAt := 0, math.Inf(1), time.Duration(0)
	for offset := time.Duration(0); offset < budgetLength; offset += budgetSampling {
		from := started.Add(offset)
		requests := max(countIn(sent, from), countIn(sent, from.Add(-budgetWindow/2)), countIn(sent, from.Add(-budgetWindow)))
		count, bound := countIn(extra, from), budgetRatio*float64(requests)+budgetSlack
		if float64(count)-bound > float64(worst)-worstBound {
			worst, worstBound, worstAt = count, bound, offset
		}
	}
	d.record.result("worst window, from %s: %d arrivals beyond the first of their requests; the rule allows %.1f", worstAt, worst, worstBound)
	d.record.result("attempts of clients by status: %s", c.summary())
	return float64(worst) > worstBound, nil
}

// arrivalsBeyondFirst returns the times of the arrivals beyond the first of each request.
func arrivalsBeyondFirst(servers []*server) []time.Time {
	var all []arrival
	for _, s := range servers {
		all = append(all, s.arrived()...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	seen := map[string]bool{}
	var extra []time.Time
	for _, a := range all {
		if seen[a.id] {
			extra = append(extra, a.at)
		}
		seen[a.id] = true
	}
	return extra
}

// countIn counts the times in the window that begins at from.
func countIn(times []time.Time, from time.Time) int {
	count := 0
	for _, at := range times {
		if since := at.Sub(from); since >= 0 && since < budgetWindow {
			count++
		}
	}
	return count
}
