package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// dataCentreOutAndBack takes the last data centre out and back in under load.
func (c *checker) dataCentreOutAndBack(ctx context.Context) (string, error) {
	centres := c.env.Catalogue.DataCentres
	centre := centres[len(centres)-1].ID
	load := c.env.startLoad(ctx, c.client)
	summary, err := c.takeOutAndBack(ctx, centre)
	outcomes := load.finish()
	if err != nil {
		return "", err
	}
	answers, err := c.checkLoad(outcomes)
	if err != nil {
		return "", err
	}
	return summary + "; " + answers, nil
}

func (c *checker) takeOutAndBack(ctx context.Context, centre model.DataCentreID) (string, error) {
	value, err := json.Marshal(model.DataCentreOut{ID: centre, Reason: "check"})
	if err != nil {
		return "", err
	}
	left, err := c.edit(ctx, change.Edit{Op: change.Put, Kind: change.DataCentreOut, ID: string(centre), Value: value})
	if err != nil {
		return "", fmt.Errorf("data centre out: %w", err)
	}
	if err := ctxtime.Sleep(ctx, outDuration); err != nil {
		return "", err
	}
	end := time.Now()
	if err := c.checkReadiness(ctx, centre); err != nil {
		return "", err
	}
	if late := newVerifier(c.env).attemptsIn(centre, left.Add(drainTimeout), end); len(late) > 0 {
		return "", fmt.Errorf("%s received %d attempts more than %s after it was taken out", centre, len(late), drainTimeout)
	}
	last := c.lastAttempt(centre, left, end)
	returned, err := c.edit(ctx, change.Edit{Op: change.Delete, Kind: change.DataCentreOut, ID: string(centre)})
	if err != nil {
		return "", fmt.Errorf("data centre in: %w", err)
	}
	back, err := c.awaitAttempt(ctx, centre, returned)
	if err != nil {
		return "", err
	}
	ready, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	if err := c.client.awaitReady(ready, c.env.Hosts); err != nil {
		return "", fmt.Errorf("after the return: %w", err)
	}
	return fmt.Sprintf("%s received its last attempt %d ms after it was taken out and its first one %d ms after its return",
		centre, last.Milliseconds(), back.Milliseconds()), nil
}

// checkReadiness returns an error unless exactly the hosts outside the data centre are ready.
func (c *checker) checkReadiness(ctx context.Context, out model.DataCentreID) error {
	for _, host := range c.env.Hosts {
		if ready := c.client.isReady(ctx, host); ready == (host.Settings.DataCentre == out) {
			return fmt.Errorf("%s in %s reports ready = %t while %s is out", host.Settings.HostID, host.Settings.DataCentre, ready, out)
		}
	}
	return nil
}

// edit sends one edit and returns the time of its acceptance.
func (c *checker) edit(ctx context.Context, edit change.Edit) (time.Time, error) {
	request, err := c.request(ctx, edit)
	if err != nil {
		return time.Time{}, err
	}
	_, err = c.env.Operators(0).Change(ctx, request)
	return time.Now(), err
}

// lastAttempt returns the start of the last attempt at a target of the data centre, as the time since from.
func (c *checker) lastAttempt(centre model.DataCentreID, from, to time.Time) time.Duration {
	last := time.Duration(0)
	for _, attempt := range newVerifier(c.env).attemptsIn(centre, from, to) {
		last = max(last, attempt.Start.Sub(from))
	}
	return last
}

// awaitAttempt waits until a target of the data centre has executed an attempt again and returns its start, as the time
// since the given one.
func (c *checker) awaitAttempt(ctx context.Context, centre model.DataCentreID, since time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	for ctxtime.Sleep(ctx, readyInterval) == nil {
		for _, attempt := range newVerifier(c.env).attemptsIn(centre, since, time.Now()) {
			if attempt.Ran {
				return attempt.Start.Sub(since), nil
			}
		}
	}
	return 0, fmt.Errorf("%s received no work within %s after its return", centre, returnTimeout)
}

// checkLoad verifies every answer of the load and reports how many searches had full coverage.
func (c *checker) checkLoad(outcomes []outcome) (string, error) {
	verifier := newVerifier(c.env)
	full := 0
	last := "none"
	for _, o := range outcomes {
		if o.failure != nil {
			return "", fmt.Errorf("%s at %s: %w", o.marker, o.host.Settings.HostID, o.failure)
		}
		if !o.answered() {
			last = fmt.Sprintf("%s at %s", o.reason(), o.host.Settings.HostID)
			continue
		}
		if err := verifier.check(o); err != nil {
			return "", err
		}
		if o.reply.Coverage.Total == 0 || o.reply.Coverage.Answered < o.reply.Coverage.Total {
			last = fmt.Sprintf("%d of %d shards at %s", o.reply.Coverage.Answered, o.reply.Coverage.Total, o.host.Settings.HostID)
			continue
		}
		full++
	}
	if float64(full) < minFullCoverage*float64(len(outcomes)) || full == 0 {
		return "", fmt.Errorf("only %d of %d searches were answered with full coverage; the last other outcome: %s", full, len(outcomes), last)
	}
	text := fmt.Sprintf("%d of %d searches answered with full coverage, none wrong or truncated", full, len(outcomes))
	if full < len(outcomes) {
		text += ", the last other outcome: " + last
	}
	return text, nil
}
