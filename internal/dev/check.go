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
	// checkTimeout bounds the check. Together with stopTimeout it is under 40 s.
	checkTimeout = 28 * time.Second
	startTimeout = 10 * time.Second
	// spreadLimit is the time in which an accepted change has to be in force on every host.
	spreadLimit = 4 * time.Second
	// leaveLimit is the time after which a data centre that is out may get no new work.
	leaveLimit = 3 * time.Second
	// outPeriod is how long the data centre stays out.
	outPeriod = leaveLimit + 2*time.Second
	// returnLimit is the time in which a data centre that is back has to get work again.
	returnLimit    = 8 * time.Second
	samplesPerHost = 3
	minWholeLoad   = 0.99
)

// checker runs the steps of the check.
type checker struct {
	env     *Environment
	traffic *traffic
	out     io.Writer
	failed  bool
}

// Check runs sample queries, an operator's change, and a data centre that leaves and returns. It writes a line for each
// step and returns an error unless every step held.
func Check(ctx context.Context, e *Environment, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c := &checker{env: e, traffic: newTraffic(), out: out}
	c.step("start", func() (string, error) { return c.start(ctx) })
	if c.failed {
		return errors.New("the check stopped because the hosts did not start")
	}
	c.step("sample searches", func() (string, error) { return c.samples(ctx) })
	c.step("operations under tickets", func() (string, error) { return c.operations(ctx) })
	c.step("operator's change", func() (string, error) { return c.change(ctx) })
	c.step("operators' race", func() (string, error) { return c.race(ctx) })
	c.step("data centre out and back", func() (string, error) { return c.dataCentre(ctx) })
	c.step("planned stop of a host", func() (string, error) { return c.restart(ctx) })
	c.step("store outage", func() (string, error) { return c.storeOutage(ctx) })
	if c.failed {
		return errors.New("the check failed")
	}
	return nil
}

func (c *checker) step(name string, run func() (string, error)) {
	started := time.Now()
	seen, err := run()
	verdict := "ok  "
	if err != nil {
		verdict, seen, c.failed = "FAIL", err.Error(), true
	}
	fmt.Fprintf(c.out, "%s %-26s %5.1f s  %s\n", verdict, name, time.Since(started).Seconds(), seen)
}

func (c *checker) start(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.traffic.awaitReady(ctx, c.env.Hosts); err != nil {
		return "", err
	}
	// A host is ready when it has a configuration; its first answers are whole when it knows what the targets hold.
	for _, host := range c.env.Hosts {
		for _, search := range c.env.Catalogue.Searches {
			for !c.isWhole(ctx, host, search.ID) {
				if ctxtime.Sleep(ctx, readyInterval) != nil {
					return "", fmt.Errorf("%s does not answer search %s with full coverage", host.Settings.HostID, search.ID)
				}
			}
		}
	}
	return fmt.Sprintf("%d hosts are ready for %d targets", len(c.env.Hosts), len(c.env.Targets)), nil
}

func (c *checker) isWhole(ctx context.Context, host *Host, search model.SearchID) bool {
	o := c.traffic.search(ctx, host, c.env.CallerToken, search)
	return o.answered() && o.reply.Coverage.Total > 0 && o.reply.Coverage.Answered == o.reply.Coverage.Total
}

func (c *checker) samples(ctx context.Context) (string, error) {
	var outcomes []outcome
	for _, host := range c.env.Hosts {
		for _, search := range c.env.Catalogue.Searches {
			for range samplesPerHost {
				outcomes = append(outcomes, c.traffic.search(ctx, host, c.env.CallerToken, search.ID))
			}
		}
	}
	judge := newJudge(c.env)
	attempts, shards := 0, 0
	for _, o := range outcomes {
		if !o.answered() {
			return "", fmt.Errorf("search %s at %s: %s", o.search, o.host.Settings.HostID, o.reason())
		}
		if err := judge.check(o); err != nil {
			return "", err
		}
		if o.reply.Coverage.Answered < o.reply.Coverage.Total {
			return "", fmt.Errorf("search %s at %s has coverage %.3f", o.search, o.host.Settings.HostID, o.reply.Coverage.Fraction)
		}
		attempts += len(judge.attempts[o.marker])
		shards += o.reply.Coverage.Total
	}
	return fmt.Sprintf("%d answers equal the documents of their snapshot; the targets recorded %d attempts for %d shards",
		len(outcomes), attempts, shards), nil
}

// change adds a caller through one host and waits until targets run work of this caller for every host. Then it sends the
// same change again through another host.
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
	spread, err := c.awaitCaller(ctx, token, accepted)
	if err != nil {
		return "", err
	}
	writes := c.headWrites()
	again, err := c.env.Operators(1).Change(ctx, request)
	if err != nil {
		return "", fmt.Errorf("sent again through another host: %w", err)
	}
	if again.Generation != reply.Generation || c.headWrites() != writes {
		return "", fmt.Errorf("sent again, change %s was accepted twice, as generations %d and %d", request.ID, reply.Generation, again.Generation)
	}
	return fmt.Sprintf("generation %d in force on %d hosts after %d ms; sent again, it was accepted once",
		reply.Generation, len(c.env.Hosts), spread.Milliseconds()), nil
}

// callerChange returns a change that adds a caller.
func (c *checker) callerChange(ctx context.Context, id, token string) (operatorwire.ChangeRequest, error) {
	entry, err := json.Marshal(TrialCaller(&c.env.Catalogue, model.CallerID(id), token))
	if err != nil {
		return operatorwire.ChangeRequest{}, err
	}
	return c.request(ctx, change.Edit{Op: change.Put, Kind: change.Caller, ID: id, Value: entry})
}

// request returns a change that is based on the newest generation that any host has in force. The generation of one host
// may still be older, shortly after another change.
func (c *checker) request(ctx context.Context, edits ...change.Edit) (operatorwire.ChangeRequest, error) {
	status, err := c.env.Operators(0).Status(ctx)
	if err != nil {
		return operatorwire.ChangeRequest{}, err
	}
	return operatorwire.ChangeRequest{Change: change.Change{
		ID: operatorclient.NewChangeID(), BasedOn: status.Generation, Author: "dev", Reason: "check", Edits: edits,
	}}, nil
}

// headWrites returns the number of accepted writes of the configuration in the records of the store.
func (c *checker) headWrites() int {
	count := 0
	for _, entry := range c.env.Store.History() {
		if entry.Key == "head" {
			count++
		}
	}
	return count
}

// awaitCaller waits until the targets have run a search with the token for every host.
func (c *checker) awaitCaller(ctx context.Context, token string, since time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	var markers []string
	for _, host := range c.env.Hosts {
		for {
			o := c.traffic.search(ctx, host, token, c.env.Catalogue.Searches[0].ID)
			if o.answered() {
				markers = append(markers, o.marker)
				break
			}
			if ctxtime.Sleep(ctx, readyInterval) != nil {
				return 0, fmt.Errorf("%s does not know the change after %s: %s", host.Settings.HostID, spreadLimit, o.reason())
			}
		}
	}
	spread := time.Since(since)
	judge := newJudge(c.env)
	for _, marker := range markers {
		if len(judge.attempts[marker]) == 0 {
			return 0, fmt.Errorf("%s: answered, but no target ran an attempt", marker)
		}
	}
	return spread, nil
}
