package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/control"
	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/merge"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	baselineRetries            = 2
	baselinePollInterval       = 250 * time.Millisecond
	baselineConfigPollInterval = time.Second
	baselineAttemptTimeout     = 100 * time.Millisecond
)

// baseline is the naive system that the router is compared with: each host applies a caller's full rate limit on its own,
// selects replicas at random, sends no hedged attempts, and retries every failure a fixed number of times.
type baseline struct {
	env   *environment
	hosts []*baselineHost
	wait  sync.WaitGroup
	end   context.CancelFunc
}

type baselineHost struct {
	env       *environment
	client    *simulatedClient
	mu        sync.Mutex
	catalogue model.Catalogue
	reports   map[model.TargetID]model.TargetStatus
	limits    map[model.CallerID]*rate.Limiter
	sequence  uint64
	rng       *rand.Rand
	number    int
}

func (b *baseline) start(ctx context.Context, env *environment) error {
	b.env = env
	ctx, b.end = context.WithCancel(ctx)
	for i, h := range env.hosts {
		host := &baselineHost{
			env:     env,
			client:  newSimulatedClient(env, h.dataCentre),
			reports: map[model.TargetID]model.TargetStatus{},
			limits:  map[model.CallerID]*rate.Limiter{},
			rng:     rand.New(rand.NewPCG(uint64(i), 3)),
			number:  i,
		}
		b.hosts = append(b.hosts, host)
		host.readCatalogue(ctx)
		b.wait.Go(func() { repeat(ctx, baselineConfigPollInterval, host.readCatalogue) })
		b.wait.Go(func() { repeat(ctx, baselinePollInterval, host.poll) })
	}
	return nil
}

func repeat(ctx context.Context, interval time.Duration, work func(context.Context)) {
	for ctx.Err() == nil {
		work(ctx)
		_ = ctxtime.Sleep(ctx, interval) // the loop condition checks the context
	}
}

func (b *baseline) ready(int) bool { return true }

func (b *baseline) generation(host int) model.Generation {
	h := b.hosts[host]
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalogue.Generation
}

func (b *baseline) stop() {
	b.end()
	b.wait.Wait()
}

func (h *baselineHost) readCatalogue(ctx context.Context) {
	catalogue, _, err := control.ReadCatalogue(ctx, h.env.store)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.catalogue = *catalogue
	for _, c := range catalogue.Callers {
		if h.limits[c.ID] == nil {
			h.limits[c.ID] = rate.NewLimiter(rate.Limit(c.Rate), max(1, int(c.Rate/10)))
		}
	}
}

func (h *baselineHost) allow(caller model.CallerID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limits[caller].Allow()
}

func (h *baselineHost) poll(ctx context.Context) {
	for _, t := range h.env.catalogue.Targets {
		if !h.env.targets[t.ID].Available() {
			continue
		}
		status := h.env.targets[t.ID].Status()
		h.mu.Lock()
		h.reports[t.ID] = status
		h.mu.Unlock()
	}
}

func (b *baseline) search(ctx context.Context, host int, caller model.CallerID, request callerapi.SearchRequest) answer {
	h := b.hosts[host]
	if !h.allow(caller) {
		return answer{err: fault.New(fault.RateLimited, fault.NotRun, "send less", "over the rate")}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.DeadlineMS)*time.Millisecond)
	defer cancel()
	chosen := h.choose(request.Search)
	replies := make([]*targetclient.SearchReply, len(chosen.Parts))
	var group sync.WaitGroup
	for i, part := range chosen.Parts {
		group.Go(func() { replies[i] = h.ask(ctx, part, request) })
	}
	group.Wait()
	return assemble(chosen, replies, request)
}

func assemble(chosen snapshot.Snapshot, replies []*targetclient.SearchReply, request callerapi.SearchRequest) answer {
	parts := make([]coverage.Part, len(chosen.Parts))
	var lists [][]model.Hit
	for i, p := range chosen.Parts {
		parts[i] = p.Part
		if replies[i] != nil {
			lists = append(lists, replies[i].Hits)
		}
	}
	reached := coverage.Compute(parts, func(i int) bool { return replies[i] != nil })
	if reached.Fraction < request.MinCoverage {
		return answer{err: fault.New(fault.CoverageBelowMinimum, fault.Ran, "wait longer", "too few shards").
			WithCoverage(reached.Fraction)}
	}
	return answer{reply: &callerapi.SearchReply{
		Versions: chosen.Versions, Coverage: reached, Hits: merge.Top(lists, request.Limit),
	}}
}

func (h *baselineHost) choose(search model.SearchID) snapshot.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	var reports []model.TargetStatus
	for _, t := range h.catalogue.Targets {
		if h.isUsable(t) {
			reports = append(reports, h.reports[t.ID])
		}
	}
	for _, s := range h.catalogue.Searches {
		if s.ID == search {
			return snapshot.New(s.Indexes, reports).Choose()
		}
	}
	return snapshot.Snapshot{}
}

// isUsable reports whether the latest catalogue and status report allow work for the target. The caller holds the mutex.
func (h *baselineHost) isUsable(t model.Target) bool {
	out := slices.ContainsFunc(h.catalogue.DataCentresOut, func(o model.DataCentreOut) bool { return o.ID == t.DataCentre })
	report, known := h.reports[t.ID]
	return known && !out && report.State != model.TargetDraining
}

func (h *baselineHost) ask(ctx context.Context, part snapshot.Part, request callerapi.SearchRequest) *targetclient.SearchReply {
	for range 1 + baselineRetries {
		if len(part.Replicas) == 0 || ctx.Err() != nil {
			return nil
		}
		t, attempt := h.next(part.Replicas)
		attemptCtx, cancel := context.WithTimeout(ctx, baselineAttemptTimeout)
		reply, err := h.client.Search(attemptCtx, t, targetclient.SearchRequest{
			Attempt: attempt, Index: part.Index, Shard: part.ID, Version: part.Version,
			Query: request.Query, Limit: request.Limit, DeadlineMS: baselineAttemptTimeout.Milliseconds(),
		})
		cancel()
		if err == nil {
			return &reply
		}
	}
	return nil
}

func (h *baselineHost) next(replicas []model.TargetID) (model.Target, model.AttemptID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	id := replicas[h.rng.IntN(len(replicas))]
	at := slices.IndexFunc(h.catalogue.Targets, func(t model.Target) bool { return t.ID == id })
	return h.catalogue.Targets[at], model.AttemptID{Incarnation: model.Incarnation(h.number + 1), Sequence: h.sequence}
}

func (b *baseline) execute(ctx context.Context, host int, caller model.CallerID, e execution) answer {
	h := b.hosts[host]
	if !h.allow(caller) {
		return answer{err: fault.New(fault.RateLimited, fault.NotRun, "send less", "over the rate")}
	}
	ctx, cancel := context.WithTimeout(ctx, e.deadline)
	defer cancel()
	var service model.Service
	for _, s := range b.env.catalogue.Services {
		if s.ID == e.service {
			service = s
		}
	}
	for range 1 + baselineRetries {
		t, attempt := h.next(service.Targets)
		attemptCtx, cancel := context.WithTimeout(ctx, baselineAttemptTimeout)
		_, err := h.client.Execute(attemptCtx, t, targetclient.ExecuteRequest{
			Attempt: attempt, Service: e.service, Operation: "record", Payload: e.payload,
			DeadlineMS: baselineAttemptTimeout.Milliseconds(),
		})
		cancel()
		if err == nil {
			return answer{done: true}
		}
	}
	return answer{err: fault.New(fault.TargetFailed, fault.NotRun, "try again", "no target answered")}
}
