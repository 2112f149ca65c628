package routing

import "github.com/knapweedrouter/knapweedrouter/internal/model"

// Splitter divides the requests of each route among its services by smooth weighted round robin, so that any sequence of
// requests on one host is close to the weights. It is not safe for concurrent use.
type Splitter struct {
	routes map[string]*weightedRoundRobin
}

// weightedRoundRobin is the state of smooth weighted round robin for one route.
type weightedRoundRobin struct {
	services       []WeightedService
	currentWeights []float64
}

// NewSplitter returns a splitter without any state.
func NewSplitter() *Splitter { return &Splitter{routes: map[string]*weightedRoundRobin{}} }

// Retain drops the state of routes that are not in the table, so that the table bounds the size of the state.
func (s *Splitter) Retain(t *Table) {
	kept := make(map[string]*weightedRoundRobin, len(t.Routes))
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
	state := s.routes[r.Name]
	if state == nil || !equalServices(state.services, r.Split) {
		state = &weightedRoundRobin{services: r.Split, currentWeights: make([]float64, len(r.Split))}
		s.routes[r.Name] = state
	}
	return state.next()
}

func (w *weightedRoundRobin) next() model.ServiceID {
	total, best := 0.0, 0
	for i, service := range w.services {
		w.currentWeights[i] += service.Weight
		total += service.Weight
		if w.currentWeights[i] > w.currentWeights[best] {
			best = i
		}
	}
	w.currentWeights[best] -= total
	return w.services[best].Service
}

func equalServices(a, b []WeightedService) bool {
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
