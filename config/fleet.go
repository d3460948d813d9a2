package config

import mp "github.com/mangopaddle/mangopaddle"

// State says whether a backend server may get new work.
type State string

// The states of a backend server.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Fleet describes the machines that serve: regions, models, engines and plain
// services.
type Fleet struct {
	// Regions lists the regions with their data centres.
	Regions []Region `json:"regions" jsonschema:"minItems=1"`
	// Models lists what callers can ask for.
	Models []Model `json:"models"`
	// Engines lists the model engines; more can stand in engine lists.
	Engines []Engine `json:"engines"`
	// Services lists the plain services beside the engines.
	Services []Service `json:"services,omitempty"`
}

// EngineList is more engines of the fleet. A fleet whose engines don't fit one
// value lists them by data centre.
type EngineList struct {
	Engines []Engine `json:"engines"`
}

// Region is a group of data centres with fast links between them.
type Region struct {
	Name        mp.RegionID       `json:"name" jsonschema:"minLength=1"`
	DataCentres []mp.DataCentreID `json:"data_centres" jsonschema:"minItems=1"`
}

// Model is a model that callers can ask for.
type Model struct {
	Name mp.ModelID `json:"name" jsonschema:"minLength=1"`
	// ContextTokens bounds prompt and answer together. Default 8192.
	ContextTokens mp.Tokens `json:"context_tokens,omitempty" jsonschema:"minimum=1"`
}

// Engine is one model engine.
type Engine struct {
	Name mp.EngineID `json:"name" jsonschema:"minLength=1"`
	// Address is an IP number and a port.
	Address    string          `json:"address"`
	DataCentre mp.DataCentreID `json:"data_centre"`
	Models     []mp.ModelID    `json:"models" jsonschema:"minItems=1"`
	// Slots is how many requests the engine batches at once. Default 32.
	Slots int `json:"slots,omitempty" jsonschema:"minimum=1"`
	// TokensPerSecond is the engine's rated output. Default 40 for each slot.
	TokensPerSecond mp.TokensPerSecond `json:"tokens_per_second,omitempty" jsonschema:"minimum=0"`
	// State is "live" or "leaving". Default "live".
	State State `json:"state,omitempty" jsonschema:"enum=live,enum=leaving"`
}

// Service is a plain service.
type Service struct {
	Name     mp.ServiceName `json:"name" jsonschema:"minLength=1"`
	Replicas []Replica      `json:"replicas" jsonschema:"minItems=1"`
	// Idempotent says that a call may be sent again after a failure.
	Idempotent bool `json:"idempotent,omitempty"`
	// Timeout bounds one call. Default "30s".
	Timeout mp.Duration `json:"timeout,omitempty"`
}

// Replica is one server of a plain service.
type Replica struct {
	Name mp.ReplicaID `json:"name" jsonschema:"minLength=1"`
	// Address is an IP number and a port.
	Address    string          `json:"address"`
	DataCentre mp.DataCentreID `json:"data_centre"`
	// State is "live" or "leaving". Default "live".
	State State `json:"state,omitempty" jsonschema:"enum=live,enum=leaving"`
}

// RegionOf returns the region of a data centre; empty if it is in none.
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
