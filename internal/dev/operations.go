package dev

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const operationsPerHost = 2

// operation is an executed operation of a service, with its request and first result.
type operation struct {
	marker  string
	service model.ServiceID
	body    callerapi.ExecuteRequest
	result  callerapi.ExecuteReply
}

// operations executes operations of every service through every host and resends each through another host.
func (c *checker) operations(ctx context.Context) (string, error) {
	var done []operation
	for i, host := range c.env.Hosts {
		other := c.env.Hosts[(i+1)%len(c.env.Hosts)]
		for _, service := range c.env.Catalogue.Services {
			for range operationsPerHost {
				op, err := c.execute(ctx, host, service.ID)
				if err != nil {
					return "", err
				}
				if err := c.resend(ctx, other, op); err != nil {
					return "", err
				}
				done = append(done, op)
			}
		}
	}
	if err := c.checkRanOnce(done); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d operations ran exactly once each although each was sent through two hosts", len(done)), nil
}

// execute requests a ticket and executes one operation with it.
func (c *checker) execute(ctx context.Context, host *Host, service model.ServiceID) (operation, error) {
	op := operation{marker: fmt.Sprintf("o%06d", c.client.nextMarker.Add(1)), service: service}
	var issued callerapi.TicketReply
	refusal, err := c.client.call(ctx, host, "/v1/tickets", c.env.CallerToken, callerapi.TicketRequest{Service: service}, &issued)
	if err != nil {
		return op, err
	}
	if refusal != nil {
		return op, fmt.Errorf("ticket for %s at %s: %w", service, host.Settings.HostID, refusal)
	}
	payload, err := json.Marshal(searchQuery{Marker: op.marker})
	if err != nil {
		return op, err
	}
	op.body = callerapi.ExecuteRequest{
		Ticket: issued.Ticket, Operation: "record", Payload: payload, DeadlineMS: queryDeadline.Milliseconds(),
	}
	op.result, err = c.send(ctx, host, op)
	return op, err
}

func (c *checker) send(ctx context.Context, host *Host, op operation) (callerapi.ExecuteReply, error) {
	var reply callerapi.ExecuteReply
	refusal, err := c.client.call(ctx, host, callerapi.PathExecute, c.env.CallerToken, op.body, &reply)
	if err != nil {
		return reply, err
	}
	if refusal != nil {
		return reply, fmt.Errorf("operation of %s at %s: %w", op.service, host.Settings.HostID, refusal)
	}
	return reply, nil
}

// resend sends the operation again through another host, which must return the first result.
func (c *checker) resend(ctx context.Context, host *Host, op operation) error {
	again, err := c.send(ctx, host, op)
	if err != nil {
		return fmt.Errorf("resend: %w", err)
	}
	if again.Execution != op.result.Execution || string(again.Result) != string(op.result.Result) {
		return fmt.Errorf("operation %s of %s returned a different result when it was resent through %s", op.marker, op.service, host.Settings.HostID)
	}
	return nil
}

// checkRanOnce returns an error unless the targets' records show that each operation ran exactly once.
func (c *checker) checkRanOnce(done []operation) error {
	verifier := newVerifier(c.env)
	for _, op := range done {
		ran := 0
		for _, attempt := range verifier.attempts[op.marker] {
			if attempt.Ran {
				ran++
			}
		}
		if ran != 1 {
			return fmt.Errorf("operation %s of %s ran %d times", op.marker, op.service, ran)
		}
	}
	return nil
}
