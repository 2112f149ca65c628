package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sent is one attempt of a client with its answer.
type sent struct {
	id, host string
	at       time.Time
	status   int // 0: no answer
	seal     string
}

// clients sends requests and remembers the answers.
type clients struct {
	record *record
	mu     sync.Mutex
	all    []sent
}

// call sends one attempt, with an id of its own, and returns the answer.
func (c *clients) call(client *http.Client, h *host, method, path string, deadline time.Duration) (sent, time.Duration) {
	s := sent{id: fmt.Sprintf("%016x", rand.Uint64()), host: h.name}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("x", 300))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, body)
	check(err)
	request.GetBody = nil // no attempt is sent twice
	request.Host = "hufi27.example"
	request.Header.Set("Request-Id", s.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	s.at = time.Now()
	c.record.line("client sends %s %s %s to %s", method, path, s.id, h.name)
	var after time.Duration
	answer, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
	if err == nil {
		s.status, s.seal = answer.StatusCode, answer.Header.Get("Response-Seal")
		seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		after = time.Duration(seconds * float64(time.Second))
	}
	c.record.line("client gets %d for %s", s.status, s.id)
	c.mu.Lock()
	c.all = append(c.all, s)
	c.mu.Unlock()
	return s, after
}

// newClient returns a client that keeps one connection and never repeats a request by itself.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
}
