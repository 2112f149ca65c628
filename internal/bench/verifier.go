package bench

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/coverage"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/merge"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/corpus"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
)

const (
	// drainTimeout is the time after which a data centre that was taken out must not receive new work.
	drainTimeout = 3 * time.Second
	// burstFraction is the part of a caller's rate per second that it may send in one burst.
	burstFraction = 0.1
	// limitWindow is the sliding window over which the rate of a caller is checked.
	limitWindow = time.Second
)

// verifier checks the answers that callers received against the attempts that the target stand-ins recorded.
type verifier struct {
	env        *environment
	requests   []*request
	records    map[model.TargetID][]target.Record
	ran        map[string]int                    // executed attempts, by request ID
	parts      map[string]map[coverage.Part]bool // executed parts, by request ID
	violations map[string]int
}

var violationNames = []string{
	"mixed_snapshot", "false_coverage", "cold_overload", "work_to_out_datacentre", "work_to_leaving_target",
	"wrong_or_cut_answer", "not_run_but_ran", "ran_twice", "cut_by_stop", "config_reverted", "caller_over_limit",
}

func newVerifier(env *environment, requests []*request) *verifier {
	v := &verifier{
		env:        env,
		requests:   requests,
		records:    map[model.TargetID][]target.Record{},
		ran:        map[string]int{},
		parts:      map[string]map[coverage.Part]bool{},
		violations: map[string]int{},
	}
	for _, name := range violationNames {
		v.violations[name] = 0
	}
	for id, t := range env.targets {
		v.records[id] = t.Records()
		for _, r := range v.records[id] {
			v.addRecord(r)
		}
	}
	return v
}

// addRecord adds the part that the record shows as executed to its request.
func (v *verifier) addRecord(r target.Record) {
	var q query
	if !r.Ran || json.Unmarshal([]byte(r.Payload), &q) != nil || q.ID == "" {
		return
	}
	v.ran[q.ID]++
	if v.parts[q.ID] == nil {
		v.parts[q.ID] = map[coverage.Part]bool{}
	}
	v.parts[q.ID][coverage.Part{Index: r.Index, Shard: model.Shard{ID: r.Shard}}] = true
}

// run returns the number of violations of each kind.
func (v *verifier) run() map[string]int {
	for _, r := range v.requests {
		v.checkRefusal(r)
		if !r.isSearch && v.ran[r.id] > 1 {
			v.violations["ran_twice"]++
		}
		if r.answer.reply != nil {
			v.checkAnswer(r)
		}
	}
	v.checkTargets()
	v.checkLimits()
	return v.violations
}

func (v *verifier) checkRefusal(r *request) {
	err := r.answer.err
	if err != nil && err.Execution == fault.NotRun && v.ran[r.id] > 0 {
		v.violations["not_run_but_ran"]++
	}
}

// checkAnswer compares an answer with the hits recomputed from the versions and coverage that it reports.
func (v *verifier) checkAnswer(r *request) {
	reply := r.answer.reply
	for _, hit := range reply.Hits {
		if hit.Fields["version"] != versionText(reply.Versions[hit.Index]) {
			v.violations["mixed_snapshot"]++
			return
		}
	}
	covered, ok := v.coveredParts(r)
	if !ok {
		v.violations["false_coverage"]++
		return
	}
	var lists [][]model.Hit
	for _, part := range covered {
		documents := corpus.Documents(part.Index, reply.Versions[part.Index])
		lists = append(lists, corpus.Search(documents, part.KeyRange, "hub", r.limit))
	}
	want := merge.Top(lists, r.limit)
	same := slices.EqualFunc(want, reply.Hits, func(a, b model.Hit) bool { return a.ID == b.ID && a.Score == b.Score })
	if !same {
		v.violations["wrong_or_cut_answer"]++
	}
}

// coveredParts returns the parts that the answer reports as covered. The second result is false if a part was not
// executed or the counts in the answer do not match. The records cannot confirm parts for the poison caller, whose
// queries carry no ID.
func (v *verifier) coveredParts(r *request) ([]coverage.Part, bool) {
	reply := r.answer.reply
	var covered []coverage.Part
	total := 0
	for _, index := range v.indexes(r.search) {
		for _, shard := range corpus.EvenShardMap(len(index.Groups)) {
			total++
			part := coverage.Part{Index: index.ID, Shard: shard}
			if slices.Contains(reply.Coverage.Missing, part) {
				continue
			}
			covered = append(covered, part)
			recorded := coverage.Part{Index: index.ID, Shard: model.Shard{ID: shard.ID}}
			if !v.parts[r.id][recorded] && r.caller != callerPoison {
				return nil, false
			}
		}
	}
	return covered, total == reply.Coverage.Total && len(covered) == reply.Coverage.Answered
}

func (v *verifier) indexes(search model.SearchID) []model.Index {
	var result []model.Index
	for _, s := range v.env.catalogue.Searches {
		if s.ID != search {
			continue
		}
		for _, index := range v.env.catalogue.Indexes {
			if slices.Contains(s.Indexes, index.ID) {
				result = append(result, index)
			}
		}
	}
	return result
}

// checkTargets counts attempts beyond the slots of cold targets and attempts in a data centre that is out.
func (v *verifier) checkTargets() {
	out := outDataCentre(v.env.catalogue)
	for _, t := range v.env.catalogue.Targets {
		for _, r := range v.records[t.ID] {
			if r.State == model.TargetCold && r.InFlight > t.ColdSlots {
				v.violations["cold_overload"]++
			}
			if t.DataCentre == out && v.isDataCentreOut(r.Start) {
				v.violations["work_to_out_datacentre"]++
			}
		}
	}
}

func (v *verifier) isDataCentreOut(at time.Time) bool {
	if v.env.outAt.IsZero() || at.Before(v.env.outAt.Add(drainTimeout)) {
		return false
	}
	return v.env.backAt.IsZero() || at.Before(v.env.backAt)
}

// checkLimits counts the executed requests that exceed their caller's rate in the window that ends with them.
func (v *verifier) checkLimits() {
	rates := map[model.CallerID]float64{}
	for _, c := range v.env.catalogue.Callers {
		rates[c.ID] = c.Rate
	}
	recent := map[model.CallerID][]time.Time{}
	for _, r := range v.requests {
		if v.ran[r.id] == 0 {
			continue
		}
		times := append(recent[r.caller], r.sent)
		for len(times) > 0 && r.sent.Sub(times[0]) > limitWindow {
			times = times[1:]
		}
		recent[r.caller] = times
		if float64(len(times)) > rates[r.caller]*(limitWindow.Seconds()+burstFraction)+1 {
			v.violations["caller_over_limit"]++
		}
	}
}
