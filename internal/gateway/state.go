package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/forward"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/relay"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// expireInterval is the interval between checks for expired registrations and changes of the fleet.
const expireInterval = 250 * time.Millisecond

// rewriteGrace is how long after the store has come back from an older copy operators may take to write again what it lost. It is
// longer than targets take, and an evacuation that has ended for good costs no more than capacity meanwhile.
const rewriteGrace = 5 * time.Second

// KeyKind classifies the keys of the store.
type KeyKind int

// The kinds of keys. KeyOther, the zero value, is a key that does not concern the host.
const (
	KeyOther KeyKind = iota
	KeyConfiguration
	KeyDataCentreOut
	KeyTarget
)

// StoreKey is a parsed key of the store.
type StoreKey struct {
	Kind       KeyKind
	DataCentre model.DataCentreID
	Target     model.TargetID
}

// Decoder decodes the entries of the store. An error means that the entry is malformed and must be ignored.
type Decoder interface {
	ParseKey(key string) StoreKey
	Table(value []byte) (*routing.Table, error)
	Registration(id model.TargetID, value []byte) (registry.Registration, error)
}

// state holds the configuration, the targets and the set of data centres that are out, and passes them to the engine.
// It implements follow.Sink.
type state struct {
	logger  *zap.Logger
	decoder Decoder
	engine  *forward.Engine

	mu       sync.Mutex
	table    *routing.Table
	registry *registry.Registry
	out      map[model.DataCentreID]bool
	// heldOut holds until when a data centre stays out that the listing of a new history does not name.
	heldOut map[model.DataCentreID]time.Duration
	// history is the history of the store that the data belongs to.
	history uint64
	// fleet returns the hosts that share budgets; currentFleet is the value the engine uses.
	fleet        func() relay.Fleet
	currentFleet relay.Fleet
	// leaving reports whether an instance has said that it is shutting down.
	leaving func(evidence.Instance) bool
	// storeAway is set while neither the store nor a relay answers.
	storeAway bool
	// lastConfirmed is the monotime reading of the last listing or change. The age of the contact with the store is the relay's.
	lastConfirmed time.Duration
}

func newState(logger *zap.Logger, decoder Decoder, engine *forward.Engine, fleet func() relay.Fleet, leaving func(evidence.Instance) bool) *state {
	return &state{
		logger:   logger,
		decoder:  decoder,
		engine:   engine,
		registry: registry.New(),
		out:      map[model.DataCentreID]bool{},
		heldOut:  map[model.DataCentreID]time.Duration{},
		fleet:    fleet,
		leaving:  leaving,
	}
}

// Reset implements follow.Sink.
func (s *state) Reset(entries []store.Entry, listed store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginHistory(listed)
	targets := map[model.TargetID]bool{}
	s.out = map[model.DataCentreID]bool{}
	for dataCentre := range s.heldOut {
		s.out[dataCentre] = true
	}
	for _, entry := range entries {
		if key := s.parseKey(entry); key.Kind == KeyTarget {
			targets[key.Target] = true
		}
		s.putEntry(entry)
	}
	for _, id := range s.registry.Missing(targets) {
		s.deleteTarget(id, 0)
	}
	s.lastConfirmed = monotime.Now()
	s.logger.Info("store listed", zap.Int("entries", len(entries)), zap.Int("targets", len(targets)),
		zap.Uint64("revision", uint64(listed)))
	s.publish()
}

// beginHistory notes that the store has come back from an older copy, which may lack what it had acknowledged. Targets and operators
// write again what is missing; until then, what is known stays in force.
func (s *state) beginHistory(listed store.Revision) {
	if listed.History() <= s.history {
		return
	}
	s.history = listed.History()
	now := monotime.Now()
	s.registry.SourceLost()
	s.registry.SourceRegained(now)
	for dataCentre := range s.out {
		s.heldOut[dataCentre] = now + rewriteGrace
	}
	if s.lastConfirmed == 0 {
		return // this host has just started and knew no earlier history
	}
	s.logger.Warn("store came back from an older copy", zap.Uint64("history", s.history), zap.Uint64("revision", listed.Number()))
}

// Apply implements follow.Sink.
func (s *state) Apply(changes []store.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		if change.Removed {
			s.removeEntry(change)
		} else {
			s.putEntry(change.Entry)
		}
	}
	s.lastConfirmed = monotime.Now()
	s.publish()
}

// isStoreAway reports whether neither the store nor a relay answers.
func (s *state) isStoreAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeAway
}

// Lost implements follow.Sink.
func (s *state) Lost(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeAway = true
	s.registry.SourceLost()
}

// Regained implements follow.Sink.
func (s *state) Regained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeAway = false
	s.registry.SourceRegained(monotime.Now())
}

// putEntry takes over an entry of the store.
func (s *state) putEntry(entry store.Entry) {
	s.guard(entry, func() { s.decodeEntry(entry) })
}

// guard calls f. An entry that makes its decoder panic is ignored: it must not end the process, which would meet it again at every
// start, nor the following of the store.
func (s *state) guard(entry store.Entry, f func()) {
	if recovered := panics.Try(f); recovered != nil {
		s.logger.Error("entry ignored after an unexpected error", zap.String("key", entry.Key), revision(entry), zap.Error(recovered.AsError()))
	}
}

