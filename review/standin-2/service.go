package main

import "time"

// memoryMB is the memory of a machine of the site vpc-search.
const memoryMB = 206

// limits are those of the site vpc-search.
func limits() map[string]any {
	return map[string]any{"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
}

// service describes a service with one route to it.
type service struct {
	name, host          string
	routeType           string
	servers             int
	slots, queue        int // of a server
	work                time.Duration
	timeout, objective  time.Duration
	coldFor             time.Duration
	coldPerS            float64
	shards, connections int // shards is 0 for a route to one server
	minCoverage         float64
}

// configuration returns the operator's document for services.
func configuration(all ...service) map[string]any {
	var routes, services []map[string]any
	for _, s := range all {
		for _, name := range s.shardNames() {
			services = append(services, map[string]any{
				"name": name, "health-path": healthPath, "max-connections": s.connections, "protocol": "h1", "tls": false,
				"warmup-s": s.coldFor.Seconds(), "warmup-per-s": s.coldPerS,
			})
		}
		route := map[string]any{
			"name": "r-" + s.name, "host": s.host, "prefix": "/q/", "route-type": s.routeType, "timeout-ms": s.timeout.Milliseconds(),
			"target-latency-ms": s.objective.Milliseconds(), "priority": 1, "max-attempts": 2,
		}
		if s.shards > 0 {
			route["fanout"], route["top-k"], route["min-coverage"] = s.shardNames(), 20, s.minCoverage
		} else {
			route["service"] = s.name
		}
		routes = append(routes, route)
	}
	return map[string]any{"version": 3, "routes": routes, "services": services, "limits": limits()}
}

// shardNames returns the names of the services that hold the shards, or the name of the only service.
func (s *service) shardNames() []string {
	if s.shards == 0 {
		return []string{s.name}
	}
	names := make([]string, s.shards)
	for i := range names {
		names[i] = s.name + "-" + string(rune('a'+i))
	}
	return names
}

// start starts the servers of the service, one of each shard after the other, and registers them in the store.
func (s *service) start(d *deployment) ([]*server, error) {
	var started []*server
	for n := range s.servers {
		for _, name := range s.shardNames() {
			target, err := newServer(d.record, name, n, s)
			if err != nil {
				return nil, err
			}
			d.store.put("servers/"+target.id, target.entry())
			started = append(started, target)
		}
	}
	return started, nil
}
