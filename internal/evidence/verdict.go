package evidence

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// crashLimit is the weight of the crashes from which a request is refused.
	crashLimit = 3
	// oneTargetLimit is that weight if all crashes are of one target, which may crash regardless of what it is sent. It lies two
	// above crashLimit: a request may reach targets three times more after the third crash. Only crashes count then under which
	// no other request has as many: the requests to a target that is the only one of its service share most of its ends.
	oneTargetLimit = 5
	// coincidence is the span within which cut attempts together weigh at most maxCoincident. Targets that end together, with a
	// rack or a switch, end under every request that was sent to them all. Silent ends are known seconds later, when such a
	// request has been answered elsewhere.
	coincidence   = 300 * time.Millisecond
	maxCoincident = 2
	// firstSlack is how much later than the first request without an answer the one may have been sent that ended an instance: about the
	// longest time that the former is queued and runs. What is sent later than that meets an instance that has already ended.
	firstSlack = 500 * time.Millisecond
	// settleTime is how long a silent end awaits the news of other hosts: one of them may have sent another request to the instance before,
	// or know an answer. A host learns of an end with the next pull from a relay, 250 ms later at most, and tells the others at once.
	settleTime = 500 * time.Millisecond
	// settledAge is the age from which a crash that becomes known awaits nothing. What others sent there before is known by then: silent
	// targets are found by probes, in the order in which the attempts were sent. So every host refuses a request before its runs count as
	// too late (4 s after the third crash on all sites).
	settledAge = 2900 * time.Millisecond
	// firstQuarantine is how long a request is refused after the last crash. It doubles with each further crash, up to
	// firstQuarantine << maxDoublings.
	firstQuarantine = 2 * time.Minute
	maxDoublings    = 3
)

// Verdict determines how a request may run.
type Verdict uint8

const (
	// Unsuspected means that no unrefuted crash is known.
	Unsuspected Verdict = iota
	// Suspect means that targets ended under the request. It may run at one target at a time until one answers.
	Suspect
	// Quarantined means that the request must not reach any target.
	Quarantined
)

// Judgement is a verdict with the inputs that led to it.
type Judgement struct {
	Verdict Verdict
	// Crashes is the number of instances known to have ended under the request.
	Crashes int
	// Left is the time until the quarantine ends.
	Left time.Duration
}

// Judge returns the verdict on a request.
func (l *Log) Judge(now time.Duration, fingerprint uint64) Judgement {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.requests[fingerprint]
	crashes := h.countCrashes()
	if crashes == 0 {
		return Judgement{}
	}
	j := Judgement{Verdict: Suspect, Crashes: crashes}
	w := l.weigh(now, h)
	limit := crashLimit
	if w.targets < 2 {
		limit = oneTargetLimit
	}
	if w.total() < limit || w.cuts+w.settled < limit-1 {
		return j
	}
	if until := w.latest + firstQuarantine<<min(w.total()-limit, maxDoublings); now < until {
		j.Verdict, j.Left = Quarantined, until-now
	}
	return j
}

// isSettled reports whether the other hosts have had time to tell what they know of a crash.
func (r *record) isSettled(now time.Duration) bool {
	return now-r.known >= settleTime || r.known-r.at >= settledAge
}

// IsSuspect reports whether an unrefuted crash of the request is known.
func (l *Log) IsSuspect(fingerprint uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[fingerprint].countCrashes() > 0
}

// isRefuted reports whether a crash does not count against the request, because it was answered after it. A silent one does not
// count if the request was answered before, either: it may have been sent after the end of the target, and popular requests are
// sent to all targets that fall silent.
func (h *history) isRefuted(crash *record) bool {
	return h.answered != nil && (crash.fact.Silent || crash.at <= h.answered.at)
}

// countCrashes returns the number of crashes that are not refuted. h may be nil.
func (h *history) countCrashes() int {
	if h == nil {
		return 0
	}
	count := 0
	for _, r := range h.crashes {
		if !h.isRefuted(r) {
			count++
		}
	}
	return count
}

// weight is the weight of the crashes that count against a request.
type weight struct {
	// cuts is the weight of the crashes that cut attempts, silent that of the others, and settled that of the silent ones of which the
	// other hosts have had time to tell what they know.
	cuts, silent, settled int
	// targets is the number of their targets.
	targets int
	// latest is the time of the latest crash.
	latest time.Duration
}

