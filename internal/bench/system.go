package bench

import (
	"context"
	"encoding/json"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// system is the system under test: the router or the baseline.
type system interface {
	// start starts the hosts and returns when they serve requests.
	start(ctx context.Context, env *environment) error
	// search sends a search to a host.
	search(ctx context.Context, host int, caller model.CallerID, request callerapi.SearchRequest) answer
	// execute executes one operation of a service, under a ticket if the system issues tickets.
	execute(ctx context.Context, host int, caller model.CallerID, request execution) answer
	// ready reports whether the load balancer may send requests to a host.
	ready(host int) bool
	// generation returns the generation of the configuration in force at a host, or 0 if there is none.
	generation(host int) model.Generation
	// stop stops the hosts and waits until they have ended.
	stop()
}

// execution is a request for one operation that may run at most once.
type execution struct {
	service  model.ServiceID
	id       string
	payload  json.RawMessage
	deadline time.Duration
}

// answer is the result that a caller received: a search reply, a completed operation or an error.
type answer struct {
	reply *callerapi.SearchReply
	// done is set if an operation was executed.
	done bool
	err  *fault.Error
}
