// Package pausewatch is the control step that notices when the host was paused,
// so that later steps don't act on what they knew before.
package pausewatch

import (
	"time"

	"github.com/mangopaddle/mangopaddle/blackboard"
)

// DefaultThreshold is the gap between two passes that counts as a pause.
const DefaultThreshold = 2 * time.Second

// Controller notices pauses.
type Controller struct {
	// Threshold is the gap between two passes that counts as a pause.
	Threshold time.Duration

	last time.Time
}

// New returns the controller.
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

// Run compares the time with the last pass, by the wall clock and by the
// monotonic clock: the first one also counts a suspended machine.
func (co *Controller) Run(bo *blackboard.Board) error {
	last := co.last
	co.last = bo.Now
	if last.IsZero() {
		return nil
	}
	gap := max(bo.Now.Sub(last), bo.Now.Round(0).Sub(last.Round(0)))
	if gap > co.Threshold {
		bo.PauseCount++
		bo.LastPauseAt = bo.Now
	}
	return nil
}
