// Package statedump collects state dumps of a process for debugging. Each subsystem that owns state registers a named
// dump.
package statedump

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// dumpTimeout bounds a dump, so that a subsystem that holds its lock does not prevent dumping the others.
const dumpTimeout = time.Second

// Func returns the state of a subsystem as a value that can be marshaled to JSON. The value must not contain secrets. The
// function is called on a separate goroutine and may acquire locks.
type Func func() any

// Registry holds the state dumps of a process. It is safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	dumps map[string]*dumper
}

type dumper struct {
	read    Func
	running bool
}

// New returns an empty registry.
func New() *Registry { return &Registry{dumps: map[string]*dumper{}} }

// Add registers the dump of a subsystem. It panics if the name is already registered.
func (r *Registry) Add(name string, read Func) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.dumps[name]; ok {
		panic(fmt.Sprintf("state dump %q is registered twice", name))
	}
	r.dumps[name] = &dumper{read: read}
}

// Names returns the sorted names of the registered dumps.
func (r *Registry) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.dumps))
}

// Failure replaces a state that could not be read.
type Failure struct {
	Failure string `json:"failure"`
}

// Dump returns the JSON states of the named subsystems, or of all subsystems if no name is given. A state that cannot be
// read is replaced by a Failure.
func (r *Registry) Dump(names ...string) map[string]json.RawMessage {
	if len(names) == 0 {
		names = r.Names()
	}
	results := make([]chan json.RawMessage, len(names))
	for i, name := range names {
		results[i] = r.start(name)
	}
	timeout := time.NewTimer(dumpTimeout)
	defer timeout.Stop()
	states := map[string]json.RawMessage{}
	for i, name := range names {
		states[name] = awaitState(results[i], timeout)
	}
	return states
}

func awaitState(result <-chan json.RawMessage, timeout *time.Timer) json.RawMessage {
	select {
	case state := <-result:
		return state
	case <-timeout.C:
		timeout.Reset(0) // the timeout applies to all dumps together
		select {
		case state := <-result:
			return state
		default:
			return marshalFailure("the subsystem did not answer within %s", dumpTimeout)
		}
	}
}

// start starts a dump and returns a channel for its result. At most one run of each dump is in progress, so that repeated
// dumps of a hanging subsystem do not accumulate goroutines.
func (r *Registry) start(name string) chan json.RawMessage {
	result := make(chan json.RawMessage, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.dumps[name]
	switch {
	case !ok:
		result <- marshalFailure("there is no state of this name")
	case d.running:
		result <- marshalFailure("an earlier dump of this state has not ended")
	default:
		d.running = true
		go r.run(d, result)
	}
	return result
}

func (r *Registry) run(d *dumper, result chan<- json.RawMessage) {
	state := marshalState(d.read)
	r.mu.Lock()
	d.running = false
	r.mu.Unlock()
	result <- state
}

func marshalState(read Func) (state json.RawMessage) {
	defer func() {
		if cause := recover(); cause != nil {
			state = marshalFailure("the dump panicked: %v", cause)
		}
	}()
	state, err := json.Marshal(read())
	if err != nil {
		return marshalFailure("the state has no JSON form: %v", err)
	}
	return state
}

func marshalFailure(format string, args ...any) json.RawMessage {
	text, err := json.Marshal(Failure{Failure: fmt.Sprintf(format, args...)})
	if err != nil {
		return json.RawMessage(`{"failure":"unknown"}`)
	}
	return text
}
