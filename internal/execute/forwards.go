package execute

import (
	"errors"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// maxForwardsPerHost prevents slow operations from occupying all handlers that the receiver has for one
	// connection. Control frames need handlers too, and the transport refuses them when all 128 handlers are busy.
	maxForwardsPerHost = 64
	// maxForwardsPerCaller prevents a single caller from using all forwards to a host.
	maxForwardsPerCaller = 16
)

var errTooManyForwards = errors.New("too many operations are being forwarded")

// forwardCounts counts the operations that are waiting for a reply from another host.
type forwardCounts struct {
	perHost   map[string]int
	perCaller map[model.CallerID]int
}

// beginForward reserves a forward to the address, or returns false if a limit is reached.
func (e *Engine) beginForward(address string, caller model.CallerID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.forwards.perHost[address] >= maxForwardsPerHost || e.forwards.perCaller[caller] >= maxForwardsPerCaller {
		return false
	}
	e.forwards.perHost[address]++
	e.forwards.perCaller[caller]++
	return true
}

func (e *Engine) endForward(address string, caller model.CallerID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	decrement(e.forwards.perHost, address)
	decrement(e.forwards.perCaller, caller)
}

func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] == 0 {
		delete(counts, key)
	}
}
