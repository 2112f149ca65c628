package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/forward"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/relay"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// expireInterval is the time between two looks at registrations that are held and at the number of hosts.
	expireInterval = 250 * time.Millisecond
)

// SubjectKind tells what a key of the store is about.
type SubjectKind int

// The kinds of subjects. The zero value is a key that does not concern the host.
const (
	SubjectOther SubjectKind = iota
	SubjectTable
	SubjectOut
	SubjectTarget
)

// Subject is what a key of the store is about.
type Subject struct {
	Kind       SubjectKind
	DataCentre model.DataCentreID
	Target     model.TargetID
}

// Decoder reads the entries of the store. An error means that the entry is from another writer and says nothing.
type Decoder interface {
	Subject(key string) Subject
	Table(value []byte) (*routing.Table, error)
	Registration(id model.TargetID, value []byte) (registry.Registration, error)
}

// state is what the host believes: configuration, targets, data centres that are out. It implements follow.Sink.
type state struct {
	logger  *zap.Logger
	decoder Decoder
	engine  *forward.Engine

	mu       sync.Mutex
	table    *routing.Table
	registry *registry.Registry
	out      map[model.DataCentreID]bool
	// fleet returns the hosts that share budgets; inForce is what the engine has.
	fleet   func() relay.Fleet
	inForce relay.Fleet
	away    bool
	// confirmed is the time of the last answer of the store.
	confirmed time.Duration
}

func newState(logger *zap.Logger, decoder Decoder, engine *forward.Engine, fleet func() relay.Fleet) *state {
	return &state{
		logger:   logger,
		decoder:  decoder,
		engine:   engine,
		registry: registry.New(),
		out:      map[model.DataCentreID]bool{},
		fleet:    fleet,
	}
}

// Reset implements follow.Sink.
func (s *state) Reset(entries []store.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := map[model.TargetID]bool{}
	s.out = map[model.DataCentreID]bool{}
	for _, entry := range entries {
		if subject := s.decoder.Subject(entry.Key); subject.Kind == SubjectTarget {
			targets[subject.Target] = true
		}
		s.put(entry)
	}
	for _, id := range s.registry.Missing(targets) {
		s.deleteTarget(id, 0)
	}
	s.confirmed = monotime.Now()
	s.logger.Info("store listed", zap.Int("entries", len(entries)), zap.Int("targets", len(targets)))
	s.publish()
}

// Apply implements follow.Sink.
func (s *state) Apply(changes []store.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		if change.Removed {
			s.remove(change)
		} else {
			s.put(change.Entry)
		}
	}
	s.confirmed = monotime.Now()
	s.publish()
}

// Lost implements follow.Sink.
func (s *state) Lost(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.registry.Away()
}

// Regained implements follow.Sink.
func (s *state) Regained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.registry.Returned(monotime.Now())
}

func (s *state) put(entry store.Entry) {
	subject := s.decoder.Subject(entry.Key)
	switch subject.Kind {
	case SubjectTable:
		s.putTable(entry)
	case SubjectOut:
		s.out[subject.DataCentre] = true
		s.logger.Info("data centre out", zap.String("data_centre", string(subject.DataCentre)), revision(entry))
	case SubjectTarget:
		s.putTarget(subject.Target, entry)
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
		// Whatever the target said before no longer stands in the store, so the entry names no target to use.
		s.deleteTarget(id, entry.Revision)
		return
	}
	decision := s.registry.Put(monotime.Now(), report)
	if decision != registry.Updated {
		s.logger.Info("target "+string(decision), zap.String("target", string(id)), zap.String("service", string(report.Service)),
			zap.Uint64("incarnation", uint64(report.Incarnation)), zap.Uint64("sequence", report.Sequence),
			zap.Duration("cold_for", report.ColdFor), revision(entry))
	}
}

func (s *state) deleteTarget(id model.TargetID, at store.Revision) {
	if decision := s.registry.Delete(monotime.Now(), id); decision != registry.Unknown {
		s.logger.Info("target "+string(decision), zap.String("target", string(id)), zap.Uint64("revision", uint64(at)),
			zap.Bool("store_away", s.away))
	}
}

func (s *state) remove(change store.Change) {
	subject := s.decoder.Subject(change.Key)
	switch subject.Kind {
	case SubjectTarget:
		s.deleteTarget(subject.Target, change.Revision)
	case SubjectOut:
		delete(s.out, subject.DataCentre)
		s.logger.Info("data centre in", zap.String("data_centre", string(subject.DataCentre)), revision(change.Entry))
	case SubjectTable:
		s.logger.Error("configuration removed from the store: the last one stays in force", revision(change.Entry))
	}
}

// publish puts what the host believes in force, once there is a configuration. It runs under the mutex.
func (s *state) publish() {
	if s.table == nil {
		return
	}
	s.inForce = s.fleet()
	s.engine.SetWorld(forward.NewWorld(s.table, s.registry.Targets(), s.out, s.inForce))
}

// expire ends what was held for a time.
func (s *state) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := monotime.Now()
	gone := s.registry.Expire(now)
	for _, id := range gone {
		s.logger.Info("target lapsed", zap.String("target", string(id)))
	}
	if fleet := s.fleet(); len(gone) > 0 || !fleet.Equal(s.inForce) {
		s.publish()
	}
}

// run ends what was held, until the context ends.
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
