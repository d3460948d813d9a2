package control

import (
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mangopaddle/mangopaddle/blackboard"
)

// step runs a controller and counts its errors. It logs the first of several equal
// errors in a row, and the recovery.
type step struct {
	controller Controller
	logger     zerolog.Logger
	errors     tally.Counter
	lastError  string // empty after a success
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
		if st.lastError != "" {
			st.logger.Info().Msg("controller recovered")
		}
		st.lastError = ""
		return
	}
	st.errors.Inc(1)
	if err.Error() != st.lastError {
		st.logger.Warn().Err(err).Msg("controller failed")
	}
	st.lastError = err.Error()
}
