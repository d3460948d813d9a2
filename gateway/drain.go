package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// lameDuckPeriod is how long a draining host keeps accepting requests after it
	// reports that it is not ready. The load balancer checks readiness every second and
	// removes a host after two failed checks.
	lameDuckPeriod = 2800 * time.Millisecond
	// stopReserve is the part of the stop timeout that is kept for the process to
	// exit.
	stopReserve = 300 * time.Millisecond
	// answerReserve is the part of the stop timeout before that in which requests that are
	// still in flight get their final response.
	answerReserve = 150 * time.Millisecond
)

// Drain shuts the host down gracefully: it reports itself as not ready, keeps
// accepting requests until the load balancer has removed it, and then waits for the
// requests in flight. A request that is expected to outlast the stop is refused. Until all
// have ended Drain goes on accepting connections and refuses their requests: closing the
// listener would reset the connections that it has not accepted yet. Requests that are left
// when the stop timeout is about to run out get their final response. Drain returns an error
// if some are left even then, or when ctx ends.
func (ga *Gateway) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ga.settings.StopTimeout.Std()-stopReserve)
	defer cancel()
	inTime := ga.settings.StopTimeout.Std() - stopReserve - answerReserve
	ga.endsAt.Store(ga.clock.Now().Add(inTime).UnixNano())
	ga.draining.Store(true)
	defer ga.clock.AfterFunc(inTime, ga.endRequests).Stop()
	ga.logger.Info().Str("event", "stopping").Int64("in_flight", ga.inFlight.Load()).Msg("draining host")
	select {
	case <-ga.clock.After(lameDuckPeriod):
	case <-ctx.Done():
	}
	ga.refusing.Store(true)
	if err := ga.drainServers(ctx); err != nil {
		return errors.Annotatef(err, "%d requests still in flight at shutdown", ga.inFlight.Load())
	}
	ga.logger.Info().Str("event", "stopped").Msg("host drained")
	return nil
}

// drainServers drains the servers for callers and for other hosts' requests.
func (ga *Gateway) drainServers(ctx context.Context) error {
	busy := func() bool { return ga.inFlight.Load() > 0 }
	err := ga.callerServer.Drain(ctx, busy)
	if ga.forwardServer == nil {
		return errors.Trace(err)
	}
	if forwardErr := ga.forwardServer.Drain(ctx, busy); err == nil {
		err = forwardErr
	}
	return errors.Trace(err)
}

// stopRefusal returns the reason not to send a request to a server because this host stops
// before its response is expected to be complete, or nil. Requests that may be repeated are
// sent if half of them would be in time: their callers can go on elsewhere.
func (ga *Gateway) stopRefusal(re *request) *mp.Error {
	if !ga.draining.Load() {
		return nil
	}
	mean, most := ga.durations.expect(re.route.Name)
	left := time.Unix(0, ga.endsAt.Load()).Sub(ga.clock.Now())
	needed := most
	if re.repeatable() {
		needed = mean
	}
	if needed <= left {
		return nil
	}
	return mp.NewError(mp.KindStopping, "this host stops in %v and such requests take %v, %v in the mean", left, most, mean)
}
