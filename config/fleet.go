package config

import mp "github.com/mangopaddle/mangopaddle"

// State is the state of a backend server.
type State string

// The states of a backend server. A draining one gets no new requests.
const (
	StateLive     State = "live"
	StateDraining State = "leaving"
)

// Fleet describes the deployment: its regions, models, engines and plain services.
type Fleet struct {
	// Regions are the regions with their data centres.
	Regions []Region `json:"regions" jsonschema:"minItems=1"`
	// Models are the models that callers can request.
	Models []Model `json:"models"`
	// Engines are the model engines. Engine lists can add more.
	Engines []Engine `json:"engines"`
	// Services are the plain services: those that are not model engines.
	Services []Service `json:"services,omitempty"`
}

// EngineList is a separate value with more engines of the fleet. Fleets whose engines
// exceed the size limit of one value list them by data centre.
type EngineList struct {
	Engines []Engine `json:"engines"`
}

// Region is a group of data centres with fast links to each other.
type Region struct {
	Name        mp.RegionID       `json:"name" jsonschema:"minLength=1"`
	DataCentres []mp.DataCentreID `json:"data_centres" jsonschema:"minItems=1"`
}

// Model is a model that callers can request.
type Model struct {
	Name mp.ModelID `json:"name" jsonschema:"minLength=1"`
	// ContextTokens is the maximum length of prompt and answer together. The default
	// is 8192.
	ContextTokens mp.Tokens `json:"context_tokens,omitempty" jsonschema:"minimum=1"`
}

// Engine is a model engine.
type Engine struct {
	Name mp.EngineID `json:"name" jsonschema:"minLength=1"`
	// Address is an IP address with a port.
	Address    string          `json:"address"`
	DataCentre mp.DataCentreID `json:"data_centre"`
	Models     []mp.ModelID    `json:"models" jsonschema:"minItems=1"`
	// Slots is the maximum number of requests in a batch of the engine. The default
	// is 32.
	Slots int `json:"slots,omitempty" jsonschema:"minimum=1"`
	// TokensPerSecond is the engine's rated output. The default is 40 per slot.
	TokensPerSecond mp.TokensPerSecond `json:"tokens_per_second,omitempty" jsonschema:"minimum=0"`
	// State is "live" or "leaving". The default is "live".
	State State `json:"state,omitempty" jsonschema:"enum=live,enum=leaving"`
}

// Service is a plain service: one that is not a model engine.
type Service struct {
	Name     mp.ServiceName `json:"name" jsonschema:"minLength=1"`
	Replicas []Replica      `json:"replicas" jsonschema:"minItems=1"`
	// Idempotent allows a call to be retried after a failure.
	Idempotent bool `json:"idempotent,omitempty"`
	// Timeout is the timeout of a call. The default is "30s".
	Timeout mp.Duration `json:"timeout,omitempty"`
}

// Replica is a server of a plain service.
type Replica struct {
	Name mp.ReplicaID `json:"name" jsonschema:"minLength=1"`
	// Address is an IP address with a port.
	Address    string          `json:"address"`
	DataCentre mp.DataCentreID `json:"data_centre"`
	// State is "live" or "leaving". The default is "live".
	State State `json:"state,omitempty" jsonschema:"enum=live,enum=leaving"`
}

// RegionOf returns the region of a data centre; empty if there is none.
func (fl *Fleet) RegionOf(dc mp.DataCentreID) mp.RegionID {
	for _, re := range fl.Regions {
		for _, name := range re.DataCentres {
			if name == dc {
				return re.Name
			}
		}
	}
	return ""
}
