// Package routing finds the route, organisation and service of a request to the gateway
// in the operator's configuration, and ranks the request by the priorities there. A
// routing table is immutable, so that requests can share it.
package routing

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Kind is the kind of a route's requests. It determines whether a request may run more
// than once and whether the response is streamed.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests get a stream of events as their response. They run at most once,
	// unless their route is resumable.
	Stream
)

// String returns the name of the kind, as used in metric labels.
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

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service mp.ServiceName
	// Weight is the share, relative to the sum of the weights of the route.
	Weight int
}

// Route describes the requests to a host and path prefix, how they may run, and their
// latency targets.
type Route struct {
	Name mp.RouteName
	// Host and PathPrefix select the requests.
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time until the response is complete; zero for none.
	Timeout time.Duration
	// LatencyTarget is the target time until the response, or until the first event
	// of a stream.
	LatencyTarget time.Duration
	// EventGapTarget is the target for the longest time between two events of a
	// stream.
	EventGapTarget time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of backend servers that one request is sent
	// to.
	MaxAttempts int
	// WeightedServices are the services that the requests are split between.
	WeightedServices []WeightedService
	// Public routes need no API key.
	Public bool
	// Resumable streams can continue on another backend server.
	Resumable bool
	// Regions are those in which the requests may be served; empty for any.
	Regions []mp.RegionID
}

// Repeatable reports whether a request may be sent again after a backend server may
// have run it.
func (ro *Route) Repeatable() bool {
	return ro.Kind == Idempotent || (ro.Kind == Stream && ro.Resumable)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name mp.ServiceName
	// ColdStart is how long a server stays cold after it has started; zero if it never is.
	ColdStart time.Duration
	// ColdRequestRate is the number of requests per second, from all hosts together, that a
	// cold server tolerates; zero if unknown.
	ColdRequestRate float64
	// Engine describes the service's model engines; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// MemoryTokens is the number of tokens of running requests and cached prefixes that fit
	// into the memory of an engine; zero if unknown.
	MemoryTokens mp.Tokens
}

// Organisation is a customer and its API keys.
type Organisation struct {
	ID      mp.OrganisationID
	APIKeys []string
	// Priority takes precedence over the priority of routes; nil for none. 0 is the
	// most urgent.
	Priority *int
	// Regions are those in which the organisation's requests may be served; empty for any.
	Regions []mp.RegionID
}

// Limits are the limits on callers' requests.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body; zero for the default.
	MaxBodyBytes mp.Bytes
	// MaxHeaderBytes is the maximum size of a request header; zero for the default.
	MaxHeaderBytes mp.Bytes
	// HeaderTimeout is how long a client may take to send a header, and IdleTimeout how long
	// it may stay idle; zero for the defaults.
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration is a complete configuration as published by the operator.
type Configuration struct {
	Version       mp.Version
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// AllowsAnonymous admits requests without an API key to all routes. It is set only if
	// the operator's configuration has no list of organisations, not even an empty one.
	AllowsAnonymous bool
	Limits          Limits
}

// APIKeyCount returns the number of API keys of all organisations.
func (co Configuration) APIKeyCount() int {
	count := 0
	for _, or := range co.Organisations {
		count += len(or.APIKeys)
	}
	return count
}
