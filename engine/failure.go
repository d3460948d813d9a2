package engine

import (
	"fmt"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// errSilent is the cause of a run that was ended because nothing came.
const errSilent = errors.ConstError("the engine sent nothing for too long")

// errFirstLate is the cause of a run that was ended because its first event did
// not come within its bound.
const errFirstLate = errors.ConstError("the engine did not begin within the bound")

// Stage is how far a run came before it failed.
type Stage int

// The stages.
const (
	// StageSend is before the engine answered.
	StageSend Stage = iota
	// StageRefused is an answer that is not a stream.
	StageRefused
	// StageStream is in the middle of the stream.
	StageStream
)

// Failure is a run that an engine did not complete.
type Failure struct {
	Stage Stage
	// Status and Body are the engine's answer, at StageRefused.
	Status int
	Body   []byte
	// IdleTimedOut says that the engine sent nothing for too long.
	IdleTimedOut bool
	// FirstEventTimedOut says that the first event did not come within its bound.
	FirstEventTimedOut bool

	cause error
}

// Error returns what went wrong.
func (fa *Failure) Error() string {
	switch {
	case fa.Stage == StageRefused:
		return fmt.Sprintf("the engine answered with status %d", fa.Status)
	case fa.IdleTimedOut:
		return errSilent.Error()
	case fa.FirstEventTimedOut:
		return errFirstLate.Error()
	case fa.cause != nil:
		return "the connection to the engine broke: " + fa.cause.Error()
	default:
		return "the engine's stream ended before its last event"
	}
}

// Unwrap returns the cause.
func (fa *Failure) Unwrap() error { return fa.cause }

// NotRun says that it is certain that the engine did nothing: it refused the
// request, or could not be reached.
func (fa *Failure) NotRun() bool {
	return fa.Stage == StageRefused || fa.Unreachable()
}

// Unreachable says that no connection to the engine came about.
func (fa *Failure) Unreachable() bool {
	operation, ok := errors.AsType[*net.OpError](fa.cause)
	return fa.Stage == StageSend && ok && operation.Op == "dial"
}

// IsClientError says that another engine would refuse the request too.
func (fa *Failure) IsClientError() bool {
	if fa.Stage != StageRefused || fa.Status >= http.StatusInternalServerError {
		return false
	}
	switch fa.Status {
	case http.StatusNotFound, http.StatusConflict, http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	default:
		return true
	}
}
