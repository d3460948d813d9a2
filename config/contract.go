package config

import mp "github.com/mangopaddle/mangopaddle"

// Contract holds the request classes that an organisation was promised.
type Contract struct {
	Organisation mp.OrganisationID `json:"organisation" jsonschema:"minLength=1"`
	// Keys are the API keys of the organisation. Without one nobody can use the contract.
	Keys []APIKey `json:"keys"`
	// DefaultClass is the class of a request that names none. The default is the
	// first class.
	DefaultClass mp.ClassName `json:"default_class,omitempty"`
	// Classes are the request classes of the contract.
	Classes []Class `json:"classes" jsonschema:"minItems=1"`
}

// APIKey is an API key, stored as a hash.
type APIKey struct {
	Name string `json:"name" jsonschema:"minLength=1"`
	// SHA256 is the hash of the key in lower-case hexadecimal digits.
	SHA256 string `json:"sha256" jsonschema:"pattern=^[0-9a-f]{64}$"`
}

// Class is a request class: its service level, the models and services that it may
// use, and its latency targets and limits.
type Class struct {
	Name mp.ClassName `json:"name" jsonschema:"minLength=1"`
	// Tier is the service level, 0 to 4; 0 is the most urgent.
	Tier mp.Tier `json:"tier" jsonschema:"minimum=0,maximum=4"`
	// Models are the models that the class may use; "*" allows all.
	Models []mp.ModelID `json:"models,omitempty"`
	// Services are the plain services that the class may call.
	Services []mp.ServiceName `json:"services,omitempty"`
	// Targets are the latency targets that the class was promised.
	Targets Targets `json:"targets,omitzero"`
	// MaxWait is the maximum time in the queue for a slot on an engine. The default
	// is "10s".
	MaxWait mp.Duration `json:"longest_wait,omitempty"`
	// Share is the share of the fleet that the class may use.
	Share Share `json:"share,omitzero"`
}

// Targets are the latency targets of a class.
type Targets struct {
	// FirstToken is the target for the time to the first token. The default is
	// "900ms".
	FirstToken mp.Duration `json:"first_token,omitempty"`
	// BetweenTokens is the target for the time between two tokens. The default is
	// "54ms".
	BetweenTokens mp.Duration `json:"between_tokens,omitempty"`
	// WholeAnswer is the target for the time to the complete response of a plain
	// service. The default is "2s".
	WholeAnswer mp.Duration `json:"whole_answer,omitempty"`
}

// Share is the share of the fleet that a class may use.
type Share struct {
	// PromisedTokensPerSecond is the promised rate. Requests within it are served
	// before those of the same tier that exceed their promised rate.
	PromisedTokensPerSecond mp.TokensPerSecond `json:"promised_tokens_per_second,omitempty" jsonschema:"minimum=0"`
	// MaxTokensPerSecond is the rate limit. Requests above it are served only while
	// engines have spare capacity. Zero sets no limit.
	MaxTokensPerSecond mp.TokensPerSecond `json:"most_tokens_per_second,omitempty" jsonschema:"minimum=0"`
	// MaxConcurrency is the maximum number of queued and running requests in a data
	// centre; zero sets no limit.
	MaxConcurrency int `json:"most_concurrency,omitempty" jsonschema:"minimum=0"`
}

// AnyModel is the entry in Class.Models that allows all models.
const AnyModel mp.ModelID = "*"

// Class returns the class with a name; false if there is none.
func (co *Contract) Class(name mp.ClassName) (*Class, bool) {
	for ix := range co.Classes {
		if co.Classes[ix].Name == name {
			return &co.Classes[ix], true
		}
	}
	return nil, false
}

// AllowsModel reports whether the class may use the model.
func (cl *Class) AllowsModel(model mp.ModelID) bool {
	for _, name := range cl.Models {
		if name == model || name == AnyModel {
			return true
		}
	}
	return false
}

// AllowsService reports whether the class may call the service.
func (cl *Class) AllowsService(service mp.ServiceName) bool {
	for _, name := range cl.Services {
		if name == service {
			return true
		}
	}
	return false
}
