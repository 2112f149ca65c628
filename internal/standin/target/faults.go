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

// Fault is a way in which the reply to an attempt goes wrong.
type Fault string

// The faults that a target shows on request. The attempt runs in every case.
const (
	// FaultSilent sends no reply and leaves the connection open.
	FaultSilent Fault = "silent"
	// FaultReset ends the connection without a reply.
	FaultReset Fault = "reset"
	// FaultCrossed sends the reply of another attempt at another shard.
	FaultCrossed Fault = "crossed"
	// FaultTruncated loses the second half of the hits after the checksum was made.
	FaultTruncated Fault = "truncated"
	// FaultWrongVersion reads the next version instead of the one asked for, and says so in the reply.
	FaultWrongVersion Fault = "wrong_version"
)

// Inject makes the next count attempts that run show the fault.
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

// damageSearch applies a fault to a reply.
func (t *Target) damageSearch(fault Fault, request targetclient.SearchRequest, reply targetclient.SearchReply) targetclient.SearchReply {
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

// SilenceConnections makes every HTTP connection that is open now silent for good, while new ones work.
func (t *Target) SilenceConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentBefore = t.connections
}

type connectionKey struct{}

// ConnContext numbers the connections of an http.Server, so that SilenceConnections knows them.
func (t *Target) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections++
	return context.WithValue(ctx, connectionKey{}, t.connections)
}

func (t *Target) silenced(ctx context.Context) bool {
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

// silence answers nothing until the connection ends.
func silence(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server notices the end of the connection only after the body
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
