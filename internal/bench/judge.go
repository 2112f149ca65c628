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
	// leaveBound is the time after which a data centre or target that is out gets no new work.
	leaveBound = 3 * time.Second
	// burstWindow is the share of a second's grant that a caller may use at once.
	burstWindow = 0.1
	limitWindow = time.Second
)

// judge compares what callers were told with what the targets' records show.
type judge struct {
	world      *world
	requests   []*request
	records    map[model.TargetID][]target.Record
	ran        map[string]int
	parts      map[string]map[coverage.Part]bool
	violations map[string]int
}

var violationNames = []string{
	"mixed_snapshot", "false_coverage", "cold_overload", "work_to_out_datacentre", "work_to_leaving_target",
	"wrong_or_cut_answer", "not_run_but_ran", "ran_twice", "cut_by_stop", "config_reverted", "caller_over_limit",
}

func newJudge(w *world, requests []*request) *judge {
	j := &judge{
		world:      w,
		requests:   requests,
		records:    map[model.TargetID][]target.Record{},
		ran:        map[string]int{},
		parts:      map[string]map[coverage.Part]bool{},
		violations: map[string]int{},
	}
	for _, name := range violationNames {
		j.violations[name] = 0
	}
	for id, t := range w.targets {
		j.records[id] = t.Records()
		for _, r := range j.records[id] {
			j.index(r)
		}
	}
	return j
}

// index notes which parts of which request a record shows as run.
func (j *judge) index(r target.Record) {
	var q query
	if !r.Ran || json.Unmarshal([]byte(r.Payload), &q) != nil || q.ID == "" {
		return
	}
	j.ran[q.ID]++
	if j.parts[q.ID] == nil {
		j.parts[q.ID] = map[coverage.Part]bool{}
	}
	j.parts[q.ID][coverage.Part{Index: r.Index, Shard: model.Shard{ID: r.Shard}}] = true
}

// run counts every violation.
func (j *judge) run() map[string]int {
	for _, r := range j.requests {
		j.checkRefusal(r)
		if !r.isSearch && j.ran[r.id] > 1 {
			j.violations["ran_twice"]++
		}
		if r.answer.reply != nil {
			j.checkAnswer(r)
		}
	}
	j.checkTargets()
	j.checkLimits()
	return j.violations
}

func (j *judge) checkRefusal(r *request) {
	err := r.answer.err
	if err != nil && err.Execution == fault.NotRun && j.ran[r.id] > 0 {
		j.violations["not_run_but_ran"]++
	}
}

// checkAnswer recomputes the answer from the claimed versions and coverage.
func (j *judge) checkAnswer(r *request) {
	reply := r.answer.reply
	for _, hit := range reply.Hits {
		if hit.Fields["version"] != versionText(reply.Versions[hit.Index]) {
			j.violations["mixed_snapshot"]++
			return
		}
	}
	covered, ok := j.coveredParts(r)
	if !ok {
		j.violations["false_coverage"]++
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
		j.violations["wrong_or_cut_answer"]++
	}
}

// coveredParts returns the parts that the answer claims, and whether the records and the figures bear the claim out.
func (j *judge) coveredParts(r *request) ([]coverage.Part, bool) {
	reply := r.answer.reply
	var covered []coverage.Part
	total := 0
	for _, index := range j.indexes(r.search) {
		for _, shard := range corpus.EvenShardMap(len(index.Groups)) {
			total++
			part := coverage.Part{Index: index.ID, Shard: shard}
			if slices.Contains(reply.Coverage.Missing, part) {
				continue
			}
			covered = append(covered, part)
			asked := coverage.Part{Index: index.ID, Shard: model.Shard{ID: shard.ID}}
			if !j.parts[r.id][asked] && r.caller != callerPoison {
				return nil, false
			}
		}
	}
	return covered, total == reply.Coverage.Total && len(covered) == reply.Coverage.Answered
}

func (j *judge) indexes(search model.SearchID) []model.Index {
	var result []model.Index
	for _, s := range j.world.catalogue.Searches {
		if s.ID != search {
			continue
		}
		for _, index := range j.world.catalogue.Indexes {
			if slices.Contains(s.Indexes, index.ID) {
				result = append(result, index)
			}
		}
	}
	return result
}

// checkTargets looks for work that targets should not have got.
func (j *judge) checkTargets() {
	out := outCentre(j.world.catalogue)
	for _, t := range j.world.catalogue.Targets {
		for _, r := range j.records[t.ID] {
			if r.State == model.TargetCold && r.InFlight > t.ColdSlots {
				j.violations["cold_overload"]++
			}
			if t.DataCentre == out && j.isWhileOut(r.Start) {
				j.violations["work_to_out_datacentre"]++
			}
		}
	}
}

func (j *judge) isWhileOut(at time.Time) bool {
	if j.world.outAt.IsZero() || at.Before(j.world.outAt.Add(leaveBound)) {
		return false
	}
	return j.world.backAt.IsZero() || at.Before(j.world.backAt)
}

// checkLimits counts the requests over each caller's rate in any window.
func (j *judge) checkLimits() {
	grants := map[model.CallerID]float64{}
	for _, c := range j.world.catalogue.Callers {
		grants[c.ID] = c.Rate
	}
	recent := map[model.CallerID][]time.Time{}
	for _, r := range j.requests {
		if j.ran[r.id] == 0 {
			continue
		}
		times := append(recent[r.caller], r.sent)
		for len(times) > 0 && r.sent.Sub(times[0]) > limitWindow {
			times = times[1:]
		}
		recent[r.caller] = times
		if float64(len(times)) > grants[r.caller]*(limitWindow.Seconds()+burstWindow)+1 {
			j.violations["caller_over_limit"]++
		}
	}
}
