package target

import (
	"context"
	"errors"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// Client is a TargetClient that calls stand-ins in the same process, without connections.
type Client struct {
	targets map[model.TargetID]*Target
	delay   func(model.Target) time.Duration
	// Unchecked disables the checks of replies, as in a naive client.
	Unchecked bool
}

var _ targetclient.TargetClient = (*Client)(nil)

// NewClient returns a client of the targets. delay returns the one-way network delay to a target; nil means no delay.
func NewClient(targets map[model.TargetID]*Target, delay func(model.Target) time.Duration) *Client {
	if delay == nil {
		delay = func(model.Target) time.Duration { return 0 }
	}
	return &Client{targets: targets, delay: delay}
}

// Search implements TargetClient.
func (c *Client) Search(ctx context.Context, at model.Target, request targetclient.SearchRequest) (targetclient.SearchReply, error) {
	var reply targetclient.SearchReply
	fault, late, err := c.attempt(ctx, at, request.Attempt, request.DeadlineMS, func(ctx context.Context, t *Target) (err error) {
		reply, err = t.Search(ctx, request)
		return err
	})
	if err != nil {
		return targetclient.SearchReply{}, err
	}
	reply = c.targets[at.ID].applyFault(fault, request, reply)
	if c.Unchecked {
		return reply, nil
	}
	if err := targetclient.CheckSearch(at.ID, &request, &reply); err != nil {
		return targetclient.SearchReply{}, err
	}
	if fault == FaultTruncated {
		return targetclient.SearchReply{}, targetclient.ErrMismatch
	}
	if late {
		return targetclient.SearchReply{}, targetclient.ErrLate
	}
	return reply, nil
}

// Execute implements TargetClient.
func (c *Client) Execute(ctx context.Context, at model.Target, request targetclient.ExecuteRequest) (targetclient.ExecuteReply, error) {
	var reply targetclient.ExecuteReply
	fault, _, err := c.attempt(ctx, at, request.Attempt, request.DeadlineMS, func(ctx context.Context, t *Target) (err error) {
		reply, err = t.Execute(ctx, request)
		return err
	})
	if err != nil {
		return targetclient.ExecuteReply{}, err
	}
	if fault != "" && !c.Unchecked {
		return targetclient.ExecuteReply{}, targetclient.ErrMismatch
	}
	return reply, nil
}

// Cancel implements TargetClient.
func (c *Client) Cancel(ctx context.Context, at model.Target, attempt model.AttemptID) error {
	t, err := c.connect(ctx, at)
	if err != nil {
		return err
	}
	t.Cancel(attempt)
	return nil
}

// Status implements TargetClient.
func (c *Client) Status(ctx context.Context, at model.Target) (model.TargetStatus, error) {
	t, err := c.connect(ctx, at)
	if err != nil {
		return model.TargetStatus{}, err
	}
	status := t.Status()
	return status, ctxtime.Sleep(ctx, c.delay(at))
}

// connect returns the target after the network delay.
func (c *Client) connect(ctx context.Context, at model.Target) (*Target, error) {
	t := c.targets[at.ID]
	if t == nil || !t.Available() {
		return nil, targetclient.ErrNotSent
	}
	return t, ctxtime.Sleep(ctx, c.delay(at))
}

// attempt runs an attempt at a target and returns the fault to apply to its reply.
func (c *Client) attempt(ctx context.Context, at model.Target, id model.AttemptID, deadlineMS int64,
	run func(context.Context, *Target) error) (fault Fault, late bool, err error) {
	t := c.targets[at.ID]
	if ctx.Err() != nil || t == nil || !t.Available() {
		return "", false, targetclient.ErrNotSent
	}
	deadline := targetclient.AttemptDeadline(ctx, deadlineMS)
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			time.Sleep(c.delay(at))
			t.Cancel(id)
		}
	})
	defer stop()
	sent, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(targetclient.ReplyGrace))
	defer cancel()
	time.Sleep(c.delay(at))
	if err = run(sent, t); err == nil {
		fault = t.takeFault()
	}
	switch {
	case sent.Err() != nil, fault == FaultSilent:
		<-sent.Done()
		return "", true, targetclient.ErrNoReply
	case fault == FaultReset:
		err = targetclient.ErrLost
	}
	if ctxtime.Sleep(sent, c.delay(at)) != nil {
		return "", true, targetclient.ErrNoReply
	}
	return fault, time.Now().After(deadline), err
}
