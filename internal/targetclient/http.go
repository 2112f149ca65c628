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

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/wire"
)

// controlTimeout bounds status requests without a deadline and the cancel requests that follow a cancelled context.
const controlTimeout = 500 * time.Millisecond

// Counters count what happened on the connections of a client.
type Counters struct {
	// Opened counts connections that were opened, failed ones included.
	Opened atomic.Int64
	// Retired counts connections given up for silence.
	Retired atomic.Int64
	// Silent, Mismatched, Late and Lost count attempts by the error that they returned.
	Silent, Mismatched, Late, Lost atomic.Int64
	// Unexpected counts replies on connections where no request was waiting.
	Unexpected atomic.Int64
}

// HTTP is a TargetClient over HTTP/1.1 with one attempt per connection at a time.
//
// It keeps its own connections, because the transport of net/http can send a request again on another connection and
// does not tell which connection has fallen silent.
type HTTP struct {
	dial     Dial
	counters Counters

	mu    sync.RWMutex
	limit int
	pools map[model.TargetID]*pool
}

var _ TargetClient = (*HTTP)(nil)

// NewHTTP returns a client that opens at most maxConnections TCP connections to each target.
func NewHTTP(maxConnections int) *HTTP {
	var dialer net.Dialer
	return NewHTTPOver(maxConnections, func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// NewHTTPOver returns a client that opens its connections with dial.
func NewHTTPOver(maxConnections int, dial Dial) *HTTP {
	return &HTTP{dial: dial, limit: maxConnections, pools: map[model.TargetID]*pool{}}
}

// SetLimit changes the number of connections to a target. Surplus connections close as soon as they are idle.
func (h *HTTP) SetLimit(target model.Target, connections int) { h.pool(target).setLimit(connections) }

// KeepOnly ends the connections to all other targets, for instance those that the catalogue no longer has.
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

// Close ends idle connections and refuses new requests.
func (h *HTTP) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pools {
		p.close()
	}
}

// pool returns the target's pool. A target that has moved to another address gets a new one.
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
		p = &pool{address: target.Address, dial: h.dial, counters: &h.counters, limit: h.limit}
		h.pools[target.ID] = p
	}
	return p
}

// Search implements TargetClient.
func (h *HTTP) Search(ctx context.Context, target model.Target, request SearchRequest) (SearchReply, error) {
	var reply SearchReply
	late, err := h.attempt(ctx, target, wire.PathSearch, request.Attempt, request.DeadlineMS, request, &reply, func() error {
		return CheckSearch(target.ID, &request, &reply)
	})
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
	_, err := h.attempt(ctx, target, wire.PathExecute, request.Attempt, request.DeadlineMS, request, &reply, func() error {
		return CheckExecute(target.ID, &request, &reply)
	})
	if err != nil {
		return ExecuteReply{}, err
	}
	return reply, nil
}

// Cancel implements TargetClient. An attempt that still waits for a connection returns ErrNotSent.
func (h *HTTP) Cancel(ctx context.Context, target model.Target, attempt model.AttemptID) error {
	if h.pool(target).cancelWaiting(attempt) {
		return nil
	}
	body, err := json.Marshal(wire.Cancel{Attempt: attempt.String()})
	if err != nil {
		return err
	}
	_, err = h.control(ctx, target, http.MethodPost, wire.PathCancel, body)
	return err
}

// Status implements TargetClient.
func (h *HTTP) Status(ctx context.Context, target model.Target) (model.TargetStatus, error) {
	got, err := h.control(ctx, target, http.MethodGet, wire.PathStatus, nil)
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

func (h *HTTP) control(ctx context.Context, target model.Target, method, path string, body []byte) (received, error) {
	x := exchange{client: h, target: target, pool: h.pool(target), control: true}
	x.deadline = Deadline(ctx, controlTimeout.Milliseconds())
	got, err := x.run(ctx, method, path, body)
	if err != nil {
		return received{}, err
	}
	x.finish(true)
	if got.status != http.StatusOK {
		return received{}, fmt.Errorf("target answered %s with status %d", path, got.status)
	}
	return got, nil
}

// attempt sends one attempt, once, and decodes its whole, checked reply.
func (h *HTTP) attempt(ctx context.Context, target model.Target, path string, id model.AttemptID, deadlineMS int64,
	request, reply any, check func() error) (late bool, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	x := exchange{client: h, target: target, pool: h.pool(target), attempt: id, deadline: Deadline(ctx, deadlineMS)}
	got, err := x.run(ctx, http.MethodPost, path, body)
	if err != nil {
		h.count(err)
		return false, err
	}
	late = time.Now().After(x.deadline)
	err = decode(got, id, reply, check)
	// After a crossed reply nobody knows whose reply comes next, so the connection is given up.
	x.finish(!errors.Is(err, ErrMismatch))
	h.count(err)
	return late, err
}

func (h *HTTP) count(err error) {
	switch {
	case errors.Is(err, ErrSilent):
		h.counters.Silent.Add(1)
	case errors.Is(err, ErrMismatch):
		h.counters.Mismatched.Add(1)
	case errors.Is(err, ErrLost):
		h.counters.Lost.Add(1)
	}
}

// decode checks a reply. Length and checksum prove that it is whole.
func decode(got received, id model.AttemptID, reply any, check func() error) error {
	if wire.Checksum(got.body) != got.checksum {
		return fmt.Errorf("%w: checksum", ErrMismatch)
	}
	if got.status != http.StatusOK {
		return refusal(got.body, id)
	}
	if err := json.NewDecoder(bytes.NewReader(got.body)).Decode(reply); err != nil {
		return fmt.Errorf("%w: %w", ErrMismatch, err)
	}
	return check()
}

// refusal reads an error reply. One that names another attempt proves nothing about this one.
func refusal(body []byte, id model.AttemptID) error {
	var refused wire.Error
	if err := json.Unmarshal(body, &refused); err != nil || refused.Attempt != id.String() {
		return ErrMismatch
	}
	switch refused.Code {
	case wire.CodeVersionGone:
		return ErrVersionGone
	case wire.CodeShed:
		return ErrShed
	case wire.CodeDraining:
		return ErrDraining
	case wire.CodeDeadline:
		return ErrDeadline
	case wire.CodeCancelled:
		return ErrCancelled
	}
	return fmt.Errorf("%w: target answered %q", ErrLost, refused.Code)
}
