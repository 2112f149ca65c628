// Package registry keeps the targets that have registered themselves. It is pure: times are passed in.
//
// Evidence about a target is ordered by its incarnation and the sequence of its reports, so that a report which arrives
// late never takes back a later one.
package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// lapseGrace is the time after the source's return within which live targets renew registrations that lapsed while
	// the source was away. A registration that is still missing then is gone.
	lapseGrace = 2200 * time.Millisecond
	// removedMemory is the time for which the last report of a removed target keeps older ones out.
	removedMemory = time.Minute
	// maxRemoved bounds the removed targets that are remembered; the oldest are forgotten first.
	maxRemoved = 4096
)

// Registration is what a target says of itself.
type Registration struct {
	Target     model.TargetID
	Service    model.ServiceID
	Address    string
	DataCentre model.DataCentreID
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Draining tells that the target is leaving and gets no new work.
	Draining bool
	// ColdFor is the time for which the target was still cold when it reported.
	ColdFor time.Duration
	// Incarnation tells two runs of a target under the same id apart.
	Incarnation model.Incarnation
	// Sequence orders the reports of one incarnation.
	Sequence uint64
}

// Target is a registered target.
type Target struct {
	Registration
	// ColdUntil is the time until which the target is cold.
	ColdUntil time.Duration
	// Lapsed is the time at which the registration went missing while the source was away; 0 if it is there.
	Lapsed time.Duration
}

// Decision tells what became of a report.
type Decision string

// The decisions.
const (
	Added    Decision = "added"
	Updated  Decision = "updated"
	Drained  Decision = "drained"
	Outdated Decision = "outdated"
	Removed  Decision = "removed"
	Held     Decision = "held"
	Unknown  Decision = "unknown"
)

// Registry holds the registered targets. It is not safe for concurrent use.
type Registry struct {
	targets map[model.TargetID]*Target
	removed map[model.TargetID]tombstone
	// away tells that the source cannot be reached.
	away bool
	// returned is the time of the source's last return.
	returned time.Duration
}

type tombstone struct {
	at          time.Duration
	incarnation model.Incarnation
	sequence    uint64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		targets:  map[model.TargetID]*Target{},
		removed:  map[model.TargetID]tombstone{},
		returned: -lapseGrace,
	}
}

// Put takes a report.
func (r *Registry) Put(now time.Duration, report Registration) Decision {
	if gone, ok := r.removed[report.Target]; ok && !isNewer(report, gone.incarnation, gone.sequence) {
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
		report.Draining = true // a leaving target does not come back within one run
	}
	if report.Draining && (present == nil || !present.Draining) {
		decision = Drained
	}
	delete(r.removed, report.Target)
	r.targets[report.Target] = &Target{Registration: report, ColdUntil: now + report.ColdFor}
	return decision
}

// isNewer tells whether a report is later than the one with the given incarnation and sequence.
func isNewer(report Registration, incarnation model.Incarnation, sequence uint64) bool {
	if report.Incarnation != incarnation {
		return report.Incarnation > incarnation
	}
	return report.Sequence > sequence
}

// Delete takes the end of a registration. One that ends while the source is away, or shortly after its return, is held
// until live targets have had the time to renew it.
func (r *Registry) Delete(now time.Duration, id model.TargetID) Decision {
	present := r.targets[id]
	if present == nil {
		return Unknown
	}
	if !present.Draining && (r.away || now < r.returned+lapseGrace) {
		present.Lapsed = max(now, 1)
		return Held
	}
	r.remove(now, present)
	return Removed
}

func (r *Registry) remove(now time.Duration, t *Target) {
	delete(r.targets, t.Target)
	if len(r.removed) >= maxRemoved {
		r.forgetOldest()
	}
	r.removed[t.Target] = tombstone{at: now, incarnation: t.Incarnation, sequence: t.Sequence}
}

func (r *Registry) forgetOldest() {
	var oldest model.TargetID
	first := true
	for id, gone := range r.removed {
		if first || gone.at < r.removed[oldest].at {
			oldest, first = id, false
		}
	}
	delete(r.removed, oldest)
}

// Away notes that the source of the reports cannot be reached.
func (r *Registry) Away() { r.away = true }

// Returned notes that the source can be reached again.
func (r *Registry) Returned(now time.Duration) {
	if r.away {
		r.away, r.returned = false, now
	}
}

// Expire removes the registrations that were held and not renewed in time, and returns their targets.
func (r *Registry) Expire(now time.Duration) []model.TargetID {
	var gone []model.TargetID
	if !r.away && now >= r.returned+lapseGrace {
		for id, t := range r.targets {
			if t.Lapsed > 0 {
				r.remove(now, t)
				gone = append(gone, id)
			}
		}
	}
	for id, t := range r.removed {
		if now-t.at > removedMemory {
			delete(r.removed, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// Missing returns the registered targets that are not among the given ones, ordered by id.
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

// Targets returns a copy of all targets, ordered by id.
func (r *Registry) Targets() []Target {
	all := make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		all = append(all, *t)
	}
	slices.SortFunc(all, func(a, b Target) int { return cmp.Compare(a.Target, b.Target) })
	return all
}
