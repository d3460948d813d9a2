package config

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	defaultContextTokens          mp.Tokens          = 8192
	defaultSlots                                     = 32
	defaultTokensPerSecondPerSlot mp.TokensPerSecond = 40

	defaultServiceTimeout      = mp.Duration(30 * time.Second)
	defaultMaxWait             = mp.Duration(10 * time.Second)
	defaultFirstTokenTarget    = mp.Duration(900 * time.Millisecond)
	defaultBetweenTokensTarget = mp.Duration(54 * time.Millisecond)
	defaultWholeAnswerTarget   = mp.Duration(2 * time.Second)
)

// setDefaults sets the default of each field that was left out.
func (fl *Fleet) setDefaults() {
	for ix := range fl.Models {
		orDefault(&fl.Models[ix].ContextTokens, defaultContextTokens)
	}
	setEngineDefaults(fl.Engines)
	for ix := range fl.Services {
		fl.Services[ix].setDefaults()
	}
}

func setEngineDefaults(engines []Engine) {
	for ix := range engines {
		en := &engines[ix]
		orDefault(&en.Slots, defaultSlots)
		orDefault(&en.TokensPerSecond, defaultTokensPerSecondPerSlot*mp.TokensPerSecond(en.Slots))
		orDefault(&en.State, StateLive)
	}
}

func (se *Service) setDefaults() {
	orDefault(&se.Timeout, defaultServiceTimeout)
	for ix := range se.Replicas {
		orDefault(&se.Replicas[ix].State, StateLive)
	}
}

// setDefaults sets the default of each field that was left out.
func (co *Contract) setDefaults() {
	if len(co.Classes) > 0 {
		orDefault(&co.DefaultClass, co.Classes[0].Name)
	}
	for ix := range co.Classes {
		cl := &co.Classes[ix]
		orDefault(&cl.MaxWait, defaultMaxWait)
		orDefault(&cl.Targets.FirstToken, defaultFirstTokenTarget)
		orDefault(&cl.Targets.BetweenTokens, defaultBetweenTokensTarget)
		orDefault(&cl.Targets.WholeAnswer, defaultWholeAnswerTarget)
	}
}

// orDefault sets a field to its default if it has the zero value.
func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
