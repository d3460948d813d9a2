// Package publish is the last controller of the control loop. It passes a new snapshot
// of the blackboard to the request path, and the current engines to the scheduler pool.
// The published configuration set is another matter: packages configwatch and
// configapply bring it to the board.
package publish

import (
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/pool"
	"github.com/mangopaddle/mangopaddle/schedule"
)

// Controller publishes the blackboard.
type Controller struct {
	view *blackboard.View
	pool *pool.Pool
}

// New returns a controller that publishes to a view and a scheduler pool.
func New(view *blackboard.View, po *pool.Pool) *Controller {
	return &Controller{view: view, pool: po}
}

// Name implements mangopaddle.Controller.
func (*Controller) Name() string { return "publish" }

// Defaults implements mangopaddle.Controller.
func (*Controller) Defaults() {}

// Run publishes the blackboard if its snapshot is out of date. It does nothing before
// the first configuration.
func (co *Controller) Run(bo *blackboard.Board) error {
	if !bo.SnapshotStale || bo.Config == nil {
		return nil
	}
	bo.SnapshotStale = false
	engines := schedule.EnginesOf(&bo.Config.Fleet, bo.DataCentre, bo.DrainingServers)
	co.pool.Configure(engines, bo.LiveRegionHosts)
	co.view.Store(blackboard.NewSnapshot(bo))
	return nil
}
