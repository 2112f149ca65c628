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

// dataCentre takes the last data centre out and back under load.
func (c *checker) dataCentre(ctx context.Context) (string, error) {
	centres := c.env.Catalogue.DataCentres
	centre := centres[len(centres)-1].ID
	load := c.env.startLoad(ctx, c.traffic)
	seen, err := c.leaveAndReturn(ctx, centre)
	outcomes := load.finish()
	if err != nil {
		return "", err
	}
	answers, err := c.checkLoad(outcomes)
	if err != nil {
		return "", err
	}
	return seen + "; " + answers, nil
}

func (c *checker) leaveAndReturn(ctx context.Context, centre model.DataCentreID) (string, error) {
	value, err := json.Marshal(model.DataCentreOut{ID: centre, Reason: "check"})
	if err != nil {
		return "", err
	}
	left, err := c.edit(ctx, change.Edit{Op: change.Put, Kind: change.DataCentreOut, ID: string(centre), Value: value})
	if err != nil {
		return "", fmt.Errorf("data centre out: %w", err)
	}
	if err := ctxtime.Sleep(ctx, outPeriod); err != nil {
		return "", err
	}
	end := time.Now()
	if err := c.checkReadiness(ctx, centre); err != nil {
		return "", err
	}
	if late := newJudge(c.env).workIn(centre, left.Add(leaveLimit), end); len(late) > 0 {
		return "", fmt.Errorf("%s got %d attempts later than %s after it was taken out", centre, len(late), leaveLimit)
	}
	last := c.lastWork(centre, left, end)
	returned, err := c.edit(ctx, change.Edit{Op: change.Delete, Kind: change.DataCentreOut, ID: string(centre)})
	if err != nil {
		return "", fmt.Errorf("data centre in: %w", err)
	}
	back, err := c.awaitWork(ctx, centre, returned)
	if err != nil {
		return "", err
	}
	ready, cancel := context.WithTimeout(ctx, returnLimit)
	defer cancel()
	if err := c.traffic.awaitReady(ready, c.env.Hosts); err != nil {
		return "", fmt.Errorf("after the return: %w", err)
	}
	return fmt.Sprintf("%s got its last attempt %d ms after it was taken out and work again %d ms after its return",
		centre, last.Milliseconds(), back.Milliseconds()), nil
}

// checkReadiness asks every host as the balancer does. The hosts of the data centre must be not ready, the others ready.
func (c *checker) checkReadiness(ctx context.Context, out model.DataCentreID) error {
	for _, host := range c.env.Hosts {
		if ready := c.traffic.isReady(ctx, host); ready == (host.Settings.DataCentre == out) {
			return fmt.Errorf("%s in %s is ready: %t, while %s is out", host.Settings.HostID, host.Settings.DataCentre, ready, out)
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

// lastWork returns when the last attempt began at a target of the data centre.
func (c *checker) lastWork(centre model.DataCentreID, from, to time.Time) time.Duration {
	last := time.Duration(0)
	for _, attempt := range newJudge(c.env).workIn(centre, from, to) {
		last = max(last, attempt.Start.Sub(from))
	}
	return last
}

// awaitWork waits until a target of the data centre has run work again.
func (c *checker) awaitWork(ctx context.Context, centre model.DataCentreID, since time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, returnLimit)
	defer cancel()
	for ctxtime.Sleep(ctx, readyInterval) == nil {
		for _, attempt := range newJudge(c.env).workIn(centre, since, time.Now()) {
			if attempt.Ran {
				return attempt.Start.Sub(since), nil
			}
		}
	}
	return 0, fmt.Errorf("%s got no work within %s after its return", centre, returnLimit)
}

// checkLoad judges every search of the load and tells how many were answered with full coverage.
func (c *checker) checkLoad(outcomes []outcome) (string, error) {
	judge := newJudge(c.env)
	whole := 0
	last := "none"
	for _, o := range outcomes {
		if o.failure != nil {
			return "", fmt.Errorf("%s at %s: %w", o.marker, o.host.Settings.HostID, o.failure)
		}
		if !o.answered() {
			last = fmt.Sprintf("%s at %s", o.reason(), o.host.Settings.HostID)
			continue
		}
		if err := judge.check(o); err != nil {
			return "", err
		}
		if o.reply.Coverage.Total == 0 || o.reply.Coverage.Answered < o.reply.Coverage.Total {
			last = fmt.Sprintf("%d of %d shards at %s", o.reply.Coverage.Answered, o.reply.Coverage.Total, o.host.Settings.HostID)
			continue
		}
		whole++
	}
	if float64(whole) < minWholeLoad*float64(len(outcomes)) || whole == 0 {
		return "", fmt.Errorf("only %d of %d searches were answered with full coverage; the last other outcome: %s", whole, len(outcomes), last)
	}
	text := fmt.Sprintf("%d of %d searches answered in full, none wrong or cut", whole, len(outcomes))
	if whole < len(outcomes) {
		text += ", the last other outcome: " + last
	}
	return text, nil
}
