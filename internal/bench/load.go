package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	requestDeadline = 200 * time.Millisecond
	// softDeadlineFactor times the service time is the soft deadline of fast callers. At the steady load most answers
	// with full coverage meet it.
	softDeadlineFactor   = 5
	fastMinCoverage      = 0.8
	resultLimit          = 20
	executeShare         = 0.05
	fullModeShare        = 0.3
	secondSearchShare    = 0.3
	poisonInterval       = 100 * time.Millisecond
	poisonText           = "crashing-request"
	overLimitFactor      = 20
	balancerPollInterval = time.Second
)

// request is one generated request and its outcome.
type request struct {
	id       string
	caller   model.CallerID
	search   model.SearchID
	service  model.ServiceID
	sent     time.Time
	latency  time.Duration
	answer   answer
	isSearch bool
	limit    int
}

// generator sends an open-loop load: arrivals do not wait for answers.
type generator struct {
	env      *environment
	scenario Scenario
	system   system
	rng      *rand.Rand
	readyMu  sync.Mutex
	ready    []int

	mu       sync.Mutex
	requests []*request
	wait     sync.WaitGroup
	number   int
}

func newGenerator(env *environment, s Scenario, sys system, seed uint64) *generator {
	return &generator{env: env, scenario: s, system: sys, rng: rand.New(rand.NewPCG(seed, 1))}
}

// run sends the scenario's load and waits for all answers.
func (g *generator) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go repeat(ctx, balancerPollInterval, func(context.Context) { g.pollReady() })
	g.pollReady()
	if g.scenario.Poison {
		g.env.setPoison(poisonText)
		g.wait.Go(func() { g.sendPoison(ctx) })
	}
	if g.scenario.OverLimit {
		g.wait.Go(func() { g.sendOverLimit(ctx) })
	}
	g.sendBaseLoad(ctx)
	g.wait.Wait()
}

func (g *generator) sendBaseLoad(ctx context.Context) {
	capacity := g.env.capacity(g.env.catalogue)
	searches := g.env.catalogue.Searches
	second := searches[min(1, len(searches)-1)]
	for since := time.Duration(0); since < g.scenario.Duration; since = time.Since(g.env.start) {
		rate := capacity[searches[0].ID] * g.scenario.Load(since)
		_ = ctxtime.Sleep(ctx, time.Duration(g.rng.ExpFloat64()/rate*float64(time.Second)))
		caller := callerFast
		if g.rng.Float64() < fullModeShare {
			caller = callerFull
		}
		switch {
		case g.rng.Float64() < executeShare:
			g.sendExecute(ctx, caller)
		case g.rng.Float64() < secondSearchShare:
			g.sendSearch(ctx, caller, second.ID, "")
		default:
			g.sendSearch(ctx, caller, searches[0].ID, "")
		}
	}
}

func (g *generator) sendOverLimit(ctx context.Context) {
	_ = ctxtime.Sleep(ctx, faultStart)
	first := g.env.catalogue.Searches[0].ID
	rate := g.env.capacity(g.env.catalogue)[first] * lowRateShare * overLimitFactor
	rng := rand.New(rand.NewPCG(uint64(g.number), 4))
	for time.Since(g.env.start) < g.scenario.Duration {
		_ = ctxtime.Sleep(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second)))
		g.sendSearch(ctx, callerOverLimit, first, "")
	}
}

func (g *generator) sendPoison(ctx context.Context) {
	_ = ctxtime.Sleep(ctx, faultStart)
	for time.Since(g.env.start) < g.scenario.Duration {
		_ = ctxtime.Sleep(ctx, poisonInterval)
		g.sendSearch(ctx, callerPoison, g.env.catalogue.Searches[0].ID, poisonText)
	}
}

func (g *generator) pollReady() {
	var ready []int
	for i := range g.env.hosts {
		if g.system.ready(i) {
			ready = append(ready, i)
		}
	}
	g.readyMu.Lock()
	defer g.readyMu.Unlock()
	g.ready = ready
}

// pickHost selects a host as the load balancer does: one of those that were ready at the last poll.
func (g *generator) pickHost() int {
	g.readyMu.Lock()
	defer g.readyMu.Unlock()
	if len(g.ready) == 0 {
		return 0
	}
	return g.ready[g.number%len(g.ready)]
}

func (g *generator) record(r *request) (host int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.number++
	r.id = fmt.Sprintf("q%06d", g.number)
	r.sent = time.Now()
	g.requests = append(g.requests, r)
	return g.pickHost()
}

// query is the query of a generated request. The ID links the targets' records to the request.
type query struct {
	Text   string `json:"text"`
	ID     string `json:"id,omitempty"`
	Poison string `json:"poison,omitempty"`
}

func (g *generator) sendSearch(ctx context.Context, caller model.CallerID, search model.SearchID, poison string) {
	r := &request{caller: caller, search: search, isSearch: true, limit: resultLimit}
	host := g.record(r)
	q := query{Text: "hub", ID: r.id}
	if poison != "" {
		q = query{Text: "hub", Poison: poison} // without an ID, so that all repeats are identical byte for byte
	}
	encoded, _ := json.Marshal(q) // encoding a struct of strings cannot fail
	body := callerapi.SearchRequest{
		Search: search, Query: encoded, Limit: resultLimit, DeadlineMS: requestDeadline.Milliseconds(), Mode: "full",
	}
	if caller == callerFast {
		body.Mode = "fast"
		body.MinCoverage = fastMinCoverage
		body.SoftDeadlineMS = (softDeadlineFactor * g.env.serviceTime(g.env.catalogue)).Milliseconds()
	}
	g.wait.Go(func() {
		r.answer = g.system.search(ctx, host, caller, body)
		r.latency = time.Since(r.sent)
	})
}

func (g *generator) sendExecute(ctx context.Context, caller model.CallerID) {
	service := g.nonRepeatableService()
	if service == "" {
		return
	}
	r := &request{caller: caller, service: service}
	host := g.record(r)
	payload, _ := json.Marshal(query{Text: "record", ID: r.id}) // encoding a struct of strings cannot fail
	e := execution{service: service, id: r.id, payload: payload, deadline: requestDeadline}
	g.wait.Go(func() {
		r.answer = g.system.execute(ctx, host, caller, e)
		r.latency = time.Since(r.sent)
	})
}

func (g *generator) nonRepeatableService() model.ServiceID {
	for _, s := range g.env.catalogue.Services {
		if !s.Repeatable {
			return s.ID
		}
	}
	return ""
}
