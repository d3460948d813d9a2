package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// acceptTime is how long a stopping host goes on accepting: the balancer asks
	// each second and takes a host out after two refusals.
	acceptTime = 2800 * time.Millisecond
	// lastMoment is left of the time to stop when the host ends.
	lastMoment = 300 * time.Millisecond
)

// Drain is a graceful shutdown: the host says that it is not ready, accepts
// requests until the balancer has noticed, and finishes those in progress.
func (ga *Gateway) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ga.settings.StopTimeout.Std()-lastMoment)
	defer cancel()
	ga.stopping.Store(true)
	ga.logger.Info().Str("event", "stopping").Int64("in_flight", ga.inFlight.Load()).Msg("host stopping")
	select {
	case <-ga.clock.After(acceptTime):
	case <-ctx.Done():
	}
	ga.closing.Store(true)
	if err := ga.callers.Shutdown(ctx); err != nil {
		return errors.Annotatef(err, "%d requests were still in progress", ga.inFlight.Load())
	}
	ga.logger.Info().Str("event", "stopped").Msg("host drained")
	return nil
}
