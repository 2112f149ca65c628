package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorclient"
)

const (
	// checkTimeout bounds the check. Check and stop together must take less than 40 s, see stopTimeout.
	checkTimeout = 28 * time.Second
	startTimeout = 10 * time.Second
	// propagationTimeout is the time within which an accepted change must be in force on every host.
	propagationTimeout = 4 * time.Second
	// drainTimeout is the time after which a data centre that was taken out must not receive new work.
	drainTimeout = 3 * time.Second
	// outDuration is how long the data centre stays out.
	outDuration = drainTimeout + 2*time.Second
	// returnTimeout is the time within which a data centre must receive work again after its return.
	returnTimeout   = 8 * time.Second
	samplesPerHost  = 3
	minFullCoverage = 0.99
)

// checker runs the steps of Check and writes their results to out.
type checker struct {
	env    *Environment
	client *callerClient
	out    io.Writer
	failed bool
}

// Check tests searches, operations, configuration changes, a data centre out and back, a planned stop of a host and a
// store outage. It writes one line per step and returns an error if any step failed.
func Check(ctx context.Context, e *Environment, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c := &checker{env: e, client: newCallerClient(), out: out}
	c.step("start", func() (string, error) { return c.start(ctx) })
	if c.failed {
		return errors.New("the check stopped because the hosts did not start")
	}
	c.step("sample searches", func() (string, error) { return c.samples(ctx) })
	c.step("operations under tickets", func() (string, error) { return c.operations(ctx) })
	c.step("operator's change", func() (string, error) { return c.change(ctx) })
	c.step("concurrent changes", func() (string, error) { return c.concurrentChanges(ctx) })
	c.step("data centre out and back", func() (string, error) { return c.dataCentreOutAndBack(ctx) })
	c.step("planned stop of a host", func() (string, error) { return c.restart(ctx) })
	c.step("store outage", func() (string, error) { return c.storeOutage(ctx) })
	if c.failed {
		return errors.New("the check failed")
	}
	return nil
}

func (c *checker) step(name string, run func() (string, error)) {
	started := time.Now()
	summary, err := run()
	status := "ok  "
	if err != nil {
		status, summary, c.failed = "FAIL", err.Error(), true
	}
	fmt.Fprintf(c.out, "%s %-26s %5.1f s  %s\n", status, name, time.Since(started).Seconds(), summary)
}

func (c *checker) start(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.client.awaitReady(ctx, c.env.Hosts); err != nil {
		return "", err
	}
	// A ready host has a configuration, but gives full coverage only after it has learnt which shards the targets hold.
	for _, host := range c.env.Hosts {
		for _, search := range c.env.Catalogue.Searches {
			for !c.hasFullCoverage(ctx, host, search.ID) {
				if ctxtime.Sleep(ctx, readyInterval) != nil {
					return "", fmt.Errorf("%s does not answer search %s with full coverage", host.Settings.HostID, search.ID)
				}
			}
		}
	}
	return fmt.Sprintf("%d hosts are ready for %d targets", len(c.env.Hosts), len(c.env.Targets)), nil
}

func (c *checker) hasFullCoverage(ctx context.Context, host *Host, search model.SearchID) bool {
	o := c.client.search(ctx, host, c.env.CallerToken, search)
	return o.answered() && o.reply.Coverage.Total > 0 && o.reply.Coverage.Answered == o.reply.Coverage.Total
}

func (c *checker) samples(ctx context.Context) (string, error) {
	var outcomes []outcome
	for _, host := range c.env.Hosts {
		for _, search := range c.env.Catalogue.Searches {
			for range samplesPerHost {
				outcomes = append(outcomes, c.client.search(ctx, host, c.env.CallerToken, search.ID))
			}
		}
	}
	verifier := newVerifier(c.env)
	attempts, shards := 0, 0
	for _, o := range outcomes {
		if !o.answered() {
			return "", fmt.Errorf("search %s at %s: %s", o.search, o.host.Settings.HostID, o.reason())
		}
		if err := verifier.check(o); err != nil {
			return "", err
		}
		if o.reply.Coverage.Answered < o.reply.Coverage.Total {
			return "", fmt.Errorf("search %s at %s has coverage %.3f", o.search, o.host.Settings.HostID, o.reply.Coverage.Fraction)
		}
		attempts += len(verifier.attempts[o.marker])
		shards += o.reply.Coverage.Total
	}
	return fmt.Sprintf("%d answers equal the documents of their snapshot; the targets recorded %d attempts for %d shards",
		len(outcomes), attempts, shards), nil
}

