package mangopaddle

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Kind is a kind of error, from a closed set. It determines the response to the
// caller.
type Kind int

// The error kinds.
const (
	// KindInternal is a fault of the router, and the kind of any error without one.
	KindInternal Kind = iota
	KindInvalidRequest
	KindRequestTooLarge
	KindUnauthorized
	// KindClassNotAllowed means that the contract does not have the class, or that the
	// class may not call the service.
	KindClassNotAllowed
	KindModelNotAllowed
	// KindNotFound means that no route or path matches the request.
	KindNotFound
	KindMethodNotAllowed
	KindModelNotFound
	KindServiceNotFound
	// KindShareExceeded means that the class is over its rate or concurrency limit.
	KindShareExceeded
	// KindOverloaded means that the request cannot start in time, or that its retries are
	// used up.
	KindOverloaded
	// KindWaitExpired means that the maximum wait or the deadline of the request passed
	// before it was executed.
	KindWaitExpired
	// KindFirstTokenLate means that a started request was cancelled because its first
	// token did not arrive in time.
	KindFirstTokenLate
	// KindNoBackend means that no backend server is available or could be reached.
	KindNoBackend
	// KindQuarantined means that the prompt has a segment that crashes backend servers.
	KindQuarantined
	// KindStopping means that the host is about to stop.
	KindStopping
	// KindNotConfigured means that the host has no configuration yet.
	KindNotConfigured
	// KindBackendFailed means that the backend servers failed the request, which may have
	// been executed in part.
	KindBackendFailed
	// KindOutcomeUnknown means that the request may have been executed, but its response
	// did not arrive, so that it must not be retried.
	KindOutcomeUnknown
	// KindCallerGone means that the caller disconnected, or did not read the response
	// within the write timeout. No error response is sent.
	KindCallerGone
	kindCount
)

// ErrorResponse is the response to the caller for a kind of error.
type ErrorResponse struct {
	// Code is the machine-readable error code.
	Code string
	// Type is the error type that clients of the chat completions API expect.
	Type string
	// Status is the HTTP status code.
	Status int
	// NotRun reports that no part of the request was executed, so that a retry
	// cannot run it twice.
	NotRun bool
	// Retryable reports that the same request may succeed later.
	Retryable bool
	// RetryAfter is the default delay before a retry; zero sends no Retry-After
	// header.
	RetryAfter time.Duration
}

const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// statusCallerGone is the status of KindCallerGone. It appears only in logs and metrics.
const statusCallerGone = 499

var responses = [kindCount]ErrorResponse{
	KindInternal:         {Code: "internal", Type: typeServer, Status: http.StatusInternalServerError},
	KindInvalidRequest:   {Code: "invalid_request", Type: typeInvalidRequest, Status: http.StatusBadRequest, NotRun: true},
	KindRequestTooLarge:  {Code: "request_too_large", Type: typeInvalidRequest, Status: http.StatusRequestEntityTooLarge, NotRun: true},
	KindUnauthorized:     {Code: "unauthorized", Type: typeAuthentication, Status: http.StatusUnauthorized, NotRun: true},
	KindClassNotAllowed:  {Code: "class_not_allowed", Type: typePermission, Status: http.StatusForbidden, NotRun: true},
	KindModelNotAllowed:  {Code: "model_not_allowed", Type: typePermission, Status: http.StatusForbidden, NotRun: true},
	KindNotFound:         {Code: "not_found", Type: typeInvalidRequest, Status: http.StatusNotFound, NotRun: true},
	KindMethodNotAllowed: {Code: "method_not_allowed", Type: typeInvalidRequest, Status: http.StatusMethodNotAllowed, NotRun: true},
	KindModelNotFound:    {Code: "model_not_found", Type: typeInvalidRequest, Status: http.StatusNotFound, NotRun: true},
	KindServiceNotFound:  {Code: "service_not_found", Type: typeInvalidRequest, Status: http.StatusNotFound, NotRun: true},
	KindShareExceeded:    {Code: "share_exceeded", Type: typeRateLimit, Status: http.StatusTooManyRequests, NotRun: true, Retryable: true, RetryAfter: time.Second},
	KindOverloaded:       {Code: "overloaded", Type: typeServer, Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: 2 * time.Second},
	KindWaitExpired:      {Code: "wait_expired", Type: typeServer, Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: 2 * time.Second},
	KindFirstTokenLate:   {Code: "first_token_late", Type: typeServer, Status: http.StatusServiceUnavailable, Retryable: true, RetryAfter: 2 * time.Second},
	KindNoBackend:        {Code: "no_backend", Type: typeServer, Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: 5 * time.Second},
	KindQuarantined:      {Code: "prompt_quarantined", Type: typeServer, Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: 5 * time.Minute},
	KindStopping:         {Code: "stopping", Type: typeServer, Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: time.Second},
	KindNotConfigured:    {Code: "not_configured", Type: typeServer, Status: http.StatusServiceUnavailable, NotRun: true, Retryable: true, RetryAfter: time.Second},
	KindBackendFailed:    {Code: "backend_failed", Type: typeServer, Status: http.StatusBadGateway, Retryable: true},
	KindOutcomeUnknown:   {Code: "outcome_unknown", Type: typeServer, Status: http.StatusGatewayTimeout},
	KindCallerGone:       {Code: "caller_gone", Type: typeServer, Status: statusCallerGone},
}

// Kinds returns all error kinds in order of declaration.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for ki := range kindCount {
		kinds = append(kinds, ki)
	}
	return kinds
}

// Response returns the response for the kind. An invalid kind gets that of
// KindInternal.
func (ki Kind) Response() ErrorResponse {
	if ki < 0 || ki >= kindCount {
		return responses[KindInternal]
	}
	return responses[ki]
}

// String returns the machine-readable error code.
func (ki Kind) String() string {
	return ki.Response().Code
}

// Error is an error with a kind.
type Error struct {
	// Kind determines the response.
	Kind Kind
	// RetryAfter overrides the default delay of the kind if it is positive.
	RetryAfter time.Duration

	message string
	cause   error
}

// NewError returns an error of the kind with a formatted message.
func NewError(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, message: fmt.Sprintf(format, args...)}
}

// WrapError returns an error of the kind with a cause. The cause is logged but not
// sent to the caller.
func WrapError(cause error, kind Kind, format string, args ...any) *Error {
	er := NewError(kind, format, args...)
	er.cause = cause
	return er
}

// WithRetryAfter sets the delay before a retry. It modifies the error and returns
// it.
func (er *Error) WithRetryAfter(wait time.Duration) *Error {
	er.RetryAfter = wait
	return er
}

// Message returns the text for the caller, without the cause.
func (er *Error) Message() string {
	return er.message
}

// Error implements error. It returns the message and the cause.
func (er *Error) Error() string {
	if er.cause == nil {
		return er.message
	}
	return er.message + ": " + er.cause.Error()
}

// Unwrap returns the cause, or nil.
func (er *Error) Unwrap() error {
	return er.cause
}

// RetryDelay returns how long the caller should wait before a retry; zero if no
// delay is recommended.
func (er *Error) RetryDelay() time.Duration {
	if er.RetryAfter > 0 {
		return er.RetryAfter
	}
	return er.Kind.Response().RetryAfter
}

// AsError returns the *Error in the chain of err. An error without a kind is wrapped
// as KindInternal.
func AsError(err error) *Error {
	if found, ok := errors.AsType[*Error](err); ok {
		return found
	}
	return WrapError(err, KindInternal, "internal error")
}

// KindOf returns the kind of err, or KindInternal if it has none.
func KindOf(err error) Kind {
	return AsError(err).Kind
}
