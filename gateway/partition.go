package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/background"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/partition"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/placement"
)

const (
	// partitionProbeTimeout bounds the probe of one server, which may take several dials.
	partitionProbeTimeout = 500 * time.Millisecond
	// minHungDial is how long a dial must have taken to count as failed although its request
	// ended first.
	minHungDial = 200 * time.Millisecond
)

// partitionMonitor finds out whether this host is partitioned from all backend servers. It
// probes them on a goroutine of its own.
type partitionMonitor struct {
	clock    clockwork.Clock
	logger   zerolog.Logger
	backends *backend.Pool
	view     *follow.View
	counters *counters
	// partitioned is what the detector says.
	partitioned atomic.Bool
	wake        chan struct{}

	mu       sync.Mutex
	detector *partition.Detector
}

// newPartitionMonitor starts a monitor and returns it with a function that stops it.
func newPartitionMonitor(clock clockwork.Clock, logger zerolog.Logger, backends *backend.Pool, view *follow.View, counters *counters) (*partitionMonitor, func()) {
	pm := &partitionMonitor{
		clock: clock, logger: logger, backends: backends, view: view, counters: counters,
		wake:     make(chan struct{}, 1),
		detector: partition.New(newRandom()),
	}
	return pm, background.Run(pm.run)
}

// newRandom returns a random source with a random seed.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// run probes servers when the detector asks for it, until it is stopped.
func (pm *partitionMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		pm.await(ctx)
		servers := pm.dueProbes()
		if len(servers) == 0 {
			continue
		}
		connected, failed := pm.probe(ctx, servers)
		if ctx.Err() == nil {
			pm.recordProbes(connected, failed)
		}
	}
}

// await waits until probes may be due.
func (pm *partitionMonitor) await(ctx context.Context) {
	pm.mu.Lock()
	wait, due := pm.detector.NextProbe(pm.clock.Now())
	pm.mu.Unlock()
	var expired <-chan time.Time
	if due {
		timer := pm.clock.NewTimer(wait)
		defer timer.Stop()
		expired = timer.Chan()
	}
	select {
	case <-ctx.Done():
	case <-pm.wake:
	case <-expired:
	}
}

// dueProbes returns the servers to probe now.
func (pm *partitionMonitor) dueProbes() []partition.Server {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	return pm.detector.Probes(pm.clock.Now())
}

// probe probes servers at once. It returns which of them accept connections and which don't.
func (pm *partitionMonitor) probe(ctx context.Context, servers []partition.Server) (connected, failed []mp.ServerID) {
	ctx, cancel := context.WithTimeout(ctx, partitionProbeTimeout)
	defer cancel()
	errs := make([]error, len(servers))
	var group sync.WaitGroup
	for ix, se := range servers {
		group.Go(func() { errs[ix] = pm.backends.Probe(ctx, se.Address) })
	}
	group.Wait()
	for ix, se := range servers {
		if errs[ix] != nil {
			failed = append(failed, se.ID)
			continue
		}
		connected = append(connected, se.ID)
	}
	return connected, failed
}

// recordProbes records the results of a round of probes.
func (pm *partitionMonitor) recordProbes(connected, failed []mp.ServerID) {
	pm.counters.countPartitionProbes("connected", len(connected))
	pm.counters.countPartitionProbes("failed", len(failed))
	now := pm.clock.Now()
	pm.change(now, func() partition.Change { return pm.detector.RecordProbes(now, connected, failed) })
}

// setServers replaces the servers that may be probed.
func (pm *partitionMonitor) setServers(placed []placement.Server) {
	servers := make([]partition.Server, 0, len(placed))
	for _, se := range placed {
		if !se.Evacuated {
			servers = append(servers, partition.Server{ID: se.ID, Service: se.Service, DataCentre: se.DataCentre, Address: se.Address})
		}
	}
	now := pm.clock.Now()
	pm.change(now, func() partition.Change { return pm.detector.SetServers(now, servers) })
}

// recordDial records how the dial of an attempt ended, unless it was to another host. A failure
// counts unless the request ended soon after the dial began.
func (pm *partitionMonitor) recordDial(ctx context.Context, at *attempt, err error) {
	if at.choice.Server.IsHost {
		return
	}
	now := pm.clock.Now()
	if err != nil && ctx.Err() != nil && now.Sub(at.startedAt) < minHungDial {
		return
	}
	id := at.choice.Server.ID
	if err != nil {
		pm.recordFailure(id)
		return
	}
	pm.change(now, func() partition.Change { return pm.detector.RecordConnection(now, id) })
}

