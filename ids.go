package mangopaddle

import "github.com/google/uuid"

// OrganisationID identifies a customer with a contract.
type OrganisationID string

// ClassName names a request class of a contract.
type ClassName string

// ModelID names a model that callers can request.
type ModelID string

// EngineID identifies a model engine (an inference server) of the fleet.
type EngineID string

// ServiceName names a service: a group of interchangeable backend servers. In the
// router's own API it is a plain service, whose servers are not model engines; in the
// gateway the servers may also be model engines.
type ServiceName string

// ReplicaID identifies a replica of a plain service.
type ReplicaID string

// HostID identifies an entry host.
type HostID string

// DataCentreID identifies a data centre.
type DataCentreID string

// RegionID identifies a region.
type RegionID string

// RequestID identifies a request of a caller. It is passed on to the engine, so that
// a stream can be cancelled or resumed over another connection.
type RequestID string

// NewRequestID returns a new random identifier.
func NewRequestID() RequestID {
	return RequestID("req-" + uuid.NewString())
}

// ConfigKey is the key of a value in the platform's store or in the published
// configuration set.
type ConfigKey string

// Revision orders the changes of one era of the platform's store; see Position. A higher
// one is newer; zero stands for none.
type Revision uint64

// ServerID identifies an instance of a backend server. A server usually gets a new
// one when it restarts.
type ServerID string

// SoftwareVersion names the version of the software that a backend server runs. Versions have
// no order. Streams of servers of two versions don't fit together.
type SoftwareVersion string

// RouteName names a route in the operator's configuration.
type RouteName string

// Version orders the operator's configurations. A higher one is newer; zero stands
// for none.
type Version int64
