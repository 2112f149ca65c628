package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a client, on a connection of its own.
type request struct {
	gateway  string // address
	method   string
	host     string
	path     string
	body     []byte
	deadline time.Duration
}

// newID returns the id of an attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends the request and records its end.
func (q *request) send(rec *record) *try {
	id := newID()
	t := rec.sent(id, q.gateway)
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.gateway+q.path, bytes.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	r.Host = q.host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			err = errors.New("no answer in time")
		}
		rec.answered(id, t, 0, false, err, "")
		return t
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	text := ""
	if response.StatusCode >= 300 {
		text = strings.TrimSpace(string(content[:min(len(content), 160)]))
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		t.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	rec.answered(id, t, response.StatusCode, response.Header.Get("Response-Seal") != "", err, text)
	return t
}
