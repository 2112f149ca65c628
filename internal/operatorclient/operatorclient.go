// Package operatorclient implements a client for the operator API.
package operatorclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/strictjson"
)

const (
	// callTimeout bounds one call to one host. To accept a change, a host makes a few store calls of 500 ms each.
	callTimeout   = 10 * time.Second
	maxReplyBytes = 64 << 20
)

// Config configures a Client.
type Config struct {
	// Hosts lists the IP:port addresses of operator listeners. They are tried in order.
	Hosts []string
	// Token is an operator token.
	Token string
}

// Client is a client for the operator API. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client.
func New(cfg Config) *Client {
	// Connections are not reused: a request on a connection that the host has just closed would fail, which would
	// needlessly leave the outcome of a change unknown.
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// NewChangeID returns a random, unique change ID.
func NewChangeID() string { return strings.ToLower(rand.Text()) }

// ConflictError reports that a change was refused because it is based on an outdated generation. Conflict holds the
// change and those that were accepted before it.
type ConflictError struct {
	Fault    *fault.Error
	Conflict *change.Conflict
}

// Error returns the error message and the remedy.
func (c *ConflictError) Error() string { return c.Fault.Error() }

// Unwrap returns the underlying *fault.Error.
func (c *ConflictError) Unwrap() error { return c.Fault }

// InvalidError reports that a document was refused. Faults lists everything that is wrong with it.
type InvalidError struct {
	Fault  *fault.Error
	Faults strictjson.Faults
}

// Error returns the error message, followed by one line per fault.
func (e *InvalidError) Error() string { return e.Fault.Error() + "\n" + e.Faults.Error() }

// Unwrap returns the underlying *fault.Error.
func (e *InvalidError) Unwrap() error { return e.Fault }

// Get sends a GET request to each host in turn until one can answer, and decodes the response into reply.
func (c *Client) Get(ctx context.Context, path string, query url.Values, reply any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var lastErr error
	for _, host := range c.cfg.Hosts {
		lastErr = c.call(ctx, http.MethodGet, host, path, nil, reply)
		if lastErr == nil || !isHostFailure(lastErr) {
			return lastErr
		}
	}
	return c.unreachableError(lastErr, fault.NotRun)
}

// isHostFailure reports whether the error is specific to one host, so that another host may succeed.
func isHostFailure(err error) bool {
	var typed *fault.Error
	if !errors.As(err, &typed) {
		return true
	}
	switch typed.Kind {
	case fault.NotReady, fault.CutOff, fault.Stopping, fault.Unavailable, fault.StoreUnavailable:
		return true
	default:
		return false
	}
}

// Change submits a change. If a host does not answer, the change is sent to the next host; the change ID prevents it from
// being accepted twice. If the change may have been or may still be accepted, the error has the execution OutcomeUnknown.
func (c *Client) Change(ctx context.Context, request operatorwire.ChangeRequest) (operatorwire.ChangeReply, error) {
	var lastErr error
	mayBeAccepted := false // a host may have received the change without answering
	for _, host := range c.cfg.Hosts {
		var reply operatorwire.ChangeReply
		lastErr = c.call(ctx, http.MethodPost, host, operatorwire.PathChanges, request, &reply)
		if lastErr == nil {
			return reply, nil
		}
		if isFinal(lastErr, mayBeAccepted) {
			return reply, lastErr
		}
		mayBeAccepted = mayBeAccepted || mayHaveRun(lastErr)
		request.Repeat = request.Repeat || mayBeAccepted
	}
	if mayBeAccepted {
		return operatorwire.ChangeReply{}, fault.Wrap(lastErr, fault.Unavailable, fault.OutcomeUnknown,
			"send it again with --change-id "+request.ID, "the outcome of change %s is unknown", request.ID)
	}
	return operatorwire.ChangeReply{}, c.unreachableError(lastErr, fault.NotRun)
}

// isFinal reports whether the error settles the outcome of the change. A conflict does: the change can no longer be
// accepted on top of a later generation, and if it is unknown whether it was accepted earlier, no other host can tell
// either. Any other refusal is final only if no other host may still be processing the change.
func isFinal(err error, mayBeAccepted bool) bool {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return true
	}
	return !mayBeAccepted && !isHostFailure(err) && !mayHaveRun(err)
}

func mayHaveRun(err error) bool {
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed.Execution != fault.NotRun
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// unreachableError returns lastErr if a host returned it, and an Unavailable error that wraps it otherwise.
func (c *Client) unreachableError(lastErr error, execution fault.Execution) error {
	var typed *fault.Error
	if errors.As(lastErr, &typed) {
		return lastErr
	}
	return fault.Wrap(lastErr, fault.Unavailable, execution, "specify a running host with --host",
		"none of the hosts %s can be reached", strings.Join(c.cfg.Hosts, ", "))
}

func (c *Client) call(ctx context.Context, method, host, path string, body, reply any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(content))
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, fault.NotRun, "correct the address", "host %s", host)
	}
	request.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return responseError(host, response.Status, responseBody)
	}
	return json.Unmarshal(responseBody, reply)
}

// responseError converts an error response to a *ConflictError, an *InvalidError or a *fault.Error.
func responseError(host, status string, body []byte) error {
	var reply operatorwire.ErrorReply
	if err := json.Unmarshal(body, &reply); err != nil || reply.Error == nil || reply.Error.Execution == "" {
		return fault.New(fault.Internal, fault.OutcomeUnknown, "specify the address of an operator listener",
			"%s returned status %s without a structured error", host, status)
	}
	if reply.Conflict != nil {
		return &ConflictError{Fault: reply.Error, Conflict: reply.Conflict}
	}
	if len(reply.Faults) > 0 {
		return &InvalidError{Fault: reply.Error, Faults: reply.Faults}
	}
	return reply.Error
}

// Catalogue returns the catalogue in force.
func (c *Client) Catalogue(ctx context.Context) (model.Catalogue, error) {
	var catalogue model.Catalogue
	err := c.Get(ctx, operatorwire.PathCatalogue, nil, &catalogue)
	return catalogue, err
}

// Status returns the rollout status of the newest configuration.
func (c *Client) Status(ctx context.Context) (operatorwire.ConfigurationStatus, error) {
	var status operatorwire.ConfigurationStatus
	err := c.Get(ctx, operatorwire.PathStatus, nil, &status)
	return status, err
}
