package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/httpreply"
)

// watchTimeout bounds one watch call. The caller then starts a new one.
const watchTimeout = 30 * time.Second

// HTTPConfig configures an HTTP store client.
type HTTPConfig struct {
	// Addresses lists the host:port addresses of the service. They are tried in order.
	Addresses []string
	// Timeout bounds each call except Watch.
	Timeout time.Duration
}

// HTTP is a Store client that uses a subset of the etcd v3 JSON gateway API.
type HTTP struct {
	cfg    HTTPConfig
	client *http.Client
}

// NewHTTP returns a store client.
func NewHTTP(cfg HTTPConfig) *HTTP {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: httpreply.MaxHeadBytes}
	return &HTTP{cfg: cfg, client: &http.Client{Transport: transport}}
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision string `json:"mod_revision"`
}

func (kv keyValue) entry() (Entry, error) {
	revision, err := strconv.ParseUint(kv.ModRevision, 10, 64)
	if err != nil {
		return Entry{}, fmt.Errorf("%w: invalid revision %q", ErrUnavailable, kv.ModRevision)
	}
	return Entry{Key: string(kv.Key), Value: kv.Value, Revision: Revision(revision)}, nil
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	KVs []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision string `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type requestOp struct {
	Put putRequest `json:"request_put"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type responseHeader struct {
	Revision string `json:"revision"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	StartRevision string `json:"start_revision"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchEvent struct {
	KV keyValue `json:"kv"`
}

type watchResult struct {
	Events []watchEvent `json:"events"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timeout)
	defer cancel()
	var response rangeResponse
	if err := h.post(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &response); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(response.KVs) == 0 {
		return Entry{}, ErrNotFound
	}
	return response.KVs[0].entry()
}

// CompareAndSwap implements Store.
func (h *HTTP) CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timeout)
	defer cancel()
	request := txnRequest{
		Compare: []compare{{
			Key:         []byte(key),
			Target:      "MOD",
			Result:      "EQUAL",
			ModRevision: strconv.FormatUint(uint64(expected), 10),
		}},
		Success: []requestOp{{Put: putRequest{Key: []byte(key), Value: value}}},
	}
	var response txnResponse
	err := h.post(ctx, "/v3/kv/txn", request, &response)
	if err != nil {
		return 0, writeError(err)
	}
	if !response.Succeeded {
		return 0, ErrConflict
	}
	revision, err := strconv.ParseUint(response.Header.Revision, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: invalid revision %q", ErrOutcomeUnknown, response.Header.Revision)
	}
	return Revision(revision), nil
}

// writeError wraps the error of a failed write. A write whose connection could not be established had no effect; any
// other write may have taken effect.
func writeError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// maxWatchBytes bounds the messages of one watch, which the caller starts again after it: two values in base64.
const maxWatchBytes = 4 * MaxValueBytes

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, key string, after Revision) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	start := strconv.FormatUint(uint64(after)+1, 10)
	request := watchRequest{Create: watchCreate{Key: []byte(key), StartRevision: start}}
	response, err := h.send(ctx, "/v3/watch", request)
	if err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxWatchBytes))
	for {
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			return Entry{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if count := len(message.Result.Events); count > 0 {
			return message.Result.Events[count-1].KV.entry()
		}
	}
}

func (h *HTTP) post(ctx context.Context, path string, request, reply any) error {
	response, err := h.send(ctx, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(io.LimitReader(response.Body, 2*MaxValueBytes)).Decode(reply)
}

func (h *HTTP) send(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	var lastErr error
	for _, address := range h.cfg.Addresses {
		response, err := h.sendTo(ctx, address, path, body)
		if err == nil {
			return response, nil
		}
		lastErr = err
		var dial *net.OpError
		if !errors.As(err, &dial) || dial.Op != "dial" {
			return nil, err
		}
	}
	return nil, lastErr
}

func (h *HTTP) sendTo(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	url := "http://" + address + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("store returned status %s", response.Status)
	}
	return response, nil
}
