package configstate

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Reach is what a relay says about the store.
type Reach uint8

// The values of Reach.
const (
	Reachable Reach = iota + 1
	// Failing means that the last call failed, but fewer than three in a row.
	Failing
	// Unreachable means that three calls in a row failed.
	Unreachable
)

// Relays is the number of relays in each data centre. Two of them let one fail without a pause.
const Relays = 2

// Report is a relay's statement about the store.
type Report struct {
	DataCentre model.DataCentreID
	// Slot is the rank of the relay among those of its data centre.
	Slot  uint8
	Reach Reach
	// Generation is the one that the relay held.
	Generation model.Generation
	// At is the time of the statement in this host's monotonic time.
	At time.Duration
}

type reportKey struct {
	centre model.DataCentreID
	slot   uint8
}

// Reports holds the newest report of each relay.
type Reports struct {
	entries map[reportKey]Report
}

// reportLifetime bounds the age of a report that counts, on its whole way.
const reportLifetime = 3 * time.Second

// Put keeps a report unless a newer one of the relay is known.
func (r *Reports) Put(report Report) {
	if r.entries == nil {
		r.entries = map[reportKey]Report{}
	}
	key := reportKey{report.DataCentre, report.Slot}
	if known, ok := r.entries[key]; ok && known.At >= report.At {
		return
	}
	r.entries[key] = report
}

// Active returns the reports that still count, in a fixed order, and forgets the others.
func (r *Reports) Active(now time.Duration) []Report {
	var active []Report
	for key, report := range r.entries {
		if now-report.At > reportLifetime {
			delete(r.entries, key)
			continue
		}
		active = append(active, report)
	}
	slices.SortFunc(active, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Slot, b.Slot))
	})
	return active
}

// Trouble tells whether some relay has failed to reach the store.
func (r *Reports) Trouble(now time.Duration) bool {
	for _, report := range r.entries {
		if report.Reach != Reachable && now-report.At <= reportLifetime {
			return true
		}
	}
	return false
}

// OutageProven tells whether nobody can reach the store, so that no change can be accepted. That holds when the relays of
// all in-service data centres but one, or but those of one region, and of a majority of them, say so, none says the
// contrary, and none has a higher generation than the given one. Data centres without hosts in the fleet table have no
// relay and do not count.
func (r *Reports) OutageProven(now time.Duration, catalogue *model.Catalogue, fleet Fleet, generation model.Generation) bool {
	if catalogue == nil {
		return false
	}
	unreachable := map[model.DataCentreID]bool{}
	undecided := map[model.DataCentreID]bool{}
	for _, report := range r.Active(now) {
		if report.Reach == Reachable || report.Generation > generation {
			return false
		}
		unreachable[report.DataCentre] = true
		undecided[report.DataCentre] = undecided[report.DataCentre] || report.Reach == Failing
	}
	total, missing := 0, 0
	regions := map[model.RegionID]bool{}
	for _, centre := range inService(catalogue, fleet) {
		total++
		if !unreachable[centre.ID] || undecided[centre.ID] {
			missing++
			regions[centre.Region] = true
		}
	}
	return 2*(total-missing) > total && (missing <= 1 || len(regions) <= 1)
}

// inService returns the data centres that are in service and have hosts. Without a fleet table all of them count.
func inService(c *model.Catalogue, fleet Fleet) []model.DataCentreInfo {
	hosting := map[model.DataCentreID]bool{}
	for _, host := range fleet.Hosts {
		hosting[host.DataCentre] = true
	}
	return slices.DeleteFunc(slices.Clone(c.DataCentres), func(centre model.DataCentreInfo) bool {
		if len(hosting) > 0 && !hosting[centre.ID] {
			return true
		}
		return slices.ContainsFunc(c.DataCentresOut, func(out model.DataCentreOut) bool { return out.ID == centre.ID })
	})
}
