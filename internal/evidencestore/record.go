package evidencestore

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// keyPrefix is the prefix of the records' keys. The fingerprint of the request follows, in hexadecimal.
	keyPrefix = "crashes/"
	// maxCrashes bounds the crashes in a record.
	maxCrashes = 32
	// maxAge bounds the age of a crash in a record. Older ones are no longer evidence.
	maxAge = time.Hour
)

// record is the content of a key.
type record struct {
	Host    model.HostID  `json:"host"`
	Crashes []crashRecord `json:"crashes"`
}

// crashRecord is one instance that ended. AgeMS is the time from the end to the writing of the record; a reader counts it from
// the reading, because the clocks of hosts differ. A host that starts later therefore refuses the request for longer, by the
// lifetime of the record at most.
type crashRecord struct {
	Target      model.TargetID    `json:"target"`
	Incarnation model.Incarnation `json:"incarnation"`
	AgeMS       int64             `json:"age_ms"`
	// Silent is that of evidence.Fact.
	Silent bool `json:"silent,omitempty"`
}

func fingerprintText(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

func fingerprintField(fingerprint uint64) zap.Field {
	return zap.String("fingerprint", fingerprintText(fingerprint))
}

func keyOf(fingerprint uint64) string { return keyPrefix + fingerprintText(fingerprint) }

// fingerprintOf returns the fingerprint in a key, and false for a key of another kind.
func fingerprintOf(key string) (uint64, bool) {
	text, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return 0, false
	}
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	return fingerprint, err == nil
}

// encode returns a record of the crashes, which are sorted from the latest to the earliest.
func encode(host model.HostID, crashes []evidence.Fact) ([]byte, error) {
	r := record{Host: host, Crashes: []crashRecord{}}
	for _, f := range crashes[:min(len(crashes), maxCrashes)] {
		r.Crashes = append(r.Crashes, crashRecord{
			Target: f.Instance.Target, Incarnation: f.Instance.Incarnation, AgeMS: f.Age.Milliseconds(), Silent: f.Silent,
		})
	}
	return json.Marshal(r)
}

// decode returns the host that wrote a record, and its crashes.
func decode(fingerprint uint64, value []byte) (model.HostID, []evidence.Fact, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return "", nil, fmt.Errorf("record of crashes: %w", err)
	}
	var facts []evidence.Fact
	for _, c := range r.Crashes[:min(len(r.Crashes), maxCrashes)] {
		if c.Target == "" || c.AgeMS < 0 || c.AgeMS > maxAge.Milliseconds() {
			return "", nil, fmt.Errorf("record of crashes: target %q with an age of %d ms", c.Target, c.AgeMS)
		}
		facts = append(facts, evidence.Fact{
			Kind: evidence.Crashed, Fingerprint: fingerprint, Silent: c.Silent,
			Instance: evidence.Instance{Target: c.Target, Incarnation: c.Incarnation},
			Age:      time.Duration(c.AgeMS) * time.Millisecond,
		})
	}
	return r.Host, facts, nil
}
