package targetclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/wire"
)

const maxReplyBytes = 8 << 20

// HTTP is a TargetClient over HTTP/1.1 with one attempt per connection at a time.
type HTTP struct{ client *http.Client }

// NewHTTP returns a client that opens at most maxConnections connections to each target.
func NewHTTP(maxConnections int) *HTTP {
	transport := &http.Transport{
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		DisableCompression:  true,
	}
	return &HTTP{client: &http.Client{Transport: transport}}
}

// Search implements TargetClient.
func (h *HTTP) Search(ctx context.Context, target model.Target, request SearchRequest) (SearchReply, error) {
	var reply SearchReply
	if err := h.attempt(ctx, target, wire.PathSearch, request.Attempt, request, &reply); err != nil {
		return SearchReply{}, err
	}
	matches := reply.Attempt == request.Attempt && reply.Target == target.ID && reply.Index == request.Index &&
		reply.Shard == request.Shard && reply.Version == request.Version
	if !matches {
		return SearchReply{}, ErrMismatch
	}
	return reply, nil
}

// Execute implements TargetClient.
func (h *HTTP) Execute(ctx context.Context, target model.Target, request ExecuteRequest) (ExecuteReply, error) {
	var reply ExecuteReply
	if err := h.attempt(ctx, target, wire.PathExecute, request.Attempt, request, &reply); err != nil {
		return ExecuteReply{}, err
	}
	if reply.Attempt != request.Attempt || reply.Target != target.ID {
		return ExecuteReply{}, ErrMismatch
	}
	return reply, nil
}

// Cancel implements TargetClient.
func (h *HTTP) Cancel(ctx context.Context, target model.Target, attempt model.AttemptID) error {
	body, err := json.Marshal(wire.Cancel{Attempt: attempt.String()})
	if err != nil {
		return err
	}
	response, err := h.post(ctx, target, wire.PathCancel, body)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Status implements TargetClient.
func (h *HTTP) Status(ctx context.Context, target model.Target) (model.TargetStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+wire.PathStatus, nil)
	if err != nil {
		return model.TargetStatus{}, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return model.TargetStatus{}, err
	}
	defer response.Body.Close()
	var status model.TargetStatus
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&status); err != nil {
		return model.TargetStatus{}, err
	}
	if status.Target != target.ID {
		return model.TargetStatus{}, ErrMismatch
	}
	return status, nil
}

// attempt sends one attempt and decodes its whole, checked reply.
func (h *HTTP) attempt(ctx context.Context, target model.Target, path string, id model.AttemptID, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	// A request may have left as soon as a connection was obtained for it.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := h.post(httptrace.WithClientTrace(ctx, trace), target, path, body)
	if err != nil {
		if !connected.Load() {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return lost(err)
	}
	defer response.Body.Close()
	received, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return lost(err)
	}
	if wire.Checksum(received) != response.Header.Get(wire.HeaderChecksum) {
		return ErrMismatch
	}
	if response.StatusCode != http.StatusOK {
		return refusal(received, id)
	}
	if err := json.Unmarshal(received, reply); err != nil {
		return fmt.Errorf("%w: %w", ErrMismatch, err)
	}
	return nil
}

func lost(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return fmt.Errorf("%w: %w", ErrLost, err)
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

func (h *HTTP) post(ctx context.Context, target model.Target, path string, body []byte) (*http.Response, error) {
	url := "http://" + target.Address + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport never sends a request a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return h.client.Do(request)
}
