// Package fault holds the typed errors of the system. Each states whether the request ran and names the remedy.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Execution states what is known about the execution of a refused request.
type Execution string

// The execution states. There is no default: an empty value is invalid on the wire.
const (
	// NotRun means that no part of the request ran at a target.
	NotRun Execution = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Execution = "outcome_unknown"
	// Ran means that the request ran, in whole or in part.
	Ran Execution = "ran"
)

// Kind is the type of an error.
type Kind string

// The kinds of errors that callers see.
const (
	BadRequest           Kind = "bad_request"
	Unauthenticated      Kind = "unauthenticated"
	Forbidden            Kind = "forbidden"
	TooLarge             Kind = "too_large"
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

// Error is a typed error. Execution is required.
type Error struct {
	Kind      Kind      `json:"kind" msgpack:"kind"`
	Execution Execution `json:"execution" msgpack:"execution"`
	Message   string    `json:"message" msgpack:"message"`
	// Remedy tells the reader what to do.
	Remedy string `json:"remedy" msgpack:"remedy"`
	// RetryAfterMS is the time in milliseconds after which a repeat is useful; 0 if unknown.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty" msgpack:"retry_after_ms"`
	// Coverage is the fraction that answered, for kind CoverageBelowMinimum.
	Coverage *float64 `json:"coverage,omitempty" msgpack:"coverage"`

	cause error
}

// New returns an error of the given kind.
func New(kind Kind, execution Execution, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Execution: execution, Remedy: remedy, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the given kind that keeps its cause.
func Wrap(cause error, kind Kind, execution Execution, remedy, format string, args ...any) *Error {
	e := New(kind, execution, remedy, format, args...)
	e.cause = cause
	return e
}

// WithRetryAfter sets the time after which a repeat is useful.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfterMS = d.Milliseconds()
	return e
}

// RetryAfter returns the time after which a repeat is useful, 0 if unknown.
func (e *Error) RetryAfter() time.Duration { return time.Duration(e.RetryAfterMS) * time.Millisecond }

// WithCoverage sets the coverage reached.
func (e *Error) WithCoverage(fraction float64) *Error {
	e.Coverage = &fraction
	return e
}

// Error returns the message, the cause and the remedy.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// HTTPStatus returns the status code of the kind.
func (e *Error) HTTPStatus() int {
	status, ok := httpStatus[e.Kind]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

// As returns the typed error in err's chain, or an Internal error with an unknown outcome.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, Internal, OutcomeUnknown, "report this as a fault of the router", "unexpected error")
}

// IsKind tells whether err is a typed error of the kind.
func IsKind(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}