// change adds a caller through one host and waits until every host answers searches of this caller. Then it resends the
// change through another host, which must not apply it twice.
func (c *checker) change(ctx context.Context) (string, error) {
	token := operatorclient.NewChangeID()
	request, err := c.callerChange(ctx, "added", token)
	if err != nil {
		return "", err
	}
	reply, err := c.env.Operators(0).Change(ctx, request)
	if err != nil {
		return "", err
	}
	accepted := time.Now()
	propagation, err := c.awaitCaller(ctx, token, accepted)
	if err != nil {
		return "", err
	}
	writes := c.headWrites()
	again, err := c.env.Operators(1).Change(ctx, request)
	if err != nil {
		return "", fmt.Errorf("resent through another host: %w", err)
	}
	if again.Generation != reply.Generation || c.headWrites() != writes {
		return "", fmt.Errorf("change %s was accepted again when it was resent: generations %d and %d", request.ID, reply.Generation, again.Generation)
	}
	return fmt.Sprintf("generation %d in force on %d hosts after %d ms; accepted only once although it was resent",
		reply.Generation, len(c.env.Hosts), propagation.Milliseconds()), nil
}

// callerChange returns a change that adds a caller.
func (c *checker) callerChange(ctx context.Context, id, token string) (operatorwire.ChangeRequest, error) {
	entry, err := json.Marshal(TrialCaller(&c.env.Catalogue, model.CallerID(id), token))
	if err != nil {
		return operatorwire.ChangeRequest{}, err
	}
	return c.request(ctx, change.Edit{Op: change.Put, Kind: change.Caller, ID: id, Value: entry})
}

// request returns a change based on the newest generation in force on any host. Shortly after another change, a single
// host may still have an older one.
func (c *checker) request(ctx context.Context, edits ...change.Edit) (operatorwire.ChangeRequest, error) {
	status, err := c.env.Operators(0).Status(ctx)
	if err != nil {
		return operatorwire.ChangeRequest{}, err
	}
	return operatorwire.ChangeRequest{Change: change.Change{
		ID: operatorclient.NewChangeID(), BasedOn: status.Generation, Author: "dev", Reason: "check", Edits: edits,
	}}, nil
}

// headWrites returns how many writes of the configuration head the store has accepted.
func (c *checker) headWrites() int {
	count := 0
	for _, entry := range c.env.Store.History() {
		if entry.Key == "head" {
			count++
		}
	}
	return count
}

// awaitCaller waits until every host has answered a search with the token and returns the time since the change. It
// fails if the targets did not record an attempt for each of these searches.
func (c *checker) awaitCaller(ctx context.Context, token string, since time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	var markers []string
	for _, host := range c.env.Hosts {
		for {
			o := c.client.search(ctx, host, token, c.env.Catalogue.Searches[0].ID)
			if o.answered() {
				markers = append(markers, o.marker)
				break
			}
			if ctxtime.Sleep(ctx, readyInterval) != nil {
				return 0, fmt.Errorf("%s has not applied the change after %s: %s", host.Settings.HostID, propagationTimeout, o.reason())
			}
		}
	}
	propagation := time.Since(since)
	verifier := newVerifier(c.env)
	for _, marker := range markers {
		if len(verifier.attempts[marker]) == 0 {
			return 0, fmt.Errorf("search %s was answered, but no target recorded an attempt", marker)
		}
	}
	return propagation, nil
}
