package mangopaddle

import "github.com/google/uuid"

// OrganisationID names a customer that holds a contract.
type OrganisationID string

// ClassName names a class of requests inside a contract.
type ClassName string

// ModelID names a model that callers can ask for.
type ModelID string

// EngineID names one model engine of the fleet.
type EngineID string

// ServiceName names a plain service beside the model engines.
type ServiceName string

// ReplicaID names one replica of a plain service.
type ReplicaID string

// HostID names one entry host.
type HostID string

// DataCentreID names a data centre.
type DataCentreID string

// RegionID names a region.
type RegionID string

// RequestID identifies one request of a caller. Engines see it too, so that a
// stream can be cancelled or resumed over another connection.
type RequestID string

// NewRequestID returns a random request identifier.
func NewRequestID() RequestID {
	return RequestID("req-" + uuid.NewString())
}

// ConfigKey names one value of the published configuration set.
type ConfigKey string

// Revision orders the published configuration sets. A higher one is newer;
// zero means that none was seen.
type Revision uint64

// ServerID names one start of a backend server: a server that starts again
// usually has a new one.
type ServerID string

// RouteName names a route of the operator's configuration.
type RouteName string

// Version orders the operator's configurations. A higher one is newer; zero
// means that none was seen.
type Version int64