func (w *weight) total() int { return w.cuts + w.silent }

// weigh returns the weight of the crashes that count against a request.
func (l *Log) weigh(now time.Duration, h *history) weight {
	l.rank()
	oneTarget, end := isOneTarget(h), h.latestCrash()+firstSlack
	w := weight{latest: math.MinInt64}
	var cuts []time.Duration
	seen := map[model.TargetID]bool{}
	for instance, r := range h.crashes {
		if h.isRefuted(r) || l.isExplained(r, h, oneTarget, end) {
			continue
		}
		seen[instance.Target] = true
		w.latest = max(w.latest, r.at)
		if r.fact.Silent {
			w.silent++
			if r.isSettled(now) {
				w.settled++
			}
		} else {
			cuts = append(cuts, r.at)
		}
	}
	w.cuts, w.targets = weighCuts(cuts), len(seen)
	return w
}

// weighCuts returns the weight of crashes that cut attempts which were sent at the given times.
func weighCuts(times []time.Duration) int {
	slices.Sort(times)
	weight := 0
	for i := 0; i < len(times); {
		first, count := times[i], 0
		for ; i < len(times) && times[i]-first <= coincidence; i++ {
			count++
		}
		weight += min(count, maxCoincident)
	}
	return weight
}

// latestCrash returns the time of the latest crash.
func (h *history) latestCrash() time.Duration {
	latest := time.Duration(math.MinInt64)
	for _, r := range h.crashes {
		latest = max(latest, r.at)
	}
	return latest
}

// isExplained reports whether a crash counts against another request that was at the instance. That is the one with more first
// places than h; one with as many, if it was sent there long before h or if all crashes of h are of one
// target. Requests that only share targets with the one that crashes them are spared by this, also those that meet targets which have
// gone silent, however popular they are. What happened after end, the time of the latest crash of h, does not matter: a request
// that is refused has no further crashes, while others go on.
func (l *Log) isExplained(crash *record, h *history, oneTarget bool, end time.Duration) bool {
	own := len(h.firsts)
	for fingerprint, earlier := range l.witnesses[crash.fact.Instance] {
		other := l.requests[fingerprint]
		if other == h {
			continue
		}
		switch firsts := other.firstsUntil(end); {
		case firsts > own:
			return true
		case firsts == own && (oneTarget || earlier.at+firstSlack < crash.at):
			return true
		}
	}
	return false
}

// firstsUntil returns the number of first places up to a time.
func (h *history) firstsUntil(at time.Duration) int {
	count, _ := slices.BinarySearch(h.firsts, at+1)
	return count
}

// rank determines the first places of all requests: the instances that ended without an answer to a request which was sent there
// before all others, or soon after the first of them. A crash that an answer refutes is no first place.
func (l *Log) rank() {
	if l.isRanked {
		return
	}
	l.isRanked = true
	for _, h := range l.requests {
		h.firsts = nil
	}
	for _, crashes := range l.witnesses {
		first := time.Duration(math.MaxInt64)
		for _, r := range crashes {
			first = min(first, r.at)
		}
		for fingerprint, r := range crashes {
			h := l.requests[fingerprint]
			if r.at <= first+firstSlack && !h.isRefuted(r) {
				h.firsts = append(h.firsts, r.at)
			}
		}
	}
	for _, h := range l.requests {
		slices.Sort(h.firsts)
	}
}

// isOneTarget reports whether all crashes of a request are of one target.
func isOneTarget(h *history) bool {
	var first model.TargetID
	for instance := range h.crashes {
		if first == "" {
			first = instance.Target
		}
		if instance.Target != first {
			return false
		}
	}
	return true
}

// Summary describes a log for state dumps.
type Summary struct {
	Facts, Suspects, Quarantined int
}

// Summary returns a summary of the log.
func (l *Log) Summary(now time.Duration) Summary {
	l.mu.Lock()
	s := Summary{Facts: len(l.records)}
	var suspects []uint64
	for fingerprint, h := range l.requests {
		if h.countCrashes() > 0 {
			suspects = append(suspects, fingerprint)
		}
	}
	l.mu.Unlock()
	s.Suspects = len(suspects)
	for _, fingerprint := range suspects {
		if l.Judge(now, fingerprint).Verdict == Quarantined {
			s.Quarantined++
		}
	}
	return s
}
