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
	// queryDeadline is far above the usual latency, because the check judges answers and not speed: on a machine with
	// twice as many running processes as cores, 2 of 265 searches missed a deadline of 500 ms.
	queryDeadline  = 2 * time.Second
	queryLimit     = 20
	queryText      = "strap"
	readyInterval  = 50 * time.Millisecond
	readyTimeout   = 300 * time.Millisecond
	maxAnswerBytes = 1 << 20
)

// searchQuery is the query of a search. The targets match the text and record the whole query, so that the marker tells
// which attempts belong to which search.
type searchQuery struct {
	Text   string `json:"text"`
	Marker string `json:"marker"`
}

// outcome is what a caller saw of one search.
type outcome struct {
	marker string
	search model.SearchID
	host   *Host
	sent   time.Time
	reply  callerapi.SearchReply
	// refusal is the typed error, and failure an answer that is neither a reply nor a typed error.
	refusal *fault.Error
	failure error
}

// answered tells whether the caller got a reply.
func (o outcome) answered() bool { return o.refusal == nil && o.failure == nil }

// reason describes a search that was not answered.
func (o outcome) reason() string {
	if o.failure != nil {
		return o.failure.Error()
	}
	return o.refusal.Error()
}

// traffic sends searches as callers do.
type traffic struct {
	client *http.Client
	next   atomic.Uint64
}

func newTraffic() *traffic {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &traffic{client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// search sends one search to a host.
func (t *traffic) search(ctx context.Context, host *Host, token string, search model.SearchID) outcome {
	o := outcome{marker: fmt.Sprintf("m%06d", t.next.Add(1)), search: search, host: host, sent: time.Now()}
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
	o.refusal, o.failure = t.call(ctx, host, "/v1/search", token, request, &o.reply)
	return o
}

// call sends one request of the caller API.
func (t *traffic) call(ctx context.Context, host *Host, path, token string, request, reply any) (*fault.Error, error) {
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
	response, err := t.client.Do(httpRequest)
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

// isReady asks a host as the platform's balancer does.
func (t *traffic) isReady(ctx context.Context, host *Host) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.Settings.CallerListen+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := t.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// awaitReady waits until every host is ready.
func (t *traffic) awaitReady(ctx context.Context, hosts []*Host) error {
	for _, host := range hosts {
		for !t.isReady(ctx, host) {
			if err := ctxtime.Sleep(ctx, readyInterval); err != nil {
				return fmt.Errorf("%s is not ready", host.Settings.HostID)
			}
		}
	}
	return nil
}

const (
	loadInterval = 10 * time.Millisecond
	// loadInFlight bounds the searches in progress. A search that finds no place is not sent.
	loadInFlight = 64
)

// load sends searches at a steady rate to the hosts that are ready, as callers behind a balancer do.
type load struct {
	mu       sync.Mutex
	outcomes []outcome
	ready    []*Host
	stop     context.CancelFunc
	work     sync.WaitGroup
}

// startLoad sends searches until stopped.
func (e *Environment) startLoad(ctx context.Context, t *traffic) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{stop: cancel, ready: e.Hosts}
	l.work.Go(func() { l.followReady(ctx, t, e.Hosts) })
	l.work.Go(func() { l.send(ctx, t, e) })
	return l
}

// followReady keeps the list of hosts that the balancer would use.
func (l *load) followReady(ctx context.Context, t *traffic, hosts []*Host) {
	for ctxtime.Sleep(ctx, readyInterval) == nil {
		var ready []*Host
		for _, host := range hosts {
			if t.isReady(ctx, host) {
				ready = append(ready, host)
			}
		}
		l.mu.Lock()
		l.ready = ready
		l.mu.Unlock()
	}
}

func (l *load) send(ctx context.Context, t *traffic, e *Environment) {
	places := make(chan struct{}, loadInFlight) // full: the search is not sent
	searches := e.Catalogue.Searches
	for i := 0; ctxtime.Sleep(ctx, loadInterval) == nil; i++ {
		hosts := l.readyHosts()
		if len(hosts) == 0 {
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			continue
		}
		host, search := hosts[i%len(hosts)], searches[i%len(searches)].ID
		l.work.Go(func() {
			defer func() { <-places }()
			// A search that has been sent is waited for, even if the load is stopped.
			l.add(t.search(context.WithoutCancel(ctx), host, e.CallerToken, search))
		})
	}
}

func (l *load) readyHosts() []*Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

func (l *load) add(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// finish stops the load and returns what the callers saw.
func (l *load) finish() []outcome {
	l.stop()
	l.work.Wait()
	return l.outcomes
}
