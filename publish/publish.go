// Package publish is the last control step: it gives requests a new snapshot of
// the board and the scheduler its engines.
package publish

import (
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
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
	if !bo.Changed || bo.Config == nil {
		return nil
	}
	bo.Changed = false
	co.pool.Configure(engines(bo), bo.Hosts)
	co.view.Store(blackboard.NewSnapshot(bo))
	return nil
}

// engines returns the fleet's engines as the scheduler sees them.
func engines(bo *blackboard.Board) []schedule.Engine {
	fleet := &bo.Config.Fleet
	list := make([]schedule.Engine, 0, len(fleet.Engines))
	for ix := range fleet.Engines {
		en := &fleet.Engines[ix]
		list = append(list, schedule.Engine{
			ID:       en.Name,
			Models:   en.Models,
			Slots:    en.Slots,
			Distance: distance(bo, en),
			Leaving:  bo.LeavingServers[string(en.Name)],
		})
	}
	return list
}

func distance(bo *blackboard.Board, en *config.Engine) schedule.Distance {
	fleet := &bo.Config.Fleet
	switch {
	case en.DataCentre == bo.DataCentre:
		return schedule.SameDataCentre
	case fleet.RegionOf(en.DataCentre) == fleet.RegionOf(bo.DataCentre):
		return schedule.SameRegion
	default:
		return schedule.OtherRegion
	}
}
