// Package fault defines the typed errors that are returned to callers and operators. Each error states whether the request
// was executed and how to resolve the problem.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Execution states what is known about the execution of a request that failed.
type Execution string

// Execution states. There is no default: an empty value is invalid on the wire.
const (
	// NotRun means that no part of the request ran at a target.
	NotRun Execution = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Execution = "outcome_unknown"
	// Ran means that the request ran, completely or in part.
	Ran Execution = "ran"
)

// Kind classifies an error and determines its HTTP status.
type Kind string

// Kinds of errors. docs/operators/metrics.md describes them.
const (
	BadRequest           Kind = "bad_request"
	Unauthenticated      Kind = "unauthenticated"
	Forbidden            Kind = "forbidden"
	TooLarge             Kind = "too_large"
	RequestTimeout       Kind = "request_timeout"
	RateLimited          Kind = "rate_limited"
	Overloaded           Kind = "overloaded"
	DeadlineTooShort     Kind = "deadline_too_short"
	DeadlineExceeded     Kind = "deadline_exceeded"
	CoverageBelowMinimum Kind = "coverage_below_minimum"
	SnapshotGone         Kind = "snapshot_gone"
	Quarantined          Kind = "quarantined"
	CutOff               Kind = "cut_off"
	NotReady             Kind = "not_ready"
	Stopping             Kind = "stopping"
	Conflict             Kind = "conflict"
	InvalidCatalogue     Kind = "invalid_catalogue"
	InsufficientCapacity Kind = "insufficient_capacity"
	NotFound             Kind = "not_found"
	StoreUnavailable     Kind = "store_unavailable"
	TicketInvalid        Kind = "ticket_invalid"
	TicketGone           Kind = "ticket_gone"
	TicketRunning        Kind = "ticket_running"
	TargetFailed         Kind = "target_failed"
	Unavailable          Kind = "unavailable"
	Internal             Kind = "internal"
)

var httpStatus = map[Kind]int{
	BadRequest:           http.StatusBadRequest,
	Unauthenticated:      http.StatusUnauthorized,
	Forbidden:            http.StatusForbidden,
	TooLarge:             http.StatusRequestEntityTooLarge,
	RequestTimeout:       http.StatusRequestTimeout,
	RateLimited:          http.StatusTooManyRequests,
	Overloaded:           http.StatusServiceUnavailable,
	DeadlineTooShort:     http.StatusServiceUnavailable,
	DeadlineExceeded:     http.StatusGatewayTimeout,
	CoverageBelowMinimum: http.StatusGatewayTimeout,
	SnapshotGone:         http.StatusGone,
	Quarantined:          http.StatusUnprocessableEntity,
	CutOff:               http.StatusServiceUnavailable,
	NotReady:             http.StatusServiceUnavailable,
	Stopping:             http.StatusServiceUnavailable,
	Conflict:             http.StatusConflict,
	InvalidCatalogue:     http.StatusUnprocessableEntity,
	InsufficientCapacity: http.StatusConflict,
	NotFound:             http.StatusNotFound,
	StoreUnavailable:     http.StatusServiceUnavailable,
	TicketInvalid:        http.StatusBadRequest,
	TicketGone:           http.StatusGone,
	TicketRunning:        http.StatusConflict,
	TargetFailed:         http.StatusBadGateway,
	Unavailable:          http.StatusServiceUnavailable,
	Internal:             http.StatusInternalServerError,
}

// Error is an error with a kind and a remedy. Execution is required.
type Error struct {
	Kind      Kind      `json:"kind" msgpack:"kind"`
	Execution Execution `json:"execution" msgpack:"execution"`
	Message   string    `json:"message" msgpack:"message"`
	// Remedy states how to resolve the problem.
	Remedy string `json:"remedy" msgpack:"remedy"`
	// RetryAfterMS is the recommended delay in milliseconds before a retry; 0 if unknown.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty" msgpack:"retry_after_ms"`
	// Coverage is the fraction of the key space that answered. It is set for kind CoverageBelowMinimum.
	Coverage *float64 `json:"coverage,omitempty" msgpack:"coverage"`

	cause error
}

// New returns an error of the given kind.
func New(kind Kind, execution Execution, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Execution: execution, Remedy: remedy, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the given kind that wraps cause.
func Wrap(cause error, kind Kind, execution Execution, remedy, format string, args ...any) *Error {
	e := New(kind, execution, remedy, format, args...)
	e.cause = cause
	return e
}

// WithRetryAfter sets the recommended delay before a retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfterMS = d.Milliseconds()
	return e
}

// RetryAfter returns the recommended delay before a retry, or 0 if unknown.
func (e *Error) RetryAfter() time.Duration { return time.Duration(e.RetryAfterMS) * time.Millisecond }

// WithCoverage sets the coverage that was reached and returns e.
func (e *Error) WithCoverage(fraction float64) *Error {
	e.Coverage = &fraction
	return e
}

// Error returns the kind, the message, the cause and the remedy.
func (e *Error) Error() string {
	text := string(e.Kind) + ": " + e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		text += " (" + e.Remedy + ")"
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// HTTPStatus returns the HTTP status code of the error's kind.
func (e *Error) HTTPStatus() int {
	status, ok := httpStatus[e.Kind]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

// As returns the first *Error in err's chain. If there is none, it returns an Internal error that wraps err, with execution
// OutcomeUnknown.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, Internal, OutcomeUnknown, "report this as a fault of the router", "unexpected error")
}

// IsKind reports whether err's chain contains an *Error, the first of which is of the given kind.
func IsKind(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}
