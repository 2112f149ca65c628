// Package operatorclient is the client of the operator listener.
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
	// callTimeout bounds one call to one host. A host needs a few calls to the store of 500 ms each to accept a change.
	callTimeout   = 10 * time.Second
	maxReplyBytes = 64 << 20
)

// Config describes how operators reach the hosts.
type Config struct {
	// Hosts are the IP:port addresses of operator listeners. They are tried in order.
	Hosts []string
	// Token is an operator's token.
	Token string
}

// Client talks to the operator listeners. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client.
func New(cfg Config) *Client {
	// A connection is not reused: a request on a connection that the host has just closed would fail, and the outcome of
	// a change would be unknown without need.
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// NewChangeID returns an id that no other change has.
func NewChangeID() string { return strings.ToLower(rand.Text()) }

// ConflictError is the refusal of a change that is based on an older generation, with both sides.
type ConflictError struct {
	Fault    *fault.Error
	Conflict *change.Conflict
}

// Error returns the message and the remedy.
func (c *ConflictError) Error() string { return c.Fault.Error() }

// Unwrap returns the typed error.
func (c *ConflictError) Unwrap() error { return c.Fault }

// InvalidError is the refusal of a document, with all of its faults.
type InvalidError struct {
	Fault  *fault.Error
	Faults strictjson.Faults
}

// Error returns the message and one line for each fault.
func (e *InvalidError) Error() string { return e.Fault.Error() + "\n" + e.Faults.Error() }

// Unwrap returns the typed error.
func (e *InvalidError) Unwrap() error { return e.Fault }

// Get reads a path from the first host that can answer.
func (c *Client) Get(ctx context.Context, path string, query url.Values, reply any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var last error
	for _, host := range c.cfg.Hosts {
		last = c.call(ctx, http.MethodGet, host, path, nil, reply)
		if last == nil || !isHostFailure(last) {
			return last
		}
	}
	return c.noHost(last, fault.NotRun)
}

// isHostFailure tells whether another host may succeed where this one failed.
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

// Change sends a change. If a host does not answer, the same change goes to the next host: the change id keeps it from
// being accepted twice. The error has the execution OutcomeUnknown if the change may still be accepted.
func (c *Client) Change(ctx context.Context, request operatorwire.ChangeRequest) (operatorwire.ChangeReply, error) {
	var last error
	sent := false // a host may have the change without having answered
	for _, host := range c.cfg.Hosts {
		var reply operatorwire.ChangeReply
		last = c.call(ctx, http.MethodPost, host, operatorwire.PathChanges, request, &reply)
		if last == nil {
			return reply, nil
		}
		if isFinal(last, sent) {
			return reply, last
		}
		sent = sent || mayHaveRun(last)
		request.Repeat = request.Repeat || sent
	}
	if sent {
		return operatorwire.ChangeReply{}, fault.Wrap(last, fault.Unavailable, fault.OutcomeUnknown,
			"send it again with --change-id "+request.ID, "the outcome of change %s is unknown", request.ID)
	}
	return operatorwire.ChangeReply{}, c.noHost(last, fault.NotRun)
}

// isFinal tells whether the refusal decides the change's outcome. A conflict does: the change can't be accepted on top of
// a later generation, and if it is not known whether it was accepted before, no other host knows more. Any other refusal
// does only if no other host may still be working on the change.
func isFinal(err error, sent bool) bool {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return true
	}
	return !sent && !isHostFailure(err) && !mayHaveRun(err)
}

func mayHaveRun(err error) bool {
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed.Execution != fault.NotRun
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

func (c *Client) noHost(last error, execution fault.Execution) error {
	var typed *fault.Error
	if errors.As(last, &typed) {
		return last
	}
	return fault.Wrap(last, fault.Unavailable, execution, "name a host that is running with --host",
		"no host of %s can be reached", strings.Join(c.cfg.Hosts, ", "))
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
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return refusal(host, response.Status, answer)
	}
	return json.Unmarshal(answer, reply)
}

func refusal(host, status string, answer []byte) error {
	var reply operatorwire.ErrorReply
	if err := json.Unmarshal(answer, &reply); err != nil || reply.Error == nil || reply.Error.Execution == "" {
		return fault.New(fault.Internal, fault.OutcomeUnknown, "name the operator listener of a host",
			"%s answered %s without a typed error", host, status)
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

// Status returns how far the newest configuration has spread.
func (c *Client) Status(ctx context.Context) (operatorwire.ConfigurationStatus, error) {
	var status operatorwire.ConfigurationStatus
	err := c.Get(ctx, operatorwire.PathStatus, nil, &status)
	return status, err
}
