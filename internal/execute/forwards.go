package execute

import (
	"errors"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// maxForwardsToHost keeps operations, which take long, from using up the handlers that the receiver has for one
	// connection: control frames need them too, and the transport drops frames over 128.
	maxForwardsToHost = 64
	// maxForwardsOfCaller keeps one caller from using up the forwards of all.
	maxForwardsOfCaller = 16
)

var errForwards = errors.New("too many operations are being forwarded")

// forwards counts the operations that wait for the answer of another host.
type forwards struct {
	toHost   map[string]int
	ofCaller map[model.CallerID]int
}

// enterForward takes a place for a forwarded operation, unless all are taken.
func (e *Engine) enterForward(address string, caller model.CallerID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.forwards.toHost[address] >= maxForwardsToHost || e.forwards.ofCaller[caller] >= maxForwardsOfCaller {
		return false
	}
	e.forwards.toHost[address]++
	e.forwards.ofCaller[caller]++
	return true
}

func (e *Engine) leaveForward(address string, caller model.CallerID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	release(e.forwards.toHost, address)
	release(e.forwards.ofCaller, caller)
}

func release[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] == 0 {
		delete(counts, key)
	}
}
