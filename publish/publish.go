// Package publish is the last control step: it gives requests a new snapshot of
// the board and the scheduler its engines.
package publish

import (
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/pool"
	"github.com/mangopaddle/mangopaddle/schedule"
)

// Controller publishes the board.
type Controller struct {
	view *blackboard.View
	pool *pool.Pool
}

// New returns the controller.
func New(view *blackboard.View, po *pool.Pool) *Controller {
	return &Controller{view: view, pool: po}
}

// Name implements mangopaddle.Controller.
func (*Controller) Name() string { return "publish" }

// Defaults implements mangopaddle.Controller.
func (*Controller) Defaults() {}

// Run publishes a changed board.
func (co *Controller) Run(bo *blackboard.Board) error {
	if !bo.SnapshotStale || bo.Config == nil {
		return nil
	}
	bo.SnapshotStale = false
	engines := schedule.EnginesOf(&bo.Config.Fleet, bo.DataCentre, bo.LeavingServers)
	co.pool.Configure(engines, bo.LiveHosts)
	co.view.Store(blackboard.NewSnapshot(bo))
	return nil
}
