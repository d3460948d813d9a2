package follow

import (
	"context"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform"
)

// runList lists the backend servers at an interval. The store's position in the
// response shows whether the configuration may have changed as well.
func (fo *Follower) runList(ctx context.Context) {
	var configPosition mp.Position // position of the store at which the configuration was read
	failures := 0
	for ctx.Err() == nil {
		position, err := fo.listOnce(ctx, configPosition)
		configPosition = position
		if errors.Is(err, platform.ErrRestored) {
			// The store answers, but was restored between two calls.
			fo.sleep(ctx, fo.listInterval/minListSpacing)
			fo.Refresh()
		} else if err != nil {
			failures++
			fo.recordFailure("list", err)
			fo.submit(func(st *state) bool {
				st.directory.RecordFailure(fo.clock.Now())
				return false
			})
			fo.backoff(ctx, fo.readerOrder(), failures)
		} else {
			failures = 0
			fo.recordSuccess("list")
		}
		fo.waitForList(ctx, failures)
	}
}

// waitForList waits until the next list call is due or requested, after a number of
// consecutive failed ones.
func (fo *Follower) waitForList(ctx context.Context, failures int) {
	// A list of an older revision, which a lagging replica of the store may return, does
	// not make this host's list any younger.
	calledAt := fo.clock.Now()
	for {
		wait := fo.readPlan().UntilList(fo.readerOrder(), failures, fo.clock.Since(fo.view.Load().ConfirmedAt()))
		wait = max(wait, fo.listInterval/minListSpacing-fo.clock.Since(calledAt))
		if wait <= 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-fo.relist:
			return
		case <-fo.clock.After(max(wait, minListDelay)):
		}
	}
}

func (fo *Follower) readPlan() ReadPlan { return ReadPlan{ListInterval: fo.listInterval} }

// listOnce reads the server list, and the configuration if the store has changed
// since the given position. It returns the position at which the configuration was
// read last. Only once both are read, in the same era, the host counts as current and the
// watch goes on from there.
func (fo *Follower) listOnce(ctx context.Context, configPosition mp.Position) (mp.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	defer cancel()
	requestedAt := fo.clock.Now()
	servers, err := fo.store.List(ctx, platform.ServersPrefix)
	if err != nil {
		fo.announceList()
		return configPosition, errors.Trace(err)
	}
	fo.submit(func(st *state) bool { return st.replaceServers(requestedAt, servers) })
	fo.announceList()
	if configPosition.Before(servers.Position) {
		page, err := fo.store.List(ctx, platform.OperatorPrefix)
		if err != nil {
			return configPosition, errors.Trace(err)
		}
		// A request that waits for the first configuration must find the evacuations.
		fo.replaceEvacuations(requestedAt, page)
		fo.applyConfigurationFrom(page)
		if page.Position.Era != servers.Position.Era {
			return configPosition, errors.Annotatef(platform.ErrRestored, "era %d of the configuration, %d of the servers", page.Position.Era, servers.Position.Era)
		}
		configPosition = page.Position
	}
	fo.advanceWatch(servers.Position)
	fo.submit(func(st *state) bool {
		st.confirmConfigurationAsOf(requestedAt, servers.Position)
		return false
	})
	return configPosition, nil
}
