package configstate

import (
	"bytes"
	"encoding/json"
	"errors"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// MaxConfirmationAge is the age of the confirmation at which a host must assume that it may have missed accepted
// changes. Work to anything that operators have taken out has to end within 3 s.
const MaxConfirmationAge = 3 * time.Second

// Pull requests updates newer than the given generations.
type Pull struct {
	Generation model.Generation
	Fleet      model.Generation
}

// PullReply is the reply to a Pull.
type PullReply struct {
	Generation model.Generation
	Fleet      model.Generation
	// AgeMS is the age of the answering host's confirmation in milliseconds, rounded up, or negative if it has none.
	AgeMS int64
	// HeadUpdate and FleetUpdate are JSON-encoded heads with the updates that the puller lacks, or empty if it is up
	// to date.
	HeadUpdate  []byte
	FleetUpdate []byte
	// Reports is set only while some relay fails to reach the store. It can be decoded only by a host of the same
	// generation.
	Reports []byte
}

// State is the configuration of one host and its freshness. Times are monotonic and relative to the start of the
// process.
type State struct {
	Catalogue *Replica[*model.Catalogue, change.Change]
	Fleet     *Replica[Fleet, FleetChange]
	Reports   Reports

	// highestObserved is the highest generation announced by a notice.
	highestObserved model.Generation
	storeHead       storeValue
	storeFleet      storeValue
	confirmed       bool
	confirmedAt     time.Duration
}

// NewState returns the state of a newly started host.
func NewState() *State {
	return &State{Catalogue: NewReplica(CatalogueFormat()), Fleet: NewReplica(FleetFormat())}
}

// ObserveGeneration records that a generation has been accepted. It returns whether this host lacks it.
func (s *State) ObserveGeneration(generation model.Generation) bool {
	s.highestObserved = max(s.highestObserved, generation)
	return s.IsBehind()
}

// IsBehind reports whether a newer generation is known to exist.
func (s *State) IsBehind() bool { return s.highestObserved > s.Catalogue.Generation() }

// confirm records that all changes accepted before the given time are in force on this host.
func (s *State) confirm(at time.Duration) {
	if !s.confirmed || at > s.confirmedAt {
		s.confirmed = true
		s.confirmedAt = at
	}
}

// ConfirmationAge returns the age of the confirmation, or false if there is none.
func (s *State) ConfirmationAge(now time.Duration) (time.Duration, bool) {
	return now - s.confirmedAt, s.confirmed
}

// ServesUntil returns the time until which the host may accept new work without further messages. After that it may
// have missed accepted changes. trustReports is set once the host has asked enough other hosts to rely on reports of
// a store outage.
func (s *State) ServesUntil(now time.Duration, trustReports bool) time.Duration {
	if s.Catalogue.Generation() == 0 {
		return 0
	}
	var until time.Duration
	// A confirmation from before this process started may not cover a generation that an earlier incarnation of this
	// host already had in force.
	if s.confirmed && s.confirmedAt >= 0 {
		until = s.confirmedAt + MaxConfirmationAge
	}
	if trustReports && !s.IsBehind() && s.Reports.HasFailures(now) &&
		s.Reports.OutageDetected(now, s.Catalogue.Document(), s.Fleet.Document(), s.Catalogue.Generation()) {
		until = max(until, now+outageRecheckInterval)
	}
	return until
}

// outageRecheckInterval is how long a detected store outage allows serving before it is checked again.
const outageRecheckInterval = 300 * time.Millisecond

// AnswerPull returns the reply to a pull.
func (s *State) AnswerPull(now time.Duration, pull Pull) (PullReply, error) {
	reply := PullReply{Generation: s.Catalogue.Generation(), Fleet: s.Fleet.Generation(), AgeMS: -1}
	if age, ok := s.ConfirmationAge(now); ok {
		reply.AgeMS = ceilMS(age)
	}
	var errs [2]error
	reply.HeadUpdate, errs[0] = updateFor(s.Catalogue, pull.Generation)
	reply.FleetUpdate, errs[1] = updateFor(s.Fleet, pull.Fleet)
	if s.Reports.HasFailures(now) {
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

// ApplyPullReply applies the reply to a pull sent at the given time. Its confirmation counts only if the generations
// that it refers to are in force on this host.
func (s *State) ApplyPullReply(sent time.Duration, reply PullReply) error {
	err := errors.Join(applyUpdate(s.Catalogue, reply.HeadUpdate), applyUpdate(s.Fleet, reply.FleetUpdate))
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

func applyUpdate[D, C any](r *Replica[D, C], update []byte) error {
	if len(update) == 0 {
		return nil
	}
	head, err := DecodeHead[C](update)
	if err != nil {
		return err
	}
	return r.ApplyHead(head)
}

// ApplyStoreRead applies the values of the keys head and fleet, read by a call that began at the given time. An empty
// value means that the key does not exist.
func (s *State) ApplyStoreRead(sent time.Duration, head, fleet []byte) error {
	headGeneration, err := applyStoreValue(s.Catalogue, &s.storeHead, head)
	if err != nil {
		return err
	}
	fleetGeneration, err := applyStoreValue(s.Fleet, &s.storeFleet, fleet)
	if err != nil {
		return err
	}
	if s.Catalogue.Generation() >= headGeneration && s.Fleet.Generation() >= fleetGeneration {
		s.confirm(sent)
	}
	return nil
}

// storeValue caches the last value read from the store. Relays read twice a second, but the value rarely changes.
type storeValue struct {
	value      []byte
	generation model.Generation
}

// applyStoreValue applies a value read from the store and returns its generation.
func applyStoreValue[D, C any](r *Replica[D, C], last *storeValue, value []byte) (model.Generation, error) {
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
	return head.Generation, r.ApplyHead(head)
}

// Segment returns the content of a segment of either document.
func (s *State) Segment(id SegmentID) ([]byte, bool) {
	if content, ok := s.Catalogue.Segment(id); ok {
		return content, true
	}
	return s.Fleet.Segment(id)
}

// MissingSegments returns the segments needed to apply pending heads.
func (s *State) MissingSegments() []SegmentID {
	return append(s.Catalogue.MissingSegments(), s.Fleet.MissingSegments()...)
}

// AddSegment adds the content of a missing segment.
func (s *State) AddSegment(content []byte) error {
	return errors.Join(s.Catalogue.AddSegment(content), s.Fleet.AddSegment(content))
}
