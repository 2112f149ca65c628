// Package exchange sends opaque HTTP/1.1 requests to targets over connections of its own and returns whole replies.
//
// It keeps its own connections, because the transport of net/http can send a request again on another connection and does
// not read past a reply that belongs to an earlier request.
package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// Request is a caller's request, which is passed on unchanged.
type Request struct {
	// ID is the caller's id of the request. Targets echo it.
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI  string
	Host string
	// Header holds the headers that concern more than one connection.
	Header http.Header
	Body   []byte
}

// Attempt is one sending of a request to one target.
type Attempt struct {
	Request *Request
	Target  model.TargetID
	Address string
	// Deadline is the time at which the target stops its work.
	Deadline time.Time
	// MaxConnections bounds the connections of this host to the target.
	MaxConnections int
}

// Load is a target's report of its own load.
type Load struct {
	Running, Waiting, Slots int
}

// Meaning is what a reply says besides its content.
type Meaning struct {
	// RequestID is the id of the request that the reply belongs to; empty if it names none.
	RequestID string
	// Seal is the target's signature of the reply; empty if there is none.
	Seal string
	// NotRun states that the target has not run the request and never will.
	NotRun bool
	// WrongTarget states that another target has the address.
	WrongTarget bool
	// Load is nil if the target does not report it.
	Load *Load
}

// Dialect translates between the project's model and the headers that targets understand.
type Dialect interface {
	// Prepare sets the headers of an attempt.
	Prepare(header http.Header, attempt *Attempt)
	// Interpret reads the headers of a reply.
	Interpret(status int, header http.Header) Meaning
}

// Reply is a target's whole reply.
type Reply struct {
	Meaning
	Status int
	Header http.Header
	Body   []byte
}

// Answers implements scatter.Reply. Reply and request are matched by the connection and the request's id.
func (r *Reply) Answers(*snapshot.Part) bool { return true }

// OK tells whether the target ran the request and answered with success and its seal.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 && r.Seal != "" && !r.NotRun }

// ErrFailure means that the target ran the request and answered with a failure of its own.
var ErrFailure = errors.New("target: answered with a failure")

// Client sends attempts. Implementations are safe for concurrent use and never send an attempt twice.
type Client interface {
	// Do sends the attempt and returns the reply. With ErrFailure the reply is returned too. The other errors are those of
	// package targetclient: ErrNotSent, ErrShed, ErrDraining, ErrMismatch, ErrLost, ErrSilent and ErrCancelled.
	Do(ctx context.Context, attempt *Attempt) (*Reply, error)
	// Probe opens a connection to an address and closes it. It returns an error if nothing accepts it.
	Probe(ctx context.Context, address string) error
}

// classify returns the error that a reply stands for, nil for a success.
func classify(reply *Reply) error {
	switch {
	case reply.WrongTarget:
		return targetclient.ErrDraining
	case reply.NotRun:
		return targetclient.ErrShed
	case reply.OK():
		return nil
	case reply.Status >= 200 && reply.Status < 300:
		return targetclient.ErrMismatch
	}
	return ErrFailure
}
