// Package configapply is the controller that validates the published configuration
// sets that package configwatch posts, and applies them. It applies only those of
// a later position, and each atomically.
package configapply

import (
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
)

// Controller validates and applies the pending configuration set.
type Controller struct {
	decoder  *config.Decoder
	logger   zerolog.Logger
	revision tally.Gauge
	refused  tally.Counter
	stale    tally.Counter
}

// New returns the controller. It reports the current revision and the numbers of
// refused and stale sets to the scope.
func New(decoder *config.Decoder, logger zerolog.Logger, scope tally.Scope) *Controller {
	return &Controller{
		decoder:  decoder,
		logger:   logger,
		revision: scope.Gauge("config_revision"),
		refused:  scope.Counter("config_refused"),
		stale:    scope.Counter("config_stale_offers"),
	}
}

// Name implements mangopaddle.Controller.
func (*Controller) Name() string { return "configapply" }

// Defaults implements mangopaddle.Controller.
func (*Controller) Defaults() {}

// Run applies the pending set, refuses it if it is invalid, or drops it if its
// position is not after the current one. An invalid set is not an error.
func (co *Controller) Run(bo *blackboard.Board) error {
	pending := bo.PendingConfig
	bo.PendingConfig = nil
	if pending == nil {
		return nil
	}
	if bo.Config != nil && !bo.Config.Position.Before(pending.Position) {
		co.stale.Inc(1)
		return nil
	}
	set, faults := co.decoder.Decode(pending.Position, pending.Values)
	if set == nil {
		co.refuse(bo, pending, faults)
		return nil
	}
	co.apply(bo, set)
	return nil
}

// refuse records the faults of an invalid set. It counts and logs repeated refusals of
// one position once.
func (co *Controller) refuse(bo *blackboard.Board, pending *blackboard.PendingConfig, faults config.Faults) {
	repeated := bo.RefusedConfig != nil && bo.RefusedConfig.Position == pending.Position
	bo.RefusedConfig = &blackboard.RefusedConfig{Position: pending.Position, Faults: faults, At: bo.Now}
	if repeated {
		return
	}
	co.refused.Inc(1)
	co.logger.Error().
		Uint64("era", uint64(pending.Position.Era)).Uint64("revision", uint64(pending.Position.Revision)).
		Err(errors.Trace(faults)).
		Msg("invalid configuration refused; keeping the current one")
}

func (co *Controller) apply(bo *blackboard.Board, set *config.Set) {
	bo.Config = set
	bo.ConfigAppliedAt = bo.Now
	bo.RefusedConfig = nil
	bo.SnapshotStale = true
	co.revision.Update(float64(set.Position.Revision))
	co.logger.Info().
		Uint64("era", uint64(set.Position.Era)).Uint64("revision", uint64(set.Position.Revision)).
		Int("contracts", len(set.Contracts)).
		Int("engines", len(set.Fleet.Engines)).
		Msg("configuration applied")
}
