package bench

import (
	"context"
	"encoding/json"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// system is what the load is sent to: the router or the baseline.
type system interface {
	// start brings the hosts up and returns when they serve.
	start(ctx context.Context, w *world) error
	// search sends a search to a host.
	search(ctx context.Context, host int, caller model.CallerID, request callerapi.SearchRequest) answer
	// execute gets a ticket where the system has tickets and executes one operation of a service.
	execute(ctx context.Context, host int, caller model.CallerID, request execution) answer
	// ready tells whether the balancer sends work to a host.
	ready(host int) bool
	// generation returns the configuration in force at a host; 0 if there is none.
	generation(host int) model.Generation
	// stop ends the hosts and returns when they have ended.
	stop()
}

// execution is one operation that may run at most once.
type execution struct {
	service  model.ServiceID
	id       string
	payload  json.RawMessage
	deadline time.Duration
}

// answer is what a caller got.
type answer struct {
	reply *callerapi.SearchReply
	// done tells that an operation was executed.
	done bool
	err  *fault.Error
}
