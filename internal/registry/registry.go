// Package registry keeps the targets that have registered themselves. It performs no I/O and reads no clock: callers pass
// in the current time.
//
// Reports of a target are ordered by its incarnation and their sequence number, so that a delayed report never overrides a
// newer one.
package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// lapseGrace is the grace period, after the source has become reachable again, in which live targets renew
	// registrations that lapsed during the outage. Registrations that are still missing after it are removed.
	lapseGrace = 2200 * time.Millisecond
	// tombstoneLifetime is how long the last report of a removed target blocks older reports.
	tombstoneLifetime = time.Minute
	// maxTombstones bounds the number of tombstones of removed targets; the oldest one is evicted first.
	maxTombstones = 4096
)

// Registration is a target's report about itself.
type Registration struct {
	Target     model.TargetID
	Service    model.ServiceID
	Address    string
	DataCentre model.DataCentreID
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining means that the target is shutting down and must receive no new requests.
	Draining bool
	// ColdFor is how long the target remains cold, counted from the report.
	ColdFor time.Duration
	// Incarnation distinguishes runs of a target with the same ID. Later runs have higher values.
	Incarnation model.Incarnation
	// Sequence orders the reports of an incarnation.
	Sequence uint64
}

// Target is a registered target with times on the clock of the registry.
type Target struct {
	Registration
	// ColdUntil is the time until which the target is cold.
	ColdUntil time.Duration
	// Lapsed is the time at which the registration of a held target ended, see Delete; 0 if it has not ended.
	Lapsed time.Duration
}

// Decision is the result of processing a report or the end of a registration.
type Decision string

const (
	// Added means that the report registered a new target.
	Added Decision = "added"
	// Updated means that the report replaced the known one.
	Updated Decision = "updated"
	// Drained means that the report is the first one that says that the target is draining.
	Drained Decision = "drained"
	// Outdated means that the report was ignored because it is older than the known one, or not newer than the last one
	// of a removed target.
	Outdated Decision = "outdated"
	// Removed means that the target was removed.
	Removed Decision = "removed"
	// Held means that the target was kept although its registration ended.
	Held Decision = "held"
	// Unknown means that a registration ended whose target is not known.
	Unknown Decision = "unknown"
)

// Registry holds the registered targets. It is not safe for concurrent use.
type Registry struct {
	targets    map[model.TargetID]*Target
	tombstones map[model.TargetID]tombstone
	// sourceLost means that the source of the reports cannot be reached.
	sourceLost bool
	// sourceRegained is the time at which the source last became reachable again.
	sourceRegained time.Duration
}

// tombstone is the last report of a removed target. It keeps older reports from registering the target again.
type tombstone struct {
	removedAt   time.Duration
	incarnation model.Incarnation
	sequence    uint64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		targets:        map[model.TargetID]*Target{},
		tombstones:     map[model.TargetID]tombstone{},
		sourceRegained: -lapseGrace,
	}
}

// Put processes a report of a target.
func (r *Registry) Put(now time.Duration, report Registration) Decision {
	if last, ok := r.tombstones[report.Target]; ok && !isNewer(report, last.incarnation, last.sequence) {
		return Outdated
	}
	present := r.targets[report.Target]
	if present != nil && isNewer(present.Registration, report.Incarnation, report.Sequence) {
		return Outdated
	}
	decision := Updated
	switch {
	case present == nil:
		decision = Added
	case report.Incarnation == present.Incarnation && present.Draining:
		report.Draining = true // a target never stops draining within one incarnation
	}
	if report.Draining && (present == nil || !present.Draining) {
		decision = Drained
	}
	delete(r.tombstones, report.Target)
	r.targets[report.Target] = &Target{Registration: report, ColdUntil: now + report.ColdFor}
	return decision
}

// Leaving records that an instance has said itself that it is shutting down.
func (r *Registry) Leaving(id model.TargetID, incarnation model.Incarnation) Decision {
	present := r.targets[id]
	switch {
	case present == nil || present.Incarnation != incarnation:
		return Unknown
	case present.Draining:
		return Updated
	}
	present.Draining = true
	return Drained
}

// isNewer reports whether a report is newer than the one with the given incarnation and sequence.
func isNewer(report Registration, incarnation model.Incarnation, sequence uint64) bool {
	if report.Incarnation != incarnation {
		return report.Incarnation > incarnation
	}
	return report.Sequence > sequence
}

// Delete processes the end of a registration. If the source is unreachable or has just become reachable again, the target
// is held until the grace period for renewing registrations has passed, unless it is draining.
func (r *Registry) Delete(now time.Duration, id model.TargetID) Decision {
	present := r.targets[id]
	if present == nil {
		return Unknown
	}
	if !present.Draining && (r.sourceLost || now < r.sourceRegained+lapseGrace) {
		present.Lapsed = max(now, 1)
		return Held
	}
	r.remove(now, present)
	return Removed
}

// remove removes a target and leaves a tombstone.
func (r *Registry) remove(now time.Duration, t *Target) {
	delete(r.targets, t.Target)
	if len(r.tombstones) >= maxTombstones {
		r.evictOldestTombstone()
	}
	r.tombstones[t.Target] = tombstone{removedAt: now, incarnation: t.Incarnation, sequence: t.Sequence}
}

func (r *Registry) evictOldestTombstone() {
	var oldest model.TargetID
	first := true
	for id, t := range r.tombstones {
		if first || t.removedAt < r.tombstones[oldest].removedAt {
			oldest, first = id, false
		}
	}
	delete(r.tombstones, oldest)
}

// SourceLost records that the source of the reports cannot be reached.
func (r *Registry) SourceLost() { r.sourceLost = true }

// SourceRegained records that the source of the reports can be reached again.
func (r *Registry) SourceRegained(now time.Duration) {
	if r.sourceLost {
		r.sourceLost, r.sourceRegained = false, now
	}
}

// Expire removes the targets that were held and have not renewed their registration within the grace period, and returns
// their IDs in order. It also removes expired tombstones.
func (r *Registry) Expire(now time.Duration) []model.TargetID {
	var expired []model.TargetID
	if !r.sourceLost && now >= r.sourceRegained+lapseGrace {
		for id, t := range r.targets {
			if t.Lapsed > 0 {
				r.remove(now, t)
				expired = append(expired, id)
			}
		}
	}
	for id, t := range r.tombstones {
		if now-t.removedAt > tombstoneLifetime {
			delete(r.tombstones, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// Missing returns the IDs of the registered targets that are not in present, in order.
func (r *Registry) Missing(present map[model.TargetID]bool) []model.TargetID {
	var missing []model.TargetID
	for id := range r.targets {
		if !present[id] {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return missing
}

// Targets returns a copy of all targets, ordered by ID.
func (r *Registry) Targets() []Target {
	all := make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		all = append(all, *t)
	}
	slices.SortFunc(all, func(a, b Target) int { return cmp.Compare(a.Target, b.Target) })
	return all
}
