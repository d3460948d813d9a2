package control

import (
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mangopaddle/mangopaddle/blackboard"
)

// step wraps a controller: it counts errors and logs when the controller starts
// or stops to fail.
type step struct {
	controller Controller
	logger     zerolog.Logger
	errors     tally.Counter
	failing    string // the error that was logged; empty while it succeeds
}

func newStep(co Controller, logger zerolog.Logger, scope tally.Scope) *step {
	return &step{
		controller: co,
		logger:     logger.With().Str("controller", co.Name()).Logger(),
		errors:     scope.Tagged(map[string]string{"controller": co.Name()}).Counter("controller_errors"),
	}
}

func (st *step) run(bo *blackboard.Board) {
	err := st.controller.Run(bo)
	if err == nil {
		if st.failing != "" {
			st.logger.Info().Msg("controller recovered")
		}
		st.failing = ""
		return
	}
	st.errors.Inc(1)
	if err.Error() != st.failing {
		st.logger.Warn().Err(err).Msg("controller failed")
	}
	st.failing = err.Error()
}
