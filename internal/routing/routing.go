// Package routing holds the routes of opaque requests: which service, or which shards, a request goes to, and what the
// operator allows for it. It is pure.
package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// WeightedService is a service that takes a share of the requests of a route.
type WeightedService struct {
	Service model.ServiceID
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// Route tells where the requests of one host name and path prefix go.
type Route struct {
	Name string
	// Host is the host name, without a port and in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth; 0 if the operator names none.
	Objective time.Duration
	// MaxAttempts is the greatest number of targets, for each shard, that may run a request.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Split divides the requests of a route without shards among services.
	Split []WeightedService
	// Shards lists the services that each hold one shard. It is empty for a request that goes to one target.
	Shards []model.ServiceID
	// TopRecords is the number of records in an answer from shards.
	TopRecords int
	// MinCoverage is the least share of the shards in an answer, from 0 to 1.
	MinCoverage float64
}

// Service is a set of equal targets.
type Service struct {
	ID model.ServiceID
	// MaxConnections is the number of connections that one target accepts from all hosts together; 0 means no limit.
	MaxConnections int
	// ColdRate is the number of requests a second, from all hosts together, that a cold target bears; 0 means no limit.
	ColdRate float64
}

// ClientLimits bound what a client may send.
type ClientLimits struct {
	// HeaderBytes and BodyBytes are 0 where there is no limit.
	HeaderBytes int
	BodyBytes   int64
}

// Table is one configuration of routes. It is not changed after it has been made.
type Table struct {
	Generation model.Generation
	Routes     []Route
	Services   map[model.ServiceID]Service
	Limits     ClientLimits

	byHost map[string][]*Route
}

// New returns the table of the routes. The error names the first faulty route.
func New(generation model.Generation, routes []Route, services []Service, limits ClientLimits) (*Table, error) {
	t := &Table{
		Generation: generation,
		Routes:     routes,
		Services:   make(map[model.ServiceID]Service, len(services)),
		Limits:     limits,
		byHost:     make(map[string][]*Route, len(routes)),
	}
	for _, service := range services {
		t.Services[service.ID] = service
	}
	for i := range routes {
		r := &routes[i]
		if err := r.validate(); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	return t, nil
}

func (r *Route) validate() error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q: begin and end it with a slash", r.Prefix)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v: make it longer than 0", r.Timeout)
	case len(r.Shards) == 0 && r.totalWeight() <= 0:
		return fmt.Errorf("no service: name one with a weight above 0")
	case len(r.Shards) > model.KeySpace:
		return fmt.Errorf("%d shards: name at most %d", len(r.Shards), model.KeySpace)
	}
	return nil
}

func (r *Route) totalWeight() float64 {
	total := 0.0
	for _, part := range r.Split {
		total += max(0, part.Weight)
	}
	return total
}

// Match returns the route with the longest prefix of the path among those of the host name, or nil. The host name may
// have a port.
func (t *Table) Match(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	var best *Route
	for _, r := range t.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Names tells whether any route sends requests to the service.
func (t *Table) Names(service model.ServiceID) bool {
	_, ok := t.Services[service]
	return ok
}
