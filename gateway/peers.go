package gateway

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/evacuation"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/peer"
)

// startupGossipPeriod is how long a host gossips at the short interval after its
// start.
const startupGossipPeriod = 5 * time.Second

// digest returns the version and age of the configuration of a snapshot, and the position
// and age of its server list.
func (ga *Gateway) digest(snapshot *follow.Snapshot) peer.Digest {
	di := peer.Digest{
		Version:      snapshot.Version(),
		ListPosition: peer.ListPosition(snapshot.ListPosition),
		Evacuations:  snapshot.Evacuations,

		AcceptsForwards: ga.acceptsForwards(),
	}
	if !snapshot.ListPosition.IsZero() {
		di.ListAge = mp.Duration(ga.clock.Since(snapshot.ListConfirmedAt))
	}
	if di.Version > 0 {
		di.ConfigurationAge = mp.Duration(ga.clock.Since(snapshot.ConfigurationConfirmedAt))
	}
	return di
}

// StateFor implements peer.Delegate.
func (ga *Gateway) StateFor(other peer.State) peer.State {
	snapshot := ga.view.Load()
	local := peer.State{Digest: ga.digest(snapshot)}
	if mp.Position(other.ListPosition).Before(snapshot.ListPosition) {
		packed, err := snapshot.PackedServers()
		if err != nil {
			ga.logger.Error().Str("event", "server_list_not_sent").Err(err).Msg("cannot pack the list of servers for another host")
		}
		local.PackedServers = packed
	}
	return local
}

// MergeState implements peer.Delegate.
func (ga *Gateway) MergeState(at time.Time, remote peer.State) {
	ga.follower.ReportVersion(string(remote.From.Address), remote.Version)
	ga.mergeEvacuations(string(remote.From.Address), remote.Evacuations)
	ga.hearForwards(remote)
	snapshot := ga.view.Load()
	if remote.PackedServers != nil && snapshot.ListPosition.Before(mp.Position(remote.ListPosition)) {
		ga.mergeServers(at, remote)
	}
	ga.confirm(at, remote.Digest)
}

// mergeServers merges the list of servers that another host sent.
func (ga *Gateway) mergeServers(at time.Time, remote peer.State) {
	servers, err := directory.Unpack(remote.PackedServers)
	if err != nil {
		ga.logger.Error().Str("event", "server_list_refused").Str("peer", string(remote.From.Address)).
			Uint64("era", uint64(remote.ListPosition.Era)).Uint64("revision", uint64(remote.ListPosition.Revision)).Err(err).Msg("cannot read the list of servers of another host")
		return
	}
	ga.follower.MergeServers(at.Add(-remote.ListAge.Std()), mp.Position(remote.ListPosition), servers)
}

// refusedEvacuationsLogInterval is the shortest time between two log lines on lists of evacuated
// data centres that were refused: each load update may carry one.
const refusedEvacuationsLogInterval = 10 * time.Second

// mergeEvacuations merges the list of evacuated data centres of another host, if that is
// newer than the one here, or if this host has heard of no evacuation yet.
func (ga *Gateway) mergeEvacuations(host string, list *evacuation.List) {
	if list == nil {
		return
	}
	if known := ga.view.Load().Evacuations; known != nil && !known.Position.Before(list.Position) {
		return
	}
	if err := list.Check(); err != nil {
		now, loggedAt := ga.clock.Now(), ga.evacuationsRefusedAt.Load()
		if loggedAt != nil && now.Sub(*loggedAt) < refusedEvacuationsLogInterval || !ga.evacuationsRefusedAt.CompareAndSwap(loggedAt, &now) {
			return
		}
		ga.logger.Error().Str("event", "evacuations_refused").Str("peer", host).Err(err).Msg("list of evacuated data centres of another host refused")
		return
	}
	ga.follower.MergeEvacuations(*list)
}

// Configuration implements peer.Delegate.
func (ga *Gateway) Configuration() peer.Configuration {
	snapshot := ga.view.Load()
	return peer.Configuration{Version: snapshot.Version(), Compressed: snapshot.CompressedConfiguration}
}

// MergeConfiguration implements peer.Delegate.
func (ga *Gateway) MergeConfiguration(received peer.Configuration) {
	if received.Version > ga.view.Load().Version() {
		ga.follower.MergeConfiguration(received.Compressed)
	}
}

// confirm records another host's digest that was current at a time, if it confirms the
// list or the configuration of this host more than minConfirmAdvance later than known.
func (ga *Gateway) confirm(at time.Time, remote peer.Digest) {
	snapshot := ga.view.Load()
	co := follow.Confirmation{
		ListPosition:    mp.Position(remote.ListPosition),
		ListAt:          at.Add(-remote.ListAge.Std()),
		Version:         remote.Version,
		ConfigurationAt: at.Add(-remote.ConfigurationAge.Std()),
	}
	newList := !co.ListPosition.IsZero() && co.ListPosition == snapshot.ListPosition && co.ListAt.Sub(snapshot.ListConfirmedAt) > minConfirmAdvance
	newConfiguration := co.Version > 0 && co.Version == snapshot.Version() && co.ConfigurationAt.Sub(snapshot.ConfigurationConfirmedAt) > minConfirmAdvance
	if newList || newConfiguration {
		ga.follower.Confirm(co)
	}
}

