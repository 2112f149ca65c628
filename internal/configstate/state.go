package configstate

import (
	"bytes"
	"encoding/json"
	"errors"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// FenceAge is the age of the confirmation after which a host may be cut off from accepted changes. Work to what
// operators have taken out has to end within 3 s.
const FenceAge = 3 * time.Second

// Pull asks a host for newer generations.
type Pull struct {
	Generation model.Generation
	Fleet      model.Generation
}

// PullReply is the answer to a Pull.
type PullReply struct {
	Generation model.Generation
	Fleet      model.Generation
	// AgeMS is the age of the answering host's confirmation in milliseconds, rounded up; negative if it has none.
	AgeMS int64
	// HeadUpdate and FleetUpdate are heads in JSON with what the puller lacks; empty if it lacks nothing.
	HeadUpdate  []byte
	FleetUpdate []byte
	// Reports are sent only while some relay fails to reach the store. A host of another generation can't read them.
	Reports []byte
}

// State is the configuration of one host with what it knows about its freshness. Times are monotonic, since the start of
// the process.
type State struct {
	Catalogue *Replica[*model.Catalogue, change.Change]
	Fleet     *Replica[Fleet, FleetChange]
	Reports   Reports

	// heard is the highest generation that a notice named.
	heard       model.Generation
	storeHead   storeValue
	storeFleet  storeValue
	confirmed   bool
	confirmedAt time.Duration
}

// NewState returns the state of a host that has just started.
func NewState() *State {
	return &State{Catalogue: NewReplica(CatalogueFormat()), Fleet: NewReplica(FleetFormat())}
}

// Hear notes that a generation has been accepted somewhere. It returns whether this host lacks it.
func (s *State) Hear(generation model.Generation) bool {
	s.heard = max(s.heard, generation)
	return s.Behind()
}

// Behind tells whether a newer generation is known to exist.
func (s *State) Behind() bool { return s.heard > s.Catalogue.Generation() }

// confirm notes that everything accepted before the time is in force here.
func (s *State) confirm(at time.Duration) {
	if !s.confirmed || at > s.confirmedAt {
		s.confirmed = true
		s.confirmedAt = at
	}
}

// Age returns the age of the confirmation, or false if there has been none.
func (s *State) Age(now time.Duration) (time.Duration, bool) { return now - s.confirmedAt, s.confirmed }

// ServesUntil returns the time until which the host may take new work if nothing more arrives. From then on it may be cut
// off from accepted changes. rely tells whether the host has asked enough others to rely on the proof of a store outage.
func (s *State) ServesUntil(now time.Duration, rely bool) time.Duration {
	if s.Catalogue.Generation() == 0 {
		return 0
	}
	var until time.Duration
	// A confirmation from before this process started may lack what an earlier run of the host had in force already.
	if s.confirmed && s.confirmedAt >= 0 {
		until = s.confirmedAt + FenceAge
	}
	if rely && !s.Behind() && s.Reports.Trouble(now) &&
		s.Reports.OutageProven(now, s.Catalogue.Document(), s.Fleet.Document(), s.Catalogue.Generation()) {
		until = max(until, now+outageRecheck)
	}
	return until
}

// outageRecheck is the time for which the proof of a store outage holds before it is checked again.
const outageRecheck = 300 * time.Millisecond

// Answer returns the reply to a pull.
func (s *State) Answer(now time.Duration, pull Pull) (PullReply, error) {
	reply := PullReply{Generation: s.Catalogue.Generation(), Fleet: s.Fleet.Generation(), AgeMS: -1}
	if age, ok := s.Age(now); ok {
		reply.AgeMS = ceilMS(age)
	}
	var errs [2]error
	reply.HeadUpdate, errs[0] = updateFor(s.Catalogue, pull.Generation)
	reply.FleetUpdate, errs[1] = updateFor(s.Fleet, pull.Fleet)
	if s.Reports.Trouble(now) {
		reply.Reports = encodeReports(s.Reports.Active(now), now, s.Catalogue.Document())
	}
	return reply, errors.Join(errs[0], errs[1])
}

func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func updateFor[D, C any](r *Replica[D, C], generation model.Generation) ([]byte, error) {
	head, newer, err := r.UpdateFor(generation)
	if err != nil || !newer {
		return nil, err
	}
	return json.Marshal(head)
}

// Take applies the reply to a pull that was sent at the time sent. The confirmation that the reply carries counts only if
// the generations that it speaks of are in force here.
func (s *State) Take(sent time.Duration, reply PullReply) error {
	err := errors.Join(offer(s.Catalogue, reply.HeadUpdate), offer(s.Fleet, reply.FleetUpdate))
	if generation := s.Catalogue.Generation(); generation > 0 && generation == reply.Generation {
		for _, report := range decodeReports(reply.Reports, sent, s.Catalogue.Document()) {
			s.Reports.Put(report)
		}
	}
	current := s.Catalogue.Generation() >= reply.Generation && s.Fleet.Generation() >= reply.Fleet
	if current && reply.AgeMS >= 0 {
		s.confirm(sent - time.Duration(reply.AgeMS)*time.Millisecond)
	}
	return err
}

func offer[D, C any](r *Replica[D, C], update []byte) error {
	if len(update) == 0 {
		return nil
	}
	head, err := DecodeHead[C](update)
	if err != nil {
		return err
	}
	return r.Offer(head)
}

// TakeStore applies the values of the keys head and fleet, read from the store by a call that began at the time sent. An
// empty value means that the key does not exist.
func (s *State) TakeStore(sent time.Duration, head, fleet []byte) error {
	headGeneration, err := offerValue(s.Catalogue, &s.storeHead, head)
	if err != nil {
		return err
	}
	fleetGeneration, err := offerValue(s.Fleet, &s.storeFleet, fleet)
	if err != nil {
		return err
	}
	if s.Catalogue.Generation() >= headGeneration && s.Fleet.Generation() >= fleetGeneration {
		s.confirm(sent)
	}
	return nil
}

// storeValue is the last value read from the store. Relays read twice a second, and it seldom changes.
type storeValue struct {
	value      []byte
	generation model.Generation
}

// offerValue applies a value of the store and returns its generation.
func offerValue[D, C any](r *Replica[D, C], last *storeValue, value []byte) (model.Generation, error) {
	if len(value) == 0 {
		return 0, nil
	}
	if last.generation <= r.Generation() && bytes.Equal(value, last.value) {
		return last.generation, nil
	}
	head, err := DecodeHead[C](value)
	if err != nil {
		return 0, err
	}
	*last = storeValue{value: value, generation: head.Generation}
	return head.Generation, r.Offer(head)
}

// Segment returns the content of a segment that a puller asks for.
func (s *State) Segment(id SegmentID) ([]byte, bool) {
	if content, ok := s.Catalogue.Segment(id); ok {
		return content, true
	}
	return s.Fleet.Segment(id)
}

// Missing returns the segments without which pending generations can't come into force.
func (s *State) Missing() []SegmentID { return append(s.Catalogue.Missing(), s.Fleet.Missing()...) }

// AddSegment takes the content of a missing segment.
func (s *State) AddSegment(content []byte) error {
	return errors.Join(s.Catalogue.AddSegment(content), s.Fleet.AddSegment(content))
}
