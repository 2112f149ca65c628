package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// client sends requests to machines on kept connections. It never sends one twice.
type client struct {
	record *record
	http   *http.Client

	mu       sync.Mutex
	statuses map[string]int
}

func newClient(r *record) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &client{record: r, statuses: map[string]int{}, http: &http.Client{Transport: transport}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// get sends one request to a service.
func (c *client) get(g *gateway, s *service) { c.send(g, s, http.MethodGet, "") }

// post sends one request with a body to a service.
func (c *client) post(g *gateway, s *service) { c.send(g, s, http.MethodPost, "claim") }

func (c *client) send(g *gateway, s *service, method, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	id := newID()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+"/q/"+id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if body == "" {
		request.Body = http.NoBody
	}
	request.Host = s.host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(s.timeout.Milliseconds()))
	request.GetBody = nil // keeps the library from sending it again
	c.record.add("%s is sent to %s", id, g.name)
	response, err := c.http.Do(request)
	if err != nil {
		c.end(id, "no answer")
		return
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.end(id, "answer cut")
		return
	}
	c.end(id, fmt.Sprint(response.StatusCode))
}

// end records the end of an attempt.
func (c *client) end(id, result string) {
	c.record.add("%s is answered: %s", id, result)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[result]++
}

// summary returns the number of attempts by result.
func (c *client) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.statuses)
}

// awaitReady waits until a machine is ready.
func awaitReady(g *gateway) error {
	const tries, pause = 200, 50 * time.Millisecond
	for range tries {
		response, err := http.Get("http://" + g.ready + "/api/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pause)
	}
	return fmt.Errorf("%s is not ready after %s", g.name, tries*pause)
}
