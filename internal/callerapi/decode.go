package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// maxNameBytes limits the length of the names of searches, services and operations in a request.
const maxNameBytes = 128

// maxTokenBytes limits the length of a snapshot token.
const maxTokenBytes = 16 << 10

// decodeBody reads and strictly decodes a body of limited size. Its errors are of type *fault.Error with execution not_run.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	return decodeStrict(body, into)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, model.MaxBodyBytes))
	if err != nil {
		return nil, bodyReadError(err)
	}
	return body, nil
}

func bodyReadError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, fault.NotRun, "send a smaller body", "the body is over 64 KiB")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.BadRequest, fault.NotRun, "send the whole body within 2 s", "the body did not arrive in time")
	}
	return fault.Wrap(err, fault.BadRequest, fault.NotRun, "send the whole body", "the body did not arrive")
}

// decodeStrict decodes a single JSON document and rejects unknown fields. It checks the nesting depth first, because the
// decoder recurses to that depth.
func decodeStrict(body []byte, into any) error {
	if jsonDepth(body) > model.MaxJSONDepth {
		return fault.New(fault.BadRequest, fault.NotRun, "nest at most 32 levels", "the body is nested too deeply")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fault.Wrap(err, fault.BadRequest, fault.NotRun, "correct the body", "the body is not valid")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fault.New(fault.BadRequest, fault.NotRun,
			"send one JSON document", "the body contains data after the JSON document")
	}
	return nil
}

// compact removes insignificant white space from a valid document, so that documents that differ only in formatting are
// treated as equal.
func compact(document json.RawMessage) json.RawMessage {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, document); err != nil {
		return document
	}
	return buffer.Bytes()
}

// jsonDepth returns the maximum nesting depth of objects and arrays.
func jsonDepth(body []byte) int {
	depth, deepest := 0, 0
	inString, escaped := false, false
	for _, c := range body {
		switch {
		case escaped:
			escaped = false
		case inString && c == '\\':
			escaped = true
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
			deepest = max(deepest, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return deepest
}

// checkName returns an error if a name is empty or too long.
func checkName(field, value string) error {
	if value == "" || len(value) > maxNameBytes {
		return fault.New(fault.BadRequest, fault.NotRun, "send "+field+" with 1 to 128 bytes",
			"%s has %d bytes", field, len(value))
	}
	return nil
}

// checkDeadline returns an error if a deadline is out of range.
func checkDeadline(milliseconds int64) error {
	if milliseconds <= 0 || milliseconds > model.MaxDeadline.Milliseconds() {
		return fault.New(fault.BadRequest, fault.NotRun,
			"send deadline_ms from 1 to 10000", "deadline_ms is %d", milliseconds)
	}
	return nil
}
