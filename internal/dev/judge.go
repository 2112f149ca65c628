package dev

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/corpus"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
)

// seen is one attempt in the records of a target stand-in.
type seen struct {
	target model.Target
	target.Record
}

// judge compares what callers saw with the records of the stand-ins and with the documents that they hold.
type judge struct {
	env       *Environment
	documents map[documentsKey][]corpus.Document
	attempts  map[string][]seen // by marker
	all       []seen
}

type documentsKey struct {
	index   model.IndexID
	version model.Version
}

// newJudge reads the records of every target.
func newJudge(e *Environment) *judge {
	j := &judge{env: e, documents: map[documentsKey][]corpus.Document{}, attempts: map[string][]seen{}}
	for _, described := range e.Catalogue.Targets {
		for _, record := range e.Targets[described.ID].Records() {
			attempt := seen{target: described, Record: record}
			j.all = append(j.all, attempt)
			var query searchQuery
			if json.Unmarshal([]byte(record.Payload), &query) == nil && query.Marker != "" {
				j.attempts[query.Marker] = append(j.attempts[query.Marker], attempt)
			}
		}
	}
	return j
}

// check returns an error if an answer is not what the documents of its snapshot give for the shards that it covers, or
// if the targets' records do not show a completed attempt for each of these shards.
func (j *judge) check(o outcome) error {
	coverage := o.reply.Coverage
	missing := map[model.IndexID][]model.KeyRange{}
	for _, part := range coverage.Missing {
		missing[part.Index] = append(missing[part.Index], part.KeyRange)
	}
	if coverage.Total-coverage.Answered != len(coverage.Missing) {
		return fmt.Errorf("%s: %d of %d shards answered, but %d are listed as missing",
			o.marker, coverage.Answered, coverage.Total, len(coverage.Missing))
	}
	if expected := j.expected(o, missing); !equalHits(expected, o.reply.Hits) {
		return fmt.Errorf("%s: search %s at %s gave other hits than its snapshot holds", o.marker, o.search, o.host.Settings.HostID)
	}
	ran := map[string]bool{}
	for _, attempt := range j.attempts[o.marker] {
		if attempt.Ran {
			ran[j.group(attempt.target.ID)] = true
		}
	}
	if len(ran) < coverage.Answered {
		return fmt.Errorf("%s: %d shards are said to have answered, but the targets of %d ran an attempt", o.marker, coverage.Answered, len(ran))
	}
	return nil
}

// expected returns the hits of the answer's snapshot without the missing ranges.
func (j *judge) expected(o outcome, missing map[model.IndexID][]model.KeyRange) []model.Hit {
	var hits []model.Hit
	for index, version := range o.reply.Versions {
		for _, hit := range corpus.Search(j.load(index, version), model.KeyRange{High: model.KeySpace}, queryText, corpus.Size) {
			if !j.isMissing(index, version, hit.ID, missing[index]) {
				hits = append(hits, hit)
			}
		}
	}
	slices.SortFunc(hits, corpus.Compare)
	return hits[:min(queryLimit, len(hits))]
}

func (j *judge) isMissing(index model.IndexID, version model.Version, id string, ranges []model.KeyRange) bool {
	if len(ranges) == 0 {
		return false
	}
	documents := j.load(index, version)
	at := slices.IndexFunc(documents, func(d corpus.Document) bool { return d.ID == id })
	return slices.ContainsFunc(ranges, func(r model.KeyRange) bool {
		return documents[at].Key >= r.Low && documents[at].Key < r.High
	})
}

func (j *judge) load(index model.IndexID, version model.Version) []corpus.Document {
	key := documentsKey{index, version}
	if _, ok := j.documents[key]; !ok {
		j.documents[key] = corpus.Documents(index, version)
	}
	return j.documents[key]
}

func equalHits(a, b []model.Hit) bool {
	return slices.EqualFunc(a, b, func(x, y model.Hit) bool { return reflect.DeepEqual(x, y) })
}

// group returns the index and group of a target, which together hold one shard.
func (j *judge) group(id model.TargetID) string {
	for _, index := range j.env.Catalogue.Indexes {
		for _, group := range index.Groups {
			if slices.Contains(group.Targets, id) {
				return string(index.ID) + "/" + group.ID
			}
		}
	}
	return ""
}

// workIn returns the attempts that began at targets of a data centre between two times.
func (j *judge) workIn(centre model.DataCentreID, from, to time.Time) []seen {
	var found []seen
	for _, attempt := range j.all {
		if attempt.target.DataCentre == centre && attempt.Start.After(from) && attempt.Start.Before(to) {
			found = append(found, attempt)
		}
	}
	return found
}
