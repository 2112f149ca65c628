package bench

import (
	"context"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/deployment"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	generationPollInterval = 50 * time.Millisecond
	// drainTime lets the last attempts at the targets finish, so that every record is complete.
	drainTime = 5 * time.Second
)

func isPoison(payload string) bool { return strings.Contains(payload, poisonText) }

// RunRouter measures the router. It must be called in a synctest bubble of its own.
func RunRouter(d deployment.Deployment, s Scenario, seed uint64) (Result, error) {
	return run(d, s, seed, &router{})
}

// RunBaseline measures the baseline. It must be called in a synctest bubble of its own.
func RunBaseline(d deployment.Deployment, s Scenario, seed uint64) (Result, error) {
	return run(d, s, seed, &baseline{})
}

func run(d deployment.Deployment, s Scenario, seed uint64, sys system) (Result, error) {
	env, err := newEnvironment(d, s, seed)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := sys.start(ctx, env); err != nil {
		sys.stop()
		return Result{}, err
	}
	env.start = time.Now()
	go applyFaults(ctx, env, s.Faults)
	reverts := make(chan int, 1)
	go func() { reverts <- countReverts(ctx, env, sys) }()
	g := newGenerator(env, s, sys, seed)
	g.run(ctx)
	cancel()
	sys.stop()
	time.Sleep(drainTime)
	return newResult(env, g.requests, <-reverts), nil
}

func applyFaults(ctx context.Context, env *environment, faults []Fault) {
	for _, f := range faults {
		if ctxtime.Sleep(ctx, f.At-time.Since(env.start)) != nil {
			return
		}
		f.Apply(env)
	}
}

// countReverts counts how often a host reverts to an older configuration generation, until the context ends.
func countReverts(ctx context.Context, env *environment, sys system) int {
	reverts := 0
	last := make([]model.Generation, len(env.hosts))
	for ctx.Err() == nil {
		for i := range env.hosts {
			now := sys.generation(i)
			if now < last[i] {
				reverts++
			}
			last[i] = now
		}
		_ = ctxtime.Sleep(ctx, generationPollInterval) // the loop condition checks the context
	}
	return reverts
}
