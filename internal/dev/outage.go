package dev

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorclient"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/platform"
)

// outageDuration exceeds the 3 s after which a host without a confirmed configuration has to prove the outage.
const outageDuration = 5 * time.Second

// storeOutage stops the store under load, attempts a change during the outage, and makes one after the store is back.
func (c *checker) storeOutage(ctx context.Context) (string, error) {
	load := c.env.startLoad(ctx, c.client)
	refused, err := c.outage(ctx)
	outcomes := load.finish()
	if err != nil {
		return "", err
	}
	answers, err := c.checkLoad(outcomes)
	if err != nil {
		return "", err
	}
	propagation, err := c.changeAndAwait(ctx, "after-outage")
	if err != nil {
		return "", fmt.Errorf("after the store's return: %w", err)
	}
	return fmt.Sprintf("%s in %s without the store; a change during the outage was refused as %s; a later one was in force after %d ms",
		answers, outageDuration, refused, propagation.Milliseconds()), nil
}

// outage stops the store for outageDuration and returns the error kind with which a change was refused meanwhile.
func (c *checker) outage(ctx context.Context) (fault.Kind, error) {
	request, err := c.callerChange(ctx, "during-outage", operatorclient.NewChangeID())
	if err != nil {
		return "", err
	}
	c.env.Store.SetFaults(platform.Faults{Down: true})
	defer c.env.Store.SetFaults(platform.Faults{})
	writes := c.headWrites()
	_, err = c.env.Operators(0).Change(ctx, request)
	if err == nil {
		return "", errors.New("a change was reported as accepted while the store was down")
	}
	if err := ctxtime.Sleep(ctx, outageDuration); err != nil {
		return "", err
	}
	if c.headWrites() != writes {
		return "", errors.New("the store recorded a write while it was down")
	}
	if refusal := fault.As(err); refusal.Kind != fault.StoreUnavailable || refusal.Execution != fault.NotRun {
		return "", fmt.Errorf("a change during the outage was refused with an unexpected error: %w", err)
	}
	return fault.StoreUnavailable, nil
}

// changeAndAwait adds a caller and returns the time until every host answered its searches.
func (c *checker) changeAndAwait(ctx context.Context, id string) (time.Duration, error) {
	token := operatorclient.NewChangeID()
	request, err := c.callerChange(ctx, id, token)
	if err != nil {
		return 0, err
	}
	if _, err := c.env.Operators(0).Change(ctx, request); err != nil {
		return 0, err
	}
	return c.awaitCaller(ctx, token, time.Now())
}
