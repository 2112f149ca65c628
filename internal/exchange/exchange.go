// Package exchange sends opaque HTTP/1.1 requests to targets and returns complete replies.
//
// It manages its own connections because net/http's Transport may resend a request on another connection and does not
// skip replies that belong to an earlier request.
package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/snapshot"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// Request is a caller's request, forwarded unchanged. It must not be copied once it was sent.
type Request struct {
	// ID is the caller's request ID, which targets echo.
	ID     string
	Method string
	// URI is the path and query exactly as sent by the caller.
	URI  string
	Host string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte

	carriers carriers
}

// Attempt is a single transmission of a request to a target.
type Attempt struct {
	Request *Request
	Target  model.TargetID
	Address string
	// Deadline is when the target stops working on the request.
	Deadline time.Time
	// Misdirected means that the attempt names an instance that does not exist, so that any target turns it away without running
	// it. It opens a connection: a kept one may have gone silent by itself.
	Misdirected bool
	// Unwanted is closed when nobody waits for the attempt any more. It is not sent then, if it was not sent before. It may be nil.
	Unwanted <-chan struct{}
	// MaxConnections limits this host's connections to the target; 0 means no limit.
	MaxConnections int
	// MaxReplyBytes limits the body of the reply; 0 means httpreply.MaxBodyBytes.
	MaxReplyBytes int64
	// Memory is charged for the body of the reply; nil means no bound.
	Memory *membudget.Account
}

// Load is a target's self-reported load.
type Load struct {
	Running, Waiting, Slots int
}

// ReplyInfo is the information carried by a reply's status and headers.
type ReplyInfo struct {
	// RequestID is the ID of the request that the reply belongs to, or "" if it names none.
	RequestID string
	// Signature is the target's signature of the reply, or "" if there is none.
	Signature string
	// NotRun means that the target has not run the request and never will.
	NotRun bool
	// WrongTarget means that another target now has the address.
	WrongTarget bool
	// Load is nil if the target does not report its load.
	Load *Load
	// Leaving means that the target is shutting down and must get no new requests.
	Leaving bool
	// RetryAfter is how long a target that has turned the request away wants nothing from this host; 0 if it does not say.
	RetryAfter time.Duration
	// ColdFor is how long the target stays cold; 0 if it does not say.
	ColdFor time.Duration
}

// HeaderCodec translates between the router's model and the headers used by targets.
type HeaderCodec interface {
	// EncodeAttempt sets the headers of an attempt.
	EncodeAttempt(header http.Header, attempt *Attempt)
	// DecodeReply interprets the status and headers of a reply.
	DecodeReply(status int, header http.Header) ReplyInfo
}

// Reply is a complete reply of a target.
type Reply struct {
	ReplyInfo
	Status int
	Header http.Header
	Body   []byte
}

// Answers implements scatter.Reply. It is always true, because replies are matched to requests by connection and
// request ID.
func (r *Reply) Answers(*snapshot.Part) bool { return true }

// OK reports whether the target ran the request and returned a signed success.
func (r *Reply) OK() bool { return r.Status >= 200 && r.Status < 300 && r.Signature != "" && !r.NotRun }

// belongsTo reports whether the reply may be taken for the answer to the request. Targets echo the ID of a request; a late
// copy of an earlier answer has another one, because a connection carries a request only once. An error reply of a target
// that has not read the request may have no ID.
func (r *Reply) belongsTo(request *Request) bool {
	return r.RequestID == request.ID || r.RequestID == "" && !r.OK()
}

// ErrFailure means that the target ran the request and reported a failure.
var ErrFailure = errors.New("target: answered with a failure")

// Client sends attempts. Implementations are safe for concurrent use and never send an attempt twice.
type Client interface {
	// Do sends the attempt and returns the reply. With ErrFailure it also returns the reply. All other errors are from
	// package targetclient: ErrNotSent, ErrShed, ErrDraining, ErrMismatch, ErrLost, ErrNoReply and ErrCancelled. That of an attempt
	// which was unwanted before it was sent is both ErrNotSent and ErrCancelled.
	Do(ctx context.Context, attempt *Attempt) (*Reply, error)
	// Probe sends the attempt and returns the target's reply, whatever it is. The error wraps syscall.ECONNREFUSED if nothing
	// listens at the address, and is targetclient.ErrDraining if another target does and the attempt is not misdirected.
	Probe(ctx context.Context, attempt *Attempt) (*Reply, error)
}

// replyError returns the error that corresponds to a reply, or nil for a success.
func replyError(reply *Reply) error {
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
