package main

import (
	"fmt"
)

// The names of the deployment that all cases use.
const (
	routeHost   = "hufi27.example"
	routePrefix = "/goka902/"
	serviceA    = "gowu98c"
	serviceB    = "nylo40d"
)

// configuration is the operator's document.
type configuration struct {
	version int
	// kind is the type, timeoutMS the time-out and service the service of the route with traffic.
	kind      string
	timeoutMS int
	service   string
	// more is the number of further routes, which get no requests.
	more int
}

// write writes the configuration as the next version. The store's answer is the acknowledgement.
func (c *configuration) write(st *store) {
	c.version += 1 + c.version%3 // versions increase in uneven steps
	route := func(name, prefix, kind, service string, timeoutMS int) any {
		return map[string]any{
			"name": name, "host": routeHost, "prefix": prefix, "route-type": kind, "timeout-ms": timeoutMS, "target-latency-ms": 800,
			"max-attempts": 2, "priority": 1, "service": service,
		}
	}
	routes := []any{route("r-first", routePrefix, c.kind, c.service, c.timeoutMS)}
	for i := range c.more {
		routes = append(routes, route(fmt.Sprintf("r-%06d", i), fmt.Sprintf("/many%06d/", i), "idempotent", serviceA, 4000))
	}
	var services []any
	for _, name := range []string{serviceA, serviceB} {
		services = append(services, map[string]any{"name": name, "max-connections": 192, "warmup-per-s": 0, "health-path": healthPath})
	}
	st.set("op/config", map[string]any{
		"version": c.version, "routes": routes, "services": services,
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
}
