package routing

import "github.com/knapweedrouter/knapweedrouter/internal/model"

// Splitter divides the requests of each route among its services by smooth weighted round robin, so that every run of
// requests on one host is close to the weights. It is not safe for concurrent use.
type Splitter struct {
	routes map[string]*rotation
}

type rotation struct {
	parts   []WeightedService
	credits []float64
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter { return &Splitter{routes: map[string]*rotation{}} }

// Keep drops the history of routes that the table does not have, so that the state is bounded by the table.
func (s *Splitter) Keep(t *Table) {
	kept := make(map[string]*rotation, len(t.Routes))
	for i := range t.Routes {
		name := t.Routes[i].Name
		if r, ok := s.routes[name]; ok {
			kept[name] = r
		}
	}
	s.routes = kept
}

// Next returns the service for the next request of a route without shards.
func (s *Splitter) Next(r *Route) model.ServiceID {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	turn := s.routes[r.Name]
	if turn == nil || !sameParts(turn.parts, r.Split) {
		turn = &rotation{parts: r.Split, credits: make([]float64, len(r.Split))}
		s.routes[r.Name] = turn
	}
	return turn.next()
}

func (t *rotation) next() model.ServiceID {
	total, best := 0.0, 0
	for i, part := range t.parts {
		t.credits[i] += part.Weight
		total += part.Weight
		if t.credits[i] > t.credits[best] {
			best = i
		}
	}
	t.credits[best] -= total
	return t.parts[best].Service
}

func sameParts(a, b []WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