// minConfirmAdvance is the minimum time by which a confirmation must be newer than the
// last one to be recorded.
const minConfirmAdvance = 100 * time.Millisecond

// FastGossip implements peer.Delegate.
func (ga *Gateway) FastGossip() bool {
	return ga.view.Load().Version() == 0 || ga.follower.NeedsPeers() || ga.clock.Since(ga.startedAt) < startupGossipPeriod
}

// LocalLoads implements peer.LoadDelegate. The broadcaster calls it in each round, so it
// also drops the expired updates of other hosts.
func (ga *Gateway) LocalLoads(peers int) (map[mp.ServerID]peer.Load, peer.Digest) {
	ga.observeHosts(peers + 1)
	knownHosts := ga.hearMembers()
	ga.brittle.line.wakeSome() // places become free with time, too
	ga.updateSpeeds(ga.clock.Now())
	ga.setForwardsInterval(peer.UpdateInterval(peers))
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	ga.loadTable.SetUpdateInterval(peer.UpdateInterval(peers))
	ga.brittleTracker.SetUpdateInterval(peer.UpdateInterval(peers))
	ga.loadTable.Expire(ga.clock.Now())
	digest := ga.digest(ga.view.Load())
	digest.KnownHosts = knownHosts
	return ga.outstandingLoads(), digest
}

// outstandingLoads returns the load that this host has outstanding at each backend
// server. The caller must hold placerMu.
func (ga *Gateway) outstandingLoads() map[mp.ServerID]peer.Load {
	loads := map[mp.ServerID]peer.Load{}
	for id, load := range ga.placer.Loads() {
		loads[id] = peer.Load(load)
	}
	return loads
}

// DataCentreLoads implements peer.LoadDelegate.
func (ga *Gateway) DataCentreLoads() (map[mp.ServerID]peer.Load, bool) {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	if ga.loadTable.HostOrder(ga.clock.Now()) > 0 {
		return nil, false
	}
	return ga.loadTable.DataCentreLoads(ga.outstandingLoads()), true
}

// ReceiveLoads implements peer.LoadDelegate.
func (ga *Gateway) ReceiveLoads(update peer.LoadUpdate) {
	now := ga.clock.Now()
	ga.placerMu.Lock()
	ga.loadTable.Add(now, update)
	ga.hearUpdate(now, update)
	changes := ga.hearBrittle(now, update)
	ga.mergeUsage(now, update)
	ga.mergeSpeeds(now, update)
	ga.placerMu.Unlock()
	ga.logBrittle(changes, string(update.Host))
	ga.overflow.receive(now, update)
	ga.peers.MarkSeen(update.From)
	ga.hearForwardsUpdate(now, update)
	ga.mergeSuspects(now, update.Host, update.Suspects)
	ga.mergeEvacuations(string(update.Host), update.Evacuations)
	if update.Aggregate && !ga.sharesReads {
		return
	}
	// Of an aggregate, only the host that relays it fetches what is newer: the others of
	// the data centre get it from there.
	if !update.Aggregate || update.Relay {
		ga.fetchNewer(update)
	}
	ga.confirm(now, update.Digest)
}

// fetchNewer requests what is newer at the sender of a load update.
func (ga *Gateway) fetchNewer(update peer.LoadUpdate) {
	snapshot := ga.view.Load()
	if update.Version > snapshot.Version() {
		ga.follower.ReportVersion(string(update.From.Address), update.Version)
		ga.peers.TriggerTransfer(update.From.Address)
	}
	if snapshot.ListPosition.Before(mp.Position(update.ListPosition)) {
		ga.peers.TriggerExchange(update.From.Address)
	}
}

// assumedReaderOrder is the position in the reader order that a host assumes while it
// doesn't know the other hosts yet.
const assumedReaderOrder = 4

// readerOrder returns the number of live hosts that read the store before this one does:
// hosts of its data centre and, if reads are shared between data centres, first hosts of
// others. A host that has just started and isn't a seed assumes that there are some: when
// all hosts restart, each of them knows no other for a while.
func (ga *Gateway) readerOrder() int {
	now := ga.clock.Now()
	ga.placerMu.Lock()
	order := ga.loadTable.HostOrder(now)
	if ga.sharesReads {
		order += ga.loadTable.DataCentreOrder(now)
	}
	ga.placerMu.Unlock()
	if ga.isStarting() {
		return max(order, assumedReaderOrder)
	}
	return order
}
