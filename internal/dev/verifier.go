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

// recordedAttempt is an attempt that a target stand-in has recorded.
type recordedAttempt struct {
	target model.Target
	target.Record
}

// verifier checks answers against the attempts that the target stand-ins recorded and the documents that they hold.
type verifier struct {
	env       *Environment
	documents map[documentsKey][]corpus.Document
	attempts  map[string][]recordedAttempt // by marker
	all       []recordedAttempt
}

type documentsKey struct {
	index   model.IndexID
	version model.Version
}

// newVerifier reads the records of every target.
func newVerifier(e *Environment) *verifier {
	v := &verifier{env: e, documents: map[documentsKey][]corpus.Document{}, attempts: map[string][]recordedAttempt{}}
	for _, described := range e.Catalogue.Targets {
		for _, record := range e.Targets[described.ID].Records() {
			attempt := recordedAttempt{target: described, Record: record}
			v.all = append(v.all, attempt)
			var query searchQuery
			if json.Unmarshal([]byte(record.Payload), &query) == nil && query.Marker != "" {
				v.attempts[query.Marker] = append(v.attempts[query.Marker], attempt)
			}
		}
	}
	return v
}

// check returns an error if the hits of an answer differ from those in its snapshot for the shards that it covers, or if
// the targets' records do not show an executed attempt for each of these shards.
func (v *verifier) check(o outcome) error {
	coverage := o.reply.Coverage
	missing := map[model.IndexID][]model.KeyRange{}
	for _, part := range coverage.Missing {
		missing[part.Index] = append(missing[part.Index], part.KeyRange)
	}
	if coverage.Total-coverage.Answered != len(coverage.Missing) {
		return fmt.Errorf("%s: %d of %d shards answered, but %d are listed as missing",
			o.marker, coverage.Answered, coverage.Total, len(coverage.Missing))
	}
	if expected := v.expected(o, missing); !equalHits(expected, o.reply.Hits) {
		return fmt.Errorf("%s: search %s at %s gave other hits than its snapshot holds", o.marker, o.search, o.host.Settings.HostID)
	}
	ran := map[string]bool{}
	for _, attempt := range v.attempts[o.marker] {
		if attempt.Ran {
			ran[v.group(attempt.target.ID)] = true
		}
	}
	if len(ran) < coverage.Answered {
		return fmt.Errorf("%s: %d shards are said to have answered, but the targets of %d ran an attempt", o.marker, coverage.Answered, len(ran))
	}
	return nil
}

// expected returns the best hits of the answer's snapshot outside the missing key ranges.
func (v *verifier) expected(o outcome, missing map[model.IndexID][]model.KeyRange) []model.Hit {
	var hits []model.Hit
	for index, version := range o.reply.Versions {
		for _, hit := range corpus.Search(v.documentsOf(index, version), model.KeyRange{High: model.KeySpace}, queryText, corpus.Size) {
			if !v.isMissing(index, version, hit.ID, missing[index]) {
				hits = append(hits, hit)
			}
		}
	}
	slices.SortFunc(hits, corpus.Compare)
	return hits[:min(queryLimit, len(hits))]
}

func (v *verifier) isMissing(index model.IndexID, version model.Version, id string, ranges []model.KeyRange) bool {
	if len(ranges) == 0 {
		return false
	}
	documents := v.documentsOf(index, version)
	at := slices.IndexFunc(documents, func(d corpus.Document) bool { return d.ID == id })
	return slices.ContainsFunc(ranges, func(r model.KeyRange) bool {
		return documents[at].Key >= r.Low && documents[at].Key < r.High
	})
}

func (v *verifier) documentsOf(index model.IndexID, version model.Version) []corpus.Document {
	key := documentsKey{index, version}
	if _, ok := v.documents[key]; !ok {
		v.documents[key] = corpus.Documents(index, version)
	}
	return v.documents[key]
}

func equalHits(a, b []model.Hit) bool {
	return slices.EqualFunc(a, b, func(x, y model.Hit) bool { return reflect.DeepEqual(x, y) })
}

// group returns the index and group of a target as "index/group". Each group holds one shard.
func (v *verifier) group(id model.TargetID) string {
	for _, index := range v.env.Catalogue.Indexes {
		for _, group := range index.Groups {
			if slices.Contains(group.Targets, id) {
				return string(index.ID) + "/" + group.ID
			}
		}
	}
	return ""
}

// attemptsIn returns the attempts that began at targets of a data centre between two times.
func (v *verifier) attemptsIn(centre model.DataCentreID, from, to time.Time) []recordedAttempt {
	var found []recordedAttempt
	for _, attempt := range v.all {
		if attempt.target.DataCentre == centre && attempt.Start.After(from) && attempt.Start.Before(to) {
			found = append(found, attempt)
		}
	}
	return found
}