// recordFailure records that a server could not be reached.
func (pm *partitionMonitor) recordFailure(id mp.ServerID) {
	now := pm.clock.Now()
	pm.change(now, func() partition.Change { return pm.detector.RecordFailure(now, id) })
}

// change passes something new to the detector, and logs and counts what changes.
func (pm *partitionMonitor) change(now time.Time, record func() partition.Change) {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	before := pm.detector.Status()
	ch := record()
	if ch == partition.None {
		return
	}
	pm.partitioned.Store(pm.detector.IsPartitioned())
	pm.counters.countPartitionChange(ch)
	pm.log(now, ch, before)
	select {
	case pm.wake <- struct{}{}:
	default:
	}
}

// log logs a change with what it was based on.
func (pm *partitionMonitor) log(now time.Time, ch partition.Change, before partition.Status) {
	after := pm.detector.Status()
	st, level := before, zerolog.InfoLevel
	event, message := "", ""
	switch ch {
	case partition.Suspected:
		event, message, st = "partition_suspected", "cannot connect to several servers; probing others", after
	case partition.Dismissed:
		event, message = "partition_dismissed", "servers accept connections"
	case partition.Begun:
		event, message, level = "partitioned", "no server accepts connections from this host", zerolog.WarnLevel
	case partition.Ended:
		event, message = "partition_ended", "servers accept connections again"
	case partition.None:
		return
	}
	line := pm.logger.WithLevel(level).Str("event", event).Int("servers", after.Servers).Int("failed", st.Failed).
		Int("connected", st.Connected).Dur("list_age_ms", now.Sub(pm.view.Load().ListConfirmedAt))
	if !st.FailingSince.IsZero() {
		line = line.Dur("failing_ms", now.Sub(st.FailingSince))
	}
	if !before.Since.IsZero() {
		line = line.Dur("lasted_ms", now.Sub(before.Since))
	}
	line.Msg(message)
}

// WithForwardPeers sets a function that takes the place of the host's own search for partitions:
// while it returns other hosts, this one is partitioned and forwards requests to them.
func WithForwardPeers(forwardPeers func() []peer.Address) Option {
	return func(ga *Gateway) { ga.forwardPeersFunc = forwardPeers }
}

// isPartitioned reports whether this host is partitioned from all backend servers.
func (ga *Gateway) isPartitioned() bool {
	if ga.forwardPeersFunc != nil {
		return len(ga.forwardPeersFunc()) > 0
	}
	return ga.partition.partitioned.Load()
}

// acceptsForwards reports whether this host accepts requests that partitioned hosts forward.
func (ga *Gateway) acceptsForwards() bool {
	return ga.settings.ForwardAddress != "" && ga.Ready() && !ga.isPartitioned()
}

// forwardPeers returns the hosts that accept forwards: those of this data centre first, then
// those of the same region, and at random among these.
func (ga *Gateway) forwardPeers() []peer.Address {
	if ga.forwardPeersFunc != nil {
		return ga.forwardPeersFunc()
	}
	ga.forwardTableMu.Lock()
	defer ga.forwardTableMu.Unlock()
	return ga.forwardTable.Hosts(ga.clock.Now(), func(dc mp.DataCentreID) int { return int(ga.distance(dc)) })
}

// listedForwards returns the hosts for an aggregate that accept forwards.
func (ga *Gateway) listedForwards() []peer.Address {
	ga.forwardTableMu.Lock()
	defer ga.forwardTableMu.Unlock()
	return ga.forwardTable.Listed(ga.clock.Now(), ga.acceptsForwards())
}

// hearForwards records whether another host accepts forwards, from an exchange.
func (ga *Gateway) hearForwards(remote peer.State) {
	ga.forwardTableMu.Lock()
	defer ga.forwardTableMu.Unlock()
	ga.forwardTable.Add(ga.clock.Now(), remote.From, remote.Digest)
}

// hearForwardsUpdate records what a load update tells of hosts that accept forwards.
func (ga *Gateway) hearForwardsUpdate(now time.Time, update peer.LoadUpdate) {
	ga.forwardTableMu.Lock()
	defer ga.forwardTableMu.Unlock()
	ga.forwardTable.AddUpdate(now, update)
}

// setForwardsInterval sets the interval of load updates, and drops hosts without a recent one.
func (ga *Gateway) setForwardsInterval(interval time.Duration) {
	ga.forwardTableMu.Lock()
	defer ga.forwardTableMu.Unlock()
	ga.forwardTable.SetUpdateInterval(interval)
	ga.forwardTable.Expire(ga.clock.Now())
}
