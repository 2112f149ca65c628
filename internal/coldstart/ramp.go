package coldstart

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// ramp is the quota owner's record of the warm-up of a target.
type ramp struct {
	// level is the number of times that the allowance has doubled.
	level int
	// successes counts successes since the last doubling or sign.
	successes uint64
	// progress is the last report of each host.
	progress map[model.HostID]Progress
}

// allowance returns the number of concurrent attempts that the target can take at a ramp level.
func (t Target) allowance(level int) int {
	return min(t.Slots, max(1, t.ColdSlots)<<min(level, 16))
}

// Allowance returns the quota owner's limit on the attempts that all hosts together may have in flight at a target
// that is not warm. It is 0 until the attempts sent before the target was known to be cold have ended.
func (s *State) Allowance(now time.Duration, target model.TargetID) int {
	r := s.targets[target]
	if r == nil || r.current.Warm || now-r.changedAt < SettleTime {
		return 0
	}
	return r.target.allowance(r.ramp.level)
}

// ApplyProgress processes the report of a host. Only the quota owner calls it, also for its own progress. If ok, the
// report has made the target warm, and the caller must broadcast the statement.
func (s *State) ApplyProgress(now time.Duration, host model.HostID, progress Progress) (statement Statement, ok bool) {
	// The report implies that the target is cold in this epoch, which this host may not know yet.
	s.Apply(now, Statement{progress.Target, progress.Incarnation, progress.Epoch, false})
	r := s.targets[progress.Target]
	if r == nil || r.current != (Statement{progress.Target, progress.Incarnation, progress.Epoch, false}) {
		return Statement{}, false
	}
	if r.ramp.progress == nil {
		r.ramp.progress = map[model.HostID]Progress{}
	}
	last := r.ramp.progress[host]
	if progress.Successes < last.Successes || progress.Signs < last.Signs {
		return Statement{}, false
	}
	r.ramp.progress[host] = progress
	return r.advanceRamp(now, progress.Successes-last.Successes, progress.Signs > last.Signs)
}

// advanceRamp processes new successes and signs. It raises the allowance by at most one level, because the successes
// were achieved at the current one.
func (r *targetRecord) advanceRamp(now time.Duration, successes uint64, sign bool) (Statement, bool) {
	if sign {
		r.ramp.successes = 0
		return Statement{}, false
	}
	r.ramp.successes += successes
	if r.reportsCold(now) {
		return Statement{}, false
	}
	full := r.target.allowance(r.ramp.level) >= r.target.Slots
	switch {
	case full && r.ramp.successes >= successesToWarm:
		r.setStatement(now, Statement{r.target.ID, r.current.Incarnation, r.current.Epoch + 1, true})
		return r.current, true
	case !full && r.ramp.successes >= successesPerDoubling:
		r.ramp.level++
		r.ramp.successes = 0
	}
	return Statement{}, false
}

// maxReportAge is the age from which a target's report that it is cold is ignored: two polling intervals.
const maxReportAge = 500 * time.Millisecond

// reportsCold reports whether the target itself currently says that it is cold. A target that asks for little load gets
// little. In contrast, a report that a target is ready proves nothing.
func (r *targetRecord) reportsCold(now time.Duration) bool {
	return r.reportedColdAt > 0 && now-r.reportedColdAt < maxReportAge
}
