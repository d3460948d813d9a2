// Package routing says which service a request goes to, for whom it is sent, and
// what may be done with it. A table is immutable; requests share it.
package routing

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Kind says what may be done with a request that failed.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered with a series of events. They run at most
	// once, unless their route says that a stream may be resumed.
	Stream
)

// String returns the name of the kind.
func (ki Kind) String() string {
	switch ki {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// WeightedService is a service with its part of a route's requests.
type WeightedService struct {
	Service mp.ServiceName
	Weight  int
}

// Route is a class of requests with its targets, chosen by host and path.
type Route struct {
	Name mp.RouteName
	// Host and Prefix select the requests.
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// LatencyTarget is the time until the answer, or until the first event.
	LatencyTarget time.Duration
	// EventGapTarget is the target between two events of a stream.
	EventGapTarget time.Duration
	// Priority is the rank; 0 is served first.
	Priority int
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// WeightedServices are the services that the requests go to, by weight.
	WeightedServices []WeightedService
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// Repeatable says whether a request may be sent again after it may have run.
func (ro *Route) Repeatable() bool {
	return ro.Kind == Idempotent || (ro.Kind == Stream && ro.Resumable)
}

// Service is a group of backend servers that are alike.
type Service struct {
	Name mp.ServiceName
	// Engine describes model engines; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
}

// Organisation is a customer with its keys.
type Organisation struct {
	ID   mp.OrganisationID
	Keys []string
	// Priority goes before the priority of routes; nil for none.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes mp.Bytes
}

// Configuration is what the operator wants, whole.
type Configuration struct {
	Version       mp.Version
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
