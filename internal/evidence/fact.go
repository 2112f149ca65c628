// Package evidence keeps what the hosts of a fleet have seen of targets that ended or leave, and of the requests that were
// there. It decides from that which requests crash the targets that run them. It performs no I/O and reads no clock: callers pass
// in readings of the monotonic clock.
//
// The load that it answers: a caller sends a request that ends every target that runs it, again and again, to one host
// after another. A host has seen at most a few of these ends itself, and what it knows ends with its process. Therefore
// every host holds all facts of the fleet as state. Facts are merged as sets: order, repetition and delay don't matter.
package evidence

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Kind classifies facts.
type Kind uint8

const (
	// Crashed means that an instance of a target ended after it had been sent the request and before it answered.
	Crashed Kind = iota + 1
	// Answered means that a target answered the request. A request that crashes targets is never answered, so the fact
	// refutes all earlier crashes, and later ones that were silent.
	Answered
	// Leaving means that an instance has said that it is shutting down. An instance never stops leaving.
	Leaving

	kinds // one more than the last kind
)

// Instance identifies one run of a target's process.
type Instance struct {
	Target      model.TargetID
	Incarnation model.Incarnation
}

// Fact is something that a host has seen.
type Fact struct {
	Kind Kind
	// Fingerprint identifies the content of the request; it is 0 for Leaving.
	Fingerprint uint64
	// Instance is the instance that crashed or leaves; it is zero for Answered.
	Instance Instance
	// Silent means that the attempt at the instance was not seen to be cut, so that the instance may have ended before it. It is
	// false for other kinds than Crashed.
	Silent bool
	// Age is the time since the event. A receiver counts it from the moment of receipt.
	Age time.Duration
}

// Batch carries facts between hosts.
type Batch struct {
	// Origin identifies the log that the positions belong to. A restarted process has another one.
	Origin uint64
	// Position is the position of the origin's log up to which the facts reach.
	Position uint64
	Facts    []Fact
}

// factKey identifies facts about the same event.
type factKey struct {
	kind        Kind
	fingerprint uint64
	instance    Instance
}

func (f *Fact) key() factKey { return factKey{f.Kind, f.Fingerprint, f.Instance} }

// hash returns a hash of the key.
func (f *Fact) hash() uint64 {
	digest := xxhash.New()
	var fixed [17]byte
	fixed[0] = byte(f.Kind)
	binary.LittleEndian.PutUint64(fixed[1:], f.Fingerprint)
	binary.LittleEndian.PutUint64(fixed[9:], uint64(f.Instance.Incarnation))
	_, _ = digest.Write(fixed[:]) // the Write methods of a digest never fail
	_, _ = digest.WriteString(string(f.Instance.Target))
	return digest.Sum64()
}

// record is a fact in a log.
type record struct {
	fact Fact
	// at is the time of the event, and known when this host learned of it.
	at, known time.Duration
	position  uint64
	// own is set if this host has seen the event itself.
	own bool
}
