package dev

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorclient"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/platform"
)

// concurrentChanges sends two changes based on the same generation through two hosts at once, while the store loses the
// reply to the next write. One change must be accepted and the other refused with a conflict that lists both.
func (c *checker) concurrentChanges(ctx context.Context) (string, error) {
	requests := make([]operatorwire.ChangeRequest, 2)
	for i := range requests {
		request, err := c.callerChange(ctx, fmt.Sprintf("racer-%d", i+1), operatorclient.NewChangeID())
		if err != nil {
			return "", err
		}
		requests[i] = request
	}
	writes := c.headWrites()
	c.env.Store.SetFaults(platform.Faults{LoseAnswers: 1})
	defer c.env.Store.SetFaults(platform.Faults{})
	results := c.sendConcurrently(ctx, requests)
	if (results[0] == nil) == (results[1] == nil) {
		return "", fmt.Errorf("two changes based on generation %d ended with %w and %w", requests[0].BasedOn, results[0], results[1])
	}
	var conflict *operatorclient.ConflictError
	if lost := errors.Join(results...); !errors.As(lost, &conflict) || conflict.Fault.Execution != fault.NotRun || len(conflict.Conflict.Theirs) != 1 {
		return "", fmt.Errorf("the refused change failed without a proper conflict: %w", lost)
	}
	if added := c.headWrites() - writes; added != 1 {
		return "", fmt.Errorf("the store accepted %d writes for two conflicting changes, want 1", added)
	}
	if err := c.awaitGeneration(ctx, requests[0].BasedOn+1); err != nil {
		return "", err
	}
	return "one of two concurrent changes was accepted although the store's reply was lost; the other was refused with a conflict", nil
}

// awaitGeneration waits until every host reports the generation, or a newer one, as in force.
func (c *checker) awaitGeneration(ctx context.Context, generation model.Generation) error {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for {
		status, err := c.env.Operators(0).Status(ctx)
		if err == nil && status.Generation >= generation && status.InForce == len(c.env.Hosts) {
			return nil
		}
		if ctxtime.Sleep(ctx, readyInterval) != nil {
			return fmt.Errorf("generation %d is in force on %d of %d hosts after %s", generation, status.InForce, len(c.env.Hosts), propagationTimeout)
		}
	}
}

func (c *checker) sendConcurrently(ctx context.Context, requests []operatorwire.ChangeRequest) []error {
	results := make([]error, len(requests))
	var wg sync.WaitGroup
	for i, request := range requests {
		wg.Go(func() { _, results[i] = c.env.Operators(i).Change(ctx, request) })
	}
	wg.Wait()
	return results
}
