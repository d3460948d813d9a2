// Package configapply is the control step that judges published configuration
// sets: it applies only newer revisions, and each as a whole or not at all.
package configapply

import (
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
)

// Controller applies configuration sets.
type Controller struct {
	decoder  *config.Decoder
	logger   zerolog.Logger
	revision tally.Gauge
	refused  tally.Counter
	stale    tally.Counter
}

// New returns the controller.
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

// Run judges the offered set.
func (co *Controller) Run(bo *blackboard.Board) error {
	offer := bo.PendingConfig
	bo.PendingConfig = nil
	if offer == nil {
		return nil
	}
	if bo.Config != nil && offer.Revision <= bo.Config.Revision {
		co.stale.Inc(1)
		return nil
	}
	set, faults := co.decoder.Decode(offer.Revision, offer.Values)
	if set == nil {
		co.refuse(bo, offer, faults)
		return nil
	}
	co.apply(bo, set)
	return nil
}

func (co *Controller) refuse(bo *blackboard.Board, offer *blackboard.PendingConfig, faults config.Faults) {
	known := bo.RefusedConfig != nil && bo.RefusedConfig.Revision == offer.Revision
	bo.RefusedConfig = &blackboard.RefusedConfig{Revision: offer.Revision, Faults: faults, At: bo.Now}
	if known {
		return
	}
	co.refused.Inc(1)
	co.logger.Error().
		Uint64("revision", uint64(offer.Revision)).
		Err(errors.Trace(faults)).
		Msg("configuration refused; the running one stays in force")
}

func (co *Controller) apply(bo *blackboard.Board, set *config.Set) {
	bo.Config = set
	bo.ConfigAppliedAt = bo.Now
	bo.RefusedConfig = nil
	bo.SnapshotStale = true
	co.revision.Update(float64(set.Revision))
	co.logger.Info().
		Uint64("revision", uint64(set.Revision)).
		Int("contracts", len(set.Contracts)).
		Int("engines", len(set.Fleet.Engines)).
		Msg("configuration in force")
}
