package configstate

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Reachability is the state of the store as seen by a relay.
type Reachability uint8

// The values of Reachability.
const (
	Reachable Reachability = iota + 1
	// Failing means that the last call failed, but fewer than three calls in a row.
	Failing
	// Unreachable means that three calls in a row failed.
	Unreachable
)

// RelaysPerDataCentre is two, so that one relay can fail without interrupting updates.
const RelaysPerDataCentre = 2

// Report is a relay's statement about the store.
type Report struct {
	DataCentre model.DataCentreID
	// Slot is the rank of the relay within its data centre.
	Slot  uint8
	Reach Reachability
	// Generation is the catalogue generation that the relay had in force.
	Generation model.Generation
	// At is when the statement was made, in this host's monotonic time.
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

// reportLifetime is the maximum age of a valid report, including all hops.
const reportLifetime = 3 * time.Second

// Put stores a report unless an equally new or newer one from the same relay is known.
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

// Active returns the reports that have not expired, sorted by relay, and deletes the others.
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

// HasFailures reports whether some relay currently fails to reach the store.
func (r *Reports) HasFailures(now time.Duration) bool {
	for _, report := range r.entries {
		if report.Reach != Reachable && now-report.At <= reportLifetime {
			return true
		}
	}
	return false
}

// OutageDetected reports whether no host can reach the store, so that no change can be accepted. It requires that the
// relays of a majority of the in-service data centres report the store unreachable, that the data centres without
// such a report are at most one or all in the same region, that no relay reports the store reachable, and that none
// has a generation higher than the given one. Data centres without hosts in the fleet table have no relays and are
// not counted.
func (r *Reports) OutageDetected(now time.Duration, catalogue *model.Catalogue, fleet Fleet, generation model.Generation) bool {
	if catalogue == nil {
		return false
	}
	reporting := map[model.DataCentreID]bool{}
	undecided := map[model.DataCentreID]bool{}
	for _, report := range r.Active(now) {
		if report.Reach == Reachable || report.Generation > generation {
			return false
		}
		reporting[report.DataCentre] = true
		undecided[report.DataCentre] = undecided[report.DataCentre] || report.Reach == Failing
	}
	total, missing := 0, 0
	regions := map[model.RegionID]bool{}
	for _, centre := range inServiceDataCentres(catalogue, fleet) {
		total++
		if !reporting[centre.ID] || undecided[centre.ID] {
			missing++
			regions[centre.Region] = true
		}
	}
	return 2*(total-missing) > total && (missing <= 1 || len(regions) <= 1)
}

// inServiceDataCentres returns the data centres that are in service and have hosts. Without a fleet table, data
// centres are counted regardless of hosts.
func inServiceDataCentres(c *model.Catalogue, fleet Fleet) []model.DataCentreInfo {
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
