package coldstart

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// ramp is the permit owner's account of a target that is not warm.
type ramp struct {
	// level is the number of doublings so far.
	level int
	// clean counts successes since the last doubling or sign.
	clean uint64
	hosts map[model.HostID]Progress
}

// allowance returns the number of attempts that the target bears at the ramp's level.
func (t Target) allowance(level int) int {
	return min(t.Slots, max(1, t.ColdSlots)<<min(level, 16))
}

// Allowance returns the number of attempts that all hosts together may have at a target that is not warm, as its permit
// owner sees it. It is 0 until the attempts sent before the target was known to be cold have ended.
func (s *State) Allowance(now time.Duration, target model.TargetID) int {
	r := s.targets[target]
	if r == nil || r.known.Warm || now-r.knownAt < SettleTime {
		return 0
	}
	return r.target.allowance(r.ramp.level)
}

// Progress takes a host's report; only the permit owner calls it, for its own progress too. When ok, the target has
// become warm by it and the statement is to be spread.
func (s *State) Progress(now time.Duration, host model.HostID, progress Progress) (statement Statement, ok bool) {
	// The host knows that the target is cold, so a newer epoch is news.
	s.Apply(now, Statement{progress.Target, progress.Incarnation, progress.Epoch, false})
	r := s.targets[progress.Target]
	if r == nil || r.known != (Statement{progress.Target, progress.Incarnation, progress.Epoch, false}) {
		return Statement{}, false
	}
	if r.ramp.hosts == nil {
		r.ramp.hosts = map[model.HostID]Progress{}
	}
	last := r.ramp.hosts[host]
	if progress.Successes < last.Successes || progress.Signs < last.Signs {
		return Statement{}, false
	}
	r.ramp.hosts[host] = progress
	return r.climb(now, progress.Successes-last.Successes, progress.Signs > last.Signs)
}

// climb raises the allowance one level at most: the successes were earned at the present one.
func (r *record) climb(now time.Duration, successes uint64, sign bool) (Statement, bool) {
	if sign {
		r.ramp.clean = 0
		return Statement{}, false
	}
	r.ramp.clean += successes
	if r.saysCold(now) {
		return Statement{}, false
	}
	full := r.target.allowance(r.ramp.level) >= r.target.Slots
	switch {
	case full && r.ramp.clean >= successesToWarm:
		r.set(now, Statement{r.target.ID, r.known.Incarnation, r.known.Epoch + 1, true})
		return r.known, true
	case !full && r.ramp.clean >= successesPerDoubling:
		r.ramp.level++
		r.ramp.clean = 0
	}
	return Statement{}, false
}

// reportAge is the age at which a report that a target is cold no longer counts: two polls.
const reportAge = 500 * time.Millisecond

// saysCold tells whether the target itself says that it is cold. A report that a target is ready proves nothing, but a
// target that asks for little load gets little.
func (r *record) saysCold(now time.Duration) bool {
	return r.saidCold > 0 && now-r.saidCold < reportAge
}
