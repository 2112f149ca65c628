// Package logexplain finds out from the logs of hosts alone why a request failed, was late or was answered in part.
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
	// evidenceSpan is the time around a request in which other lines may tell about its cause.
	evidenceSpan = 5 * time.Second
	// maxEvidence bounds the lines of evidence; the nearest in time are kept.
	maxEvidence = 24
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
)

// Attempt is one attempt of a request as a line tells it. Times are in milliseconds from the request's arrival.
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

// Line is one line of a log. Fields that the line does not have are zero.
type Line struct {
	Time    time.Time `json:"ts"`
	Message string    `json:"msg"`
	Host    string    `json:"host"`
	ID      string    `json:"id"`
	Target  string    `json:"target"`
	Error   string    `json:"error"`

	Kind          fault.Kind      `json:"kind"`
	Execution     fault.Execution `json:"execution"`
	Reason        string          `json:"reason"`
	Answered      int             `json:"answered"`
	Shards        int             `json:"shards"`
	AllowedMS     float64         `json:"allowed_ms"`
	TookMS        float64         `json:"took_ms"`
	WithoutBudget int             `json:"without_budget"`
	Attempts      []Attempt       `json:"attempts"`

	// Raw is the line itself.
	Raw json.RawMessage `json:"-"`
}

// Explanation tells what the logs say about one request.
type Explanation struct {
	// Causes are sentences, the first about the outcome and the others about what led to it.
	Causes []string `json:"causes"`
	// Lines name the request; Evidence are lines of the same time about the host or the targets.
	Lines    []json.RawMessage `json:"lines"`
	Evidence []json.RawMessage `json:"evidence"`
}

// Explain reads the logs and explains the request. It returns false if no line names the id. The error is that of a reader.
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
	subject := subjectOf(named)
	var evidence []Line
	err = scan(logs, func(line Line) {
		if line.ID != id && subject.concerns(&line) {
			evidence = append(evidence, line)
		}
	}, nil)
	if err != nil {
		return Explanation{}, false, err
	}
	explanation := Explanation{Evidence: raw(subject.nearest(evidence)), Lines: raw(named)}
	for i := range named {
		explanation.Causes = append(explanation.Causes, causes(&named[i])...)
	}
	return explanation, true, nil
}

// scan hands each line that holds the text to the visitor. Lines that are not JSON come from elsewhere and are passed over.
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

func raw(lines []Line) []json.RawMessage {
	all := make([]json.RawMessage, 0, len(lines))
	for _, line := range lines {
		all = append(all, line.Raw)
	}
	return all
}
