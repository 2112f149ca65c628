package targetclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/targetwire"
)

// controlTimeout limits status and cancel requests. Cancel requests after a cancelled context have no other deadline.
const controlTimeout = 500 * time.Millisecond

// Counters counts events on the connections of a client.
type Counters struct {
	// Opened counts connection attempts, including failed ones.
	Opened atomic.Int64
	// Retired counts connections that were closed because they had become unresponsive.
	Retired atomic.Int64
	// NoReply, Mismatched, Late and Lost count attempts that returned ErrNoReply, ErrMismatch, ErrLate and ErrLost.
	NoReply, Mismatched, Late, Lost atomic.Int64
	// Unexpected counts replies that arrived on connections without a request in progress.
	Unexpected atomic.Int64
}

// HTTP is a TargetClient that uses HTTP/1.1 with at most one attempt in progress per connection.
//
// It manages its own connections, because the transport of net/http may resend a request on another connection and doesn't
// report which connection has become unresponsive.
type HTTP struct {
	dial     Dial
	counters Counters
	// incomplete is charged for the replies that are being read.
	incomplete *membudget.Account

	mu    sync.RWMutex
	limit int
	pools map[model.TargetID]*pool
}

var _ TargetClient = (*HTTP)(nil)

// NewHTTP returns a client that opens at most maxConnections TCP connections to each target.
func NewHTTP(maxConnections int) *HTTP {
	var dialer net.Dialer
	return NewHTTPWithDial(maxConnections, func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// NewHTTPWithDial returns a client that opens its connections with dial.
func NewHTTPWithDial(maxConnections int, dial Dial) *HTTP {
	return &HTTP{
		dial: dial, limit: maxConnections, pools: map[model.TargetID]*pool{}, incomplete: membudget.NewAccount(incompleteBytes),
	}
}

// SetLimit changes the maximum number of connections to a target. Surplus connections are closed once they are idle.
func (h *HTTP) SetLimit(target model.Target, connections int) { h.pool(target).setLimit(connections) }

// KeepOnly closes the connections to all targets except the given ones, for example to targets that have been removed from
// the catalogue. Connections in use close when their request ends.
func (h *HTTP) KeepOnly(targets []model.Target) {
	kept := make(map[model.TargetID]bool, len(targets))
	for _, t := range targets {
		kept[t.ID] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, p := range h.pools {
		if !kept[id] {
			p.close()
			delete(h.pools, id)
		}
	}
}

// Counters returns the client's counters.
func (h *HTTP) Counters() *Counters { return &h.counters }

// Close closes idle connections and refuses waiting and new requests. Connections in use close when their request ends.
func (h *HTTP) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pools {
		p.close()
	}
}

// pool returns the target's pool. It replaces the pool if the target's address has changed.
func (h *HTTP) pool(target model.Target) *pool {
	h.mu.RLock()
	p := h.pools[target.ID]
	h.mu.RUnlock()
	if p != nil && p.address == target.Address {
		return p
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p = h.pools[target.ID]
	if p == nil || p.address != target.Address {
		if p != nil {
			p.close()
		}
		p = &pool{address: target.Address, dial: h.dial, counters: &h.counters, incomplete: h.incomplete, limit: h.limit}
		h.pools[target.ID] = p
	}
	return p
}

// Search implements TargetClient.
func (h *HTTP) Search(ctx context.Context, target model.Target, request SearchRequest) (SearchReply, error) {
	var reply SearchReply
	x := h.newExchange(ctx, target, request.Attempt, request.DeadlineMS)
	late, err := x.sendAttempt(ctx, targetwire.PathSearch, request, &reply,
		func() error { return CheckSearch(target.ID, &request, &reply) })
	if err != nil {
		return SearchReply{}, err
	}
	if late {
		h.counters.Late.Add(1)
		return SearchReply{}, ErrLate
	}
	return reply, nil
}

// Execute implements TargetClient.
func (h *HTTP) Execute(ctx context.Context, target model.Target, request ExecuteRequest) (ExecuteReply, error) {
	var reply ExecuteReply
	x := h.newExchange(ctx, target, request.Attempt, request.DeadlineMS)
	x.unwanted = request.Unwanted
	_, err := x.sendAttempt(ctx, targetwire.PathExecute, request, &reply,
		func() error { return CheckExecute(target.ID, &request, &reply) })
	if err != nil {
		return ExecuteReply{}, err
	}
	return reply, nil
}

// Cancel implements TargetClient. An attempt that is still waiting for a connection returns ErrNotSent.
func (h *HTTP) Cancel(ctx context.Context, target model.Target, attempt model.AttemptID) error {
	if h.pool(target).cancelWaiting(attempt) {
		return nil
	}
	body, err := json.Marshal(targetwire.Cancel{Attempt: attempt.String()})
	if err != nil {
		return err
	}
	_, err = h.sendControl(ctx, target, http.MethodPost, targetwire.PathCancel, body)
	return err
}

// Status implements TargetClient.
func (h *HTTP) Status(ctx context.Context, target model.Target) (model.TargetStatus, error) {
	got, err := h.sendControl(ctx, target, http.MethodGet, targetwire.PathStatus, nil)
	if err != nil {
		return model.TargetStatus{}, err
	}
	var status model.TargetStatus
	if err := json.Unmarshal(got.body, &status); err != nil {
		return model.TargetStatus{}, fmt.Errorf("%w: %w", ErrMismatch, err)
	}
	if status.Target != target.ID {
		return model.TargetStatus{}, ErrMismatch
	}
	return status, nil
}

func (h *HTTP) sendControl(ctx context.Context, target model.Target, method, path string, body []byte) (httpReply, error) {
	x := exchange{client: h, target: target, pool: h.pool(target), control: true}
	x.deadline = AttemptDeadline(ctx, controlTimeout.Milliseconds())
	got, err := x.run(ctx, method, path, body)
	if err != nil {
		return httpReply{}, err
	}
	x.release(true)
	if got.status != http.StatusOK {
		return httpReply{}, fmt.Errorf("target answered %s with status %d", path, got.status)
	}
	return got, nil
}

func (h *HTTP) newExchange(ctx context.Context, target model.Target, attempt model.AttemptID, deadlineMS int64) exchange {
	return exchange{client: h, target: target, pool: h.pool(target), attempt: attempt, deadline: AttemptDeadline(ctx, deadlineMS)}
}

// sendAttempt sends a request at most once and decodes its reply after verifying that it is complete and belongs to the
// request. late reports whether the reply arrived after the deadline.
func (x *exchange) sendAttempt(ctx context.Context, path string, request, reply any, check func() error) (late bool, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	got, err := x.run(ctx, http.MethodPost, path, body)
	if err != nil {
		x.client.countError(err)
		return false, err
	}
	late = time.Now().After(x.deadline)
	err = decode(got, x.attempt, reply, check)
	// After a reply to another request, later replies can't be attributed to their requests, so the connection is discarded.
	x.release(!errors.Is(err, ErrMismatch))
	x.client.countError(err)
	return late, err
}

func (h *HTTP) countError(err error) {
	switch {
	case errors.Is(err, ErrNoReply):
		h.counters.NoReply.Add(1)
	case errors.Is(err, ErrMismatch):
		h.counters.Mismatched.Add(1)
	case errors.Is(err, ErrLost):
		h.counters.Lost.Add(1)
	}
}

// decode verifies and decodes a reply. Its length and checksum prove that it is complete.
func decode(got httpReply, id model.AttemptID, reply any, check func() error) error {
	if targetwire.Checksum(got.body) != got.checksum {
		return fmt.Errorf("%w: wrong checksum", ErrMismatch)
	}
	if got.status != http.StatusOK {
		return decodeError(got.body, id)
	}
	if err := json.NewDecoder(bytes.NewReader(got.body)).Decode(reply); err != nil {
		return fmt.Errorf("%w: %w", ErrMismatch, err)
	}
	return check()
}

// decodeError returns the error that corresponds to an error reply. A reply that names another attempt is a mismatch,
// because it proves nothing about this one.
func decodeError(body []byte, id model.AttemptID) error {
	var reply targetwire.Error
	if err := json.Unmarshal(body, &reply); err != nil || reply.Attempt != id.String() {
		return ErrMismatch
	}
	switch reply.Code {
	case targetwire.CodeVersionGone:
		return ErrVersionGone
	case targetwire.CodeShed:
		return ErrShed
	case targetwire.CodeDraining:
		return ErrDraining
	case targetwire.CodeDeadline:
		return ErrDeadline
	case targetwire.CodeCancelled:
		return ErrCancelled
	}
	return fmt.Errorf("%w: target answered %q", ErrLost, reply.Code)
}
