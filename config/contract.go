package config

import mp "github.com/mangopaddle/mangopaddle"

// Contract is what one organisation was promised.
type Contract struct {
	Organisation mp.OrganisationID `json:"organisation" jsonschema:"minLength=1"`
	// Keys lists the bearer keys of the organisation, as hashes.
	Keys []Key `json:"keys" jsonschema:"minItems=1"`
	// DefaultClass is the class of a request that names none. Default: the
	// first class.
	DefaultClass mp.ClassName `json:"default_class,omitempty"`
	Classes      []Class      `json:"classes" jsonschema:"minItems=1"`
}

// Key is a bearer key, kept as its hash.
type Key struct {
	Name string `json:"name" jsonschema:"minLength=1"`
	// SHA256 is the hash of the key, in lower-case hexadecimal digits.
	SHA256 string `json:"sha256" jsonschema:"pattern=^[0-9a-f]{64}$"`
}

// Class is a class of requests.
type Class struct {
	Name mp.ClassName `json:"name" jsonschema:"minLength=1"`
	// Tier is the service level, 0 to 4; 0 is served first.
	Tier mp.Tier `json:"tier" jsonschema:"minimum=0,maximum=4"`
	// Models lists the models that the class may ask for; "*" allows all.
	Models []mp.ModelID `json:"models,omitempty"`
	// Services lists the plain services that the class may call.
	Services []mp.ServiceName `json:"services,omitempty"`
	// Targets are the outcomes that the class was promised.
	Targets Targets `json:"targets,omitzero"`
	// MaxWait bounds the wait for a place on an engine. Default "10s".
	MaxWait mp.Duration `json:"longest_wait,omitempty"`
	// Share is what the class may claim.
	Share Share `json:"share,omitzero"`
}

// Targets are latency targets.
type Targets struct {
	// FirstToken bounds the time to the first token. Default "900ms".
	FirstToken mp.Duration `json:"first_token,omitempty"`
	// BetweenTokens bounds the time between tokens. Default "54ms".
	BetweenTokens mp.Duration `json:"between_tokens,omitempty"`
	// WholeAnswer bounds the whole answer of a plain service. Default "2s".
	WholeAnswer mp.Duration `json:"whole_answer,omitempty"`
}

// Share is what a class may claim of the fleet.
type Share struct {
	// PromisedTokensPerSecond is served before any use above a share.
	PromisedTokensPerSecond mp.TokensPerSecond `json:"promised_tokens_per_second,omitempty" jsonschema:"minimum=0"`
	// MaxTokensPerSecond is the most that may be claimed; more is served only
	// while engines have room to spare. Zero sets no limit.
	MaxTokensPerSecond mp.TokensPerSecond `json:"most_tokens_per_second,omitempty" jsonschema:"minimum=0"`
	// MaxConcurrency is how many requests may wait or run in a data centre;
	// zero sets no limit.
	MaxConcurrency int `json:"most_concurrency,omitempty" jsonschema:"minimum=0"`
}

// AnyModel allows a class to ask for every model.
const AnyModel mp.ModelID = "*"

// Class returns the class with the name.
func (co *Contract) Class(name mp.ClassName) (*Class, bool) {
	for ix := range co.Classes {
		if co.Classes[ix].Name == name {
			return &co.Classes[ix], true
		}
	}
	return nil, false
}

// AllowsModel says whether the class may ask for the model.
func (cl *Class) AllowsModel(model mp.ModelID) bool {
	for _, name := range cl.Models {
		if name == model || name == AnyModel {
			return true
		}
	}
	return false
}

// AllowsService says whether the class may call the service.
func (cl *Class) AllowsService(service mp.ServiceName) bool {
	for _, name := range cl.Services {
		if name == service {
			return true
		}
	}
	return false
}
