package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// lameDuckPeriod is how long a draining host keeps accepting requests after it
	// reports that it is not ready. The load balancer checks readiness every second and
	// removes a host after two failed checks.
	lameDuckPeriod = 2800 * time.Millisecond
	// stopReserve is the part of the stop timeout that is kept for the process to
	// exit.
	stopReserve = 300 * time.Millisecond
)

// Drain shuts the host down gracefully: it reports itself as not ready, keeps
// accepting requests until the load balancer has removed it, and then waits for the
// requests in flight. Until these have ended it goes on accepting connections and refuses
// their requests: closing the listener would reset the connections that it has not
// accepted yet. Drain returns an error if requests are left when ctx ends or the stop
// timeout is about to run out.
func (ga *Gateway) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ga.settings.StopTimeout.Std()-stopReserve)
	defer cancel()
	ga.draining.Store(true)
	ga.logger.Info().Str("event", "stopping").Int64("in_flight", ga.inFlight.Load()).Msg("draining host")
	select {
	case <-ga.clock.After(lameDuckPeriod):
	case <-ctx.Done():
	}
	ga.refusing.Store(true)
	if err := ga.callerServer.Drain(ctx, func() bool { return ga.inFlight.Load() > 0 }); err != nil {
		return errors.Annotatef(err, "%d requests still in flight at shutdown", ga.inFlight.Load())
	}
	ga.logger.Info().Str("event", "stopped").Msg("host drained")
	return nil
}
