// Package pausewatch is the controller that detects pauses of the host, in which no
// controller ran and the data on the board became outdated. Operators see the pauses in
// the state of the host.
package pausewatch

import (
	"time"

	"github.com/mangopaddle/mangopaddle/blackboard"
)

// DefaultThreshold is the default of Controller.Threshold.
const DefaultThreshold = 2 * time.Second

// Controller detects pauses and records them on the board.
type Controller struct {
	// Threshold is the time between two passes of the control loop above which the
	// host is taken to have been paused.
	Threshold time.Duration

	lastPass time.Time
}

// New returns a controller. Defaults must be called before Run.
func New() *Controller {
	return &Controller{}
}

// Name implements mangopaddle.Controller.
func (*Controller) Name() string { return "pausewatch" }

// Defaults implements mangopaddle.Controller.
func (co *Controller) Defaults() {
	if co.Threshold == 0 {
		co.Threshold = DefaultThreshold
	}
}

// Run records a pause if the time since the last pass exceeds the threshold. It checks
// both clocks, because the wall clock advances while the machine is suspended and the
// monotonic clock does not.
func (co *Controller) Run(bo *blackboard.Board) error {
	lastPass := co.lastPass
	co.lastPass = bo.Now
	if lastPass.IsZero() {
		return nil
	}
	gap := max(bo.Now.Sub(lastPass), bo.Now.Round(0).Sub(lastPass.Round(0)))
	if gap > co.Threshold {
		bo.PauseCount++
		bo.LastPauseAt = bo.Now
	}
	return nil
}
