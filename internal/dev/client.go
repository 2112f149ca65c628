package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	callTimeout = 5 * time.Second
	// queryDeadline is far above the usual latency, because the check tests answers rather than latency. With a deadline
	// of 500 ms, 2 of 265 searches failed on a machine with twice as many running processes as cores.
	queryDeadline  = 2 * time.Second
	queryLimit     = 20
	queryText      = "strap"
	readyInterval  = 50 * time.Millisecond
	readyTimeout   = 300 * time.Millisecond
	maxAnswerBytes = 1 << 20
)

// searchQuery is the query of a search. The targets match only the text but record the whole query, so that the marker
// assigns recorded attempts to searches.
type searchQuery struct {
	Text   string `json:"text"`
	Marker string `json:"marker"`
}

// outcome is the result of one search as the caller received it.
type outcome struct {
	marker string
	search model.SearchID
	host   *Host
	sent   time.Time
	reply  callerapi.SearchReply
	// refusal is the typed error of the host; failure is set if there is neither a reply nor a typed error.
	refusal *fault.Error
	failure error
}

// answered reports whether the caller received a reply.
func (o outcome) answered() bool { return o.refusal == nil && o.failure == nil }

// reason returns the error message of a search that was not answered.
func (o outcome) reason() string {
	if o.failure != nil {
		return o.failure.Error()
	}
	return o.refusal.Error()
}

// callerClient sends requests to the caller listeners of the hosts.
type callerClient struct {
	client     *http.Client
	nextMarker atomic.Uint64
}

func newCallerClient() *callerClient {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &callerClient{client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// search sends one search to a host.
func (c *callerClient) search(ctx context.Context, host *Host, token string, search model.SearchID) outcome {
	o := outcome{marker: fmt.Sprintf("m%06d", c.nextMarker.Add(1)), search: search, host: host, sent: time.Now()}
	query, err := json.Marshal(searchQuery{Text: queryText, Marker: o.marker})
	if err != nil {
		o.failure = err
		return o
	}
	request := callerapi.SearchRequest{
		Search:     search,
		Query:      query,
		Limit:      queryLimit,
		DeadlineMS: queryDeadline.Milliseconds(),
		Mode:       "full",
	}
	o.refusal, o.failure = c.call(ctx, host, "/v1/search", token, request, &o.reply)
	return o
}

// call sends one request to the caller API and decodes the reply, or returns the typed error.
func (c *callerClient) call(ctx context.Context, host *Host, path, token string, request, reply any) (*fault.Error, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	url := "http://" + host.Settings.CallerListen + path
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+token)
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return nil, json.Unmarshal(answer, reply)
	}
	var refused callerapi.ErrorReply
	if err := json.Unmarshal(answer, &refused); err != nil || refused.Error == nil {
		return nil, fmt.Errorf("status %s without a typed error", response.Status)
	}
	return refused.Error, nil
}

// isReady checks the readiness of a host as the platform's load balancer does.
func (c *callerClient) isReady(ctx context.Context, host *Host) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.Settings.CallerListen+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// awaitReady waits until every host is ready.
func (c *callerClient) awaitReady(ctx context.Context, hosts []*Host) error {
	for _, host := range hosts {
		for !c.isReady(ctx, host) {
			if err := ctxtime.Sleep(ctx, readyInterval); err != nil {
				return fmt.Errorf("%s is not ready", host.Settings.HostID)
			}
		}
	}
	return nil
}

const (
	loadInterval = 10 * time.Millisecond
	// maxLoadInFlight bounds the searches in progress. At the limit, further searches are skipped.
	maxLoadInFlight = 64
)

// loadGenerator sends searches at a steady rate to the ready hosts, as callers behind a load balancer do.
type loadGenerator struct {
	mu       sync.Mutex
	outcomes []outcome
	ready    []*Host
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// startLoad starts a load that runs until finish is called.
func (e *Environment) startLoad(ctx context.Context, c *callerClient) *loadGenerator {
	ctx, cancel := context.WithCancel(ctx)
	l := &loadGenerator{stop: cancel, ready: e.Hosts}
	l.wg.Go(func() { l.pollReady(ctx, c, e.Hosts) })
	l.wg.Go(func() { l.send(ctx, c, e) })
	return l
}

// pollReady keeps the list of ready hosts up to date.
func (l *loadGenerator) pollReady(ctx context.Context, c *callerClient, hosts []*Host) {
	for ctxtime.Sleep(ctx, readyInterval) == nil {
		var ready []*Host
		for _, host := range hosts {
			if c.isReady(ctx, host) {
				ready = append(ready, host)
			}
		}
		l.mu.Lock()
		l.ready = ready
		l.mu.Unlock()
	}
}

func (l *loadGenerator) send(ctx context.Context, c *callerClient, e *Environment) {
	inFlight := make(chan struct{}, maxLoadInFlight)
	searches := e.Catalogue.Searches
	for i := 0; ctxtime.Sleep(ctx, loadInterval) == nil; i++ {
		hosts := l.readyHosts()
		if len(hosts) == 0 {
			continue
		}
		select {
		case inFlight <- struct{}{}:
		default:
			continue
		}
		host, search := hosts[i%len(hosts)], searches[i%len(searches)].ID
		l.wg.Go(func() {
			defer func() { <-inFlight }()
			// A search in progress is completed even if the load is stopped.
			l.add(c.search(context.WithoutCancel(ctx), host, e.CallerToken, search))
		})
	}
}

func (l *loadGenerator) readyHosts() []*Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

func (l *loadGenerator) add(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// finish stops the load, waits for the searches in progress and returns all outcomes.
func (l *loadGenerator) finish() []outcome {
	l.stop()
	l.wg.Wait()
	return l.outcomes
}
