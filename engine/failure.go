package engine

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// errStreamIdle is the cancellation cause of an attempt in which the engine sent no
// data, or no event, within the timeout for it.
const errStreamIdle = errors.ConstError("the engine sent no data within the stream idle timeout")

// errFirstEventTimeout is the cancellation cause of an attempt whose first event
// did not arrive within Request.FirstEventTimeout.
const errFirstEventTimeout = errors.ConstError("the engine sent no event within the first-event timeout")

// Stage is the phase in which an attempt failed.
type Stage int

// Stages of an attempt.
const (
	// StageSend is the phase up to and including the engine's response headers.
	StageSend Stage = iota
	// StageRefused means that the engine responded with a status other than
	// 200.
	StageRefused
	// StageStream is the phase in which the response body is read.
	StageStream
)

// Failure is the error of an attempt that the engine did not complete.
type Failure struct {
	Stage Stage
	// Status and Body are the engine's response, set at StageRefused only.
	Status int
	Body   []byte
	// Unconfirmed reports that the response came on a connection with earlier requests
	// and without the request's ID, so that it may be one to them, written once more.
	Unconfirmed bool
	// RetryAfter is how long an engine that is unavailable (status 503) wants no requests;
	// zero if it doesn't say.
	RetryAfter time.Duration
	// IdleTimedOut reports that the engine sent no data within the idle timeout.
	IdleTimedOut bool
	// FirstEventTimedOut reports that the first event did not arrive in time.
	FirstEventTimedOut bool

	cause error
}

// Error implements error.
func (fa *Failure) Error() string {
	switch {
	case fa.Stage == StageRefused:
		return fmt.Sprintf("the engine answered with status %d", fa.Status)
	case fa.IdleTimedOut:
		return errStreamIdle.Error()
	case fa.FirstEventTimedOut:
		return errFirstEventTimeout.Error()
	case fa.cause != nil:
		return "the attempt on the engine failed: " + fa.cause.Error()
	default:
		return "the engine did not complete the stream"
	}
}

// Unwrap returns the cause.
func (fa *Failure) Unwrap() error { return fa.cause }

// NotRun reports whether it is certain that the engine did no work, because it
// refused the request or could not be reached. An engine that answers with a server
// error other than 503 may have failed in the middle of the work.
func (fa *Failure) NotRun() bool {
	if fa.Stage == StageRefused {
		return !fa.Unconfirmed && (fa.Status < http.StatusInternalServerError || fa.Status == http.StatusServiceUnavailable)
	}
	return fa.Unreachable()
}

// Unreachable reports whether no connection to the engine could be opened.
func (fa *Failure) Unreachable() bool {
	operation, ok := errors.AsType[*net.OpError](fa.cause)
	return fa.Stage == StageSend && ok && operation.Op == "dial"
}

// IsClientError reports whether every engine would refuse the request. A 5xx
// status, or 404, 408, 409 or 429, can be specific to one engine, and an unconfirmed
// refusal be one of another request.
func (fa *Failure) IsClientError() bool {
	if fa.Stage != StageRefused || fa.Unconfirmed || fa.Status >= http.StatusInternalServerError {
		return false
	}
	switch fa.Status {
	case http.StatusNotFound, http.StatusConflict, http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	default:
		return true
	}
}
