// Package statedump is the registry of the states of a process. Each subsystem that owns state adds a named dump.
package statedump

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// dumpTimeout bounds one dump. A subsystem that holds its lock must not hide the state of the others.
const dumpTimeout = time.Second

// Func returns the state of a subsystem as a value that encoding/json can write. It must not return a secret. It is
// called on a goroutine of its own and may take locks.
type Func func() any

// Registry holds the dumps of one process. It is safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	dumps map[string]*dump
}

type dump struct {
	read    Func
	running bool
}

// New returns an empty registry.
func New() *Registry { return &Registry{dumps: map[string]*dump{}} }

// Add registers the dump of a subsystem. Two dumps of one name are a programming error and panic.
func (r *Registry) Add(name string, read Func) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.dumps[name]; ok {
		panic(fmt.Sprintf("state dump %q is registered twice", name))
	}
	r.dumps[name] = &dump{read: read}
}

// Names returns the names of the dumps in order.
func (r *Registry) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.dumps))
}

// Failure stands in the place of a state that could not be read.
type Failure struct {
	Failure string `json:"failure"`
}

// Dump returns the state of each named subsystem as JSON, or of all if there is no name. A state that can't be read is
// replaced by a Failure.
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
		states[name] = wait(results[i], timeout)
	}
	return states
}

func wait(result <-chan json.RawMessage, timeout *time.Timer) json.RawMessage {
	select {
	case state := <-result:
		return state
	case <-timeout.C:
		timeout.Reset(0) // the remaining dumps get no more time
		select {
		case state := <-result:
			return state
		default:
			return failure("the subsystem did not answer within %s", dumpTimeout)
		}
	}
}

// start runs a dump. At most one run of each dump is in progress, so repeated requests to a subsystem that hangs start
// no more goroutines.
func (r *Registry) start(name string) chan json.RawMessage {
	result := make(chan json.RawMessage, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.dumps[name]
	switch {
	case !ok:
		result <- failure("there is no state of this name")
	case d.running:
		result <- failure("an earlier dump of this state has not ended")
	default:
		d.running = true
		go r.run(d, result)
	}
	return result
}

func (r *Registry) run(d *dump, result chan<- json.RawMessage) {
	state := encode(d.read)
	r.mu.Lock()
	d.running = false
	r.mu.Unlock()
	result <- state
}

func encode(read Func) (state json.RawMessage) {
	defer func() {
		if cause := recover(); cause != nil {
			state = failure("the dump panicked: %v", cause)
		}
	}()
	state, err := json.Marshal(read())
	if err != nil {
		return failure("the state has no JSON form: %v", err)
	}
	return state
}

func failure(format string, args ...any) json.RawMessage {
	text, err := json.Marshal(Failure{Failure: fmt.Sprintf(format, args...)})
	if err != nil {
		return json.RawMessage(`{"failure":"unknown"}`)
	}
	return text
}
