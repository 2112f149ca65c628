// Package routing holds the routes of opaque requests: the service or the shards that a request is sent to, and the limits
// that the operator has set for it. It performs no I/O and reads no clock.
package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// WeightedService is a service that receives a fraction of the requests of a route.
type WeightedService struct {
	Service model.ServiceID
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// Route configures the requests to one host name and path prefix.
type Route struct {
	Name string
	// Host is the host name, in lower case and without a port.
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// Repeatable means that a request may run more than once.
	Repeatable bool
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// Objective is the latency objective, within which an answer has its full value; 0 if the operator has not set one.
	Objective time.Duration
	// MaxAttempts is the maximum number of targets that may run a request, for each shard.
	MaxAttempts int
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Split divides the requests of a route without shards among services.
	Split []WeightedService
	// Shards lists the services that hold one shard each. It is empty if requests are sent to a single target.
	Shards []model.ServiceID
	// TopRecords is the maximum number of records in an answer that is merged from shards.
	TopRecords int
	// MinCoverage is the minimum fraction of the shards in an answer, from 0 to 1.
	MinCoverage float64
}

// Service is a set of interchangeable targets.
type Service struct {
	ID model.ServiceID
	// MaxConnections is the number of connections that a target accepts from all hosts together; 0 means no limit.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold target accepts from all hosts together; 0 means no limit.
	ColdRate float64
	// HealthPath is the path of the targets' health resource; empty if there is none.
	HealthPath string
}

// ClientLimits bounds the size of client requests.
type ClientLimits struct {
	// HeaderBytes and BodyBytes are 0 for no limit.
	HeaderBytes int
	BodyBytes   int64
}

// Table is an immutable configuration of routes and services.
type Table struct {
	Generation model.Generation
	Routes     []Route
	Services   map[model.ServiceID]Service
	Limits     ClientLimits

	byHost map[string][]*Route
}

// New returns a table of the given routes and services. The error names the first invalid route.
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
		return fmt.Errorf("prefix %q: must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v: must be greater than 0", r.Timeout)
	case len(r.Shards) == 0 && r.totalWeight() <= 0:
		return fmt.Errorf("no service: at least one with a weight greater than 0 is required")
	case len(r.Shards) > model.KeySpace:
		return fmt.Errorf("%d shards: at most %d are allowed", len(r.Shards), model.KeySpace)
	}
	return nil
}

func (r *Route) totalWeight() float64 {
	total := 0.0
	for _, service := range r.Split {
		total += max(0, service.Weight)
	}
	return total
}

// Match returns the route of the host name with the longest prefix that matches the path, or nil if there is none. The host
// name may include a port and is not case-sensitive.
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

// HasService reports whether the table contains the service.
func (t *Table) HasService(service model.ServiceID) bool {
	_, ok := t.Services[service]
	return ok
}
