// Package logexplain explains, from host logs alone, why a request failed, was late or was answered partially.
package logexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

const (
	// evidenceWindow is the time before and after a request in which other lines may be evidence.
	evidenceWindow = 5 * time.Second
	// maxEvidence limits the lines of evidence. The lines closest in time are kept.
	maxEvidence = 24
	// maxLineBytes limits the length of a log line.
	maxLineBytes = 1 << 20
)

// Attempt is a logged attempt of a request. Times are in milliseconds since the request arrived.
type Attempt struct {
	Service    string   `json:"service"`
	Target     string   `json:"target"`
	Kind       string   `json:"kind"`
	EstimateMS float64  `json:"estimate_ms"`
	SentMS     float64  `json:"sent_ms"`
	EndedMS    *float64 `json:"ended_ms"`
	Failure    string   `json:"failure"`
	Cause      string   `json:"cause"`
}

// Line is a log line. Fields missing from the line are zero.
type Line struct {
	Time    time.Time `json:"ts"`
	Message string    `json:"msg"`
	Host    string    `json:"host"`
	ID      string    `json:"id"`
	Target  string    `json:"target"`
	// Fingerprint identifies the content of a request whose attempts got no answer.
	Fingerprint string `json:"fingerprint"`
	Error       string `json:"error"`

	Kind          fault.Kind      `json:"kind"`
	Execution     fault.Execution `json:"execution"`
	Reason        string          `json:"reason"`
	Answered      int             `json:"answered"`
	Shards        int             `json:"shards"`
	AllowedMS     float64         `json:"allowed_ms"`
	TookMS        float64         `json:"took_ms"`
	WithoutBudget int             `json:"without_budget"`
	Attempts      []Attempt       `json:"attempts"`

	// Raw is the complete line.
	Raw json.RawMessage `json:"-"`
}

// Explanation is what the logs say about one request.
type Explanation struct {
	// Causes holds sentences about the outcome, followed by what led to it.
	Causes []string `json:"causes"`
	// Lines holds the log lines of the request. Evidence holds lines of the same period about its hosts or targets.
	Lines    []json.RawMessage `json:"lines"`
	Evidence []json.RawMessage `json:"evidence"`
}

// Explain searches the logs for the request with the given ID and explains it. It returns false if no line has the ID.
// Errors are those of the readers.
func Explain(logs []io.ReadSeeker, id string) (Explanation, bool, error) {
	var named []Line
	err := scan(logs, func(line Line) {
		if line.ID == id {
			named = append(named, line)
		}
	}, []byte(id))
	if err != nil || len(named) == 0 {
		return Explanation{}, false, err
	}
	slices.SortFunc(named, func(a, b Line) int { return a.Time.Compare(b.Time) })
	scope := scopeOf(named)
	var evidence []Line
	err = scan(logs, func(line Line) {
		if line.ID != id && scope.includes(&line) {
			evidence = append(evidence, line)
		}
	}, nil)
	if err != nil {
		return Explanation{}, false, err
	}
	explanation := Explanation{Evidence: rawLines(scope.nearest(evidence)), Lines: rawLines(named)}
	for i := range named {
		explanation.Causes = append(explanation.Causes, lineCauses(&named[i])...)
	}
	return explanation, true, nil
}

// scan calls visit for each line that contains text. Lines that are not JSON come from other sources and are skipped.
func scan(logs []io.ReadSeeker, visit func(Line), text []byte) error {
	for _, log := range logs {
		if _, err := log.Seek(0, io.SeekStart); err != nil {
			return err
		}
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			content := scanner.Bytes()
			start := bytes.IndexByte(content, '{')
			if start < 0 || !bytes.Contains(content, text) {
				continue
			}
			line := Line{Raw: slices.Clone(content[start:])}
			if json.Unmarshal(line.Raw, &line) == nil {
				visit(line)
			}
		}
		if err := scanner.Err(); err != nil {
			return err
		}
	}
	return nil
}

func rawLines(lines []Line) []json.RawMessage {
	all := make([]json.RawMessage, 0, len(lines))
	for _, line := range lines {
		all = append(all, line.Raw)
	}
	return all
}
