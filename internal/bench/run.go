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
	generationPoll = 50 * time.Millisecond
	// drainTime is enough for the last attempts at the targets to end, so that every record is complete.
	drainTime = 5 * time.Second
)

func isPoison(payload string) bool { return strings.Contains(payload, poisonText) }

// RunRouter measures the router. It must be called in virtual time, in a bubble of its own.
func RunRouter(d deployment.Deployment, s Scenario, seed uint64) (Result, error) {
	return run(d, s, seed, &router{})
}

// RunBaseline measures the baseline. It must be called in virtual time, in a bubble of its own.
func RunBaseline(d deployment.Deployment, s Scenario, seed uint64) (Result, error) {
	return run(d, s, seed, &naive{})
}

func run(d deployment.Deployment, s Scenario, seed uint64, sys system) (Result, error) {
	w, err := newWorld(d, s, seed)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := sys.start(ctx, w); err != nil {
		sys.stop()
		return Result{}, err
	}
	w.start = time.Now()
	go applyFaults(ctx, w, s.Faults)
	reverted := make(chan int, 1)
	go func() { reverted <- watchGenerations(ctx, w, sys) }()
	g := newGenerator(w, s, sys, seed)
	g.run(ctx)
	cancel()
	sys.stop()
	time.Sleep(drainTime)
	return newResult(w, g.requests, <-reverted), nil
}

func applyFaults(ctx context.Context, w *world, faults []Fault) {
	for _, f := range faults {
		if ctxtime.Sleep(ctx, f.At-time.Since(w.start)) != nil {
			return
		}
		f.Apply(w)
	}
}

// watchGenerations counts how often a host's configuration went back.
func watchGenerations(ctx context.Context, w *world, sys system) int {
	reverted := 0
	last := make([]model.Generation, len(w.hosts))
	for ctx.Err() == nil {
		for i := range w.hosts {
			now := sys.generation(i)
			if now < last[i] {
				reverted++
			}
			last[i] = now
		}
		_ = ctxtime.Sleep(ctx, generationPoll) // the loop ends with the context
	}
	return reverted
}