// parseKey returns the parsed key of an entry, and that of an entry which does not concern the host if the decoder panics.
func (s *state) parseKey(entry store.Entry) StoreKey {
	var key StoreKey
	s.guard(entry, func() { key = s.decoder.ParseKey(entry.Key) })
	return key
}

func (s *state) decodeEntry(entry store.Entry) {
	key := s.decoder.ParseKey(entry.Key)
	switch key.Kind {
	case KeyConfiguration:
		s.putTable(entry)
	case KeyDataCentreOut:
		s.out[key.DataCentre] = true
		delete(s.heldOut, key.DataCentre)
		s.logger.Info("data centre out", zap.String("data_centre", string(key.DataCentre)), revision(entry))
	case KeyTarget:
		s.putTarget(key.Target, entry)
	}
}

func (s *state) putTable(entry store.Entry) {
	table, err := s.decoder.Table(entry.Value)
	if err != nil {
		s.logger.Error("configuration ignored", zap.String("key", entry.Key), revision(entry), zap.Error(err))
		return
	}
	if s.table != nil && table.Generation <= s.table.Generation {
		if table.Generation < s.table.Generation {
			s.logger.Warn("older configuration ignored", zap.Uint64("generation", uint64(table.Generation)),
				zap.Uint64("in_force", uint64(s.table.Generation)), revision(entry))
		}
		return
	}
	s.table = table
	s.logger.Info("configuration in force", zap.Uint64("generation", uint64(table.Generation)), revision(entry),
		zap.Int("routes", len(table.Routes)))
}

func (s *state) putTarget(id model.TargetID, entry store.Entry) {
	report, err := s.decoder.Registration(id, entry.Value)
	if err != nil {
		s.logger.Warn("registration ignored", zap.String("key", entry.Key), revision(entry), zap.Error(err))
		// The entry has replaced the target's previous registration, so the target must no longer be used.
		s.deleteTarget(id, entry.Revision)
		return
	}
	// A report may be older than an answer of the same instance, and may have been read from a source that is behind.
	report.Draining = report.Draining || s.leaving(evidence.Instance{Target: id, Incarnation: report.Incarnation})
	decision := s.registry.Put(monotime.Now(), report)
	if decision != registry.Updated {
		s.logger.Info("target "+string(decision), zap.String("target", string(id)), zap.String("service", string(report.Service)),
			zap.Uint64("incarnation", uint64(report.Incarnation)), zap.Uint64("sequence", report.Sequence),
			zap.Duration("cold_for", report.ColdFor), revision(entry))
	}
}

// markLeaving records that an instance has said that it is shutting down.
func (s *state) markLeaving(i evidence.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registry.Leaving(i.Target, i.Incarnation) == registry.Drained {
		s.publish()
	}
}

func (s *state) deleteTarget(id model.TargetID, at store.Revision) {
	if decision := s.registry.Delete(monotime.Now(), id); decision != registry.Unknown {
		s.logger.Info("target "+string(decision), zap.String("target", string(id)), zap.Uint64("revision", uint64(at)),
			zap.Bool("store_away", s.storeAway))
	}
}

func (s *state) removeEntry(change store.Change) {
	key := s.parseKey(change.Entry)
	switch key.Kind {
	case KeyTarget:
		s.deleteTarget(key.Target, change.Revision)
	case KeyDataCentreOut:
		delete(s.out, key.DataCentre)
		delete(s.heldOut, key.DataCentre)
		s.logger.Info("data centre in", zap.String("data_centre", string(key.DataCentre)), revision(change.Entry))
	case KeyConfiguration:
		s.logger.Error("configuration removed from the store: the last one stays in force", revision(change.Entry))
	}
}

// publish passes the current state to the engine, once there is a configuration. The caller holds s.mu.
func (s *state) publish() {
	if s.table == nil {
		return
	}
	s.currentFleet = s.fleet()
	s.engine.SetRoutingState(forward.NewRoutingState(s.table, s.registry.Targets(), s.out, s.currentFleet))
}

// expire drops expired registrations and publishes changes of the fleet.
func (s *state) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := monotime.Now()
	expired := s.registry.Expire(now)
	for _, id := range expired {
		s.logger.Info("target lapsed", zap.String("target", string(id)))
	}
	ended := s.endHeldOut(now)
	if fleet := s.fleet(); ended || len(expired) > 0 || !fleet.Equal(s.currentFleet) {
		s.publish()
	}
}

// endHeldOut takes data centres back in that nobody has taken out again in time. It returns whether there were any.
func (s *state) endHeldOut(now time.Duration) bool {
	ended := false
	for dataCentre, until := range s.heldOut {
		if now >= until {
			delete(s.heldOut, dataCentre)
			delete(s.out, dataCentre)
			ended = true
			s.logger.Info("data centre in", zap.String("data_centre", string(dataCentre)), zap.Bool("not_written_again", true))
		}
	}
	return ended
}

// run calls expire periodically until the context ends.
func (s *state) run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.expire()
		case <-ctx.Done():
			return
		}
	}
}

func revision(entry store.Entry) zap.Field { return zap.Uint64("revision", uint64(entry.Revision)) }
