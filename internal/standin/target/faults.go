package target

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/corpus"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// Fault is a defect of the reply to an attempt.
type Fault string

// The faults that a target can simulate. The attempt is executed in all cases.
const (
	// FaultSilent sends no reply and leaves the connection open.
	FaultSilent Fault = "silent"
	// FaultReset closes the connection without a reply.
	FaultReset Fault = "reset"
	// FaultCrossed sends the reply of another attempt at another shard.
	FaultCrossed Fault = "crossed"
	// FaultTruncated drops the second half of the hits after the checksum was computed.
	FaultTruncated Fault = "truncated"
	// FaultWrongVersion searches the next version instead of the requested one, and reports that version in the reply.
	FaultWrongVersion Fault = "wrong_version"
)

// Inject applies the fault to the replies of the next count executed attempts.
func (t *Target) Inject(fault Fault, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range count {
		t.faults = append(t.faults, fault)
	}
}

func (t *Target) takeFault() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.faults) == 0 {
		return ""
	}
	fault := t.faults[0]
	t.faults = t.faults[1:]
	return fault
}

// applyFault modifies a search reply as the fault requires.
func (t *Target) applyFault(fault Fault, request targetclient.SearchRequest, reply targetclient.SearchReply) targetclient.SearchReply {
	switch fault {
	case FaultCrossed:
		reply.Attempt.Sequence++
		reply.Shard = "crossed"
		reply.KeyRange = model.KeyRange{}
		reply.Hits = nil
	case FaultTruncated:
		reply.Hits = reply.Hits[:len(reply.Hits)/2]
	case FaultWrongVersion:
		reply.Version++
		reply.Hits = corpus.Search(corpus.Documents(request.Index, reply.Version), reply.KeyRange, "", request.Limit)
	}
	return reply
}

// SilenceConnections makes every open HTTP connection unresponsive for good. New connections work.
func (t *Target) SilenceConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentBefore = t.connections
}

type connectionKey struct{}

// ConnContext is the ConnContext hook of an http.Server. It numbers the connections for SilenceConnections.
func (t *Target) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections++
	return context.WithValue(ctx, connectionKey{}, t.connections)
}

func (t *Target) isSilenced(ctx context.Context) bool {
	number, ok := ctx.Value(connectionKey{}).(int)
	t.mu.Lock()
	defer t.mu.Unlock()
	return ok && number <= t.silentBefore
}

// Connections returns the number of HTTP connections accepted so far.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections
}

// hang blocks until the client closes the connection, without a reply.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body was read
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
