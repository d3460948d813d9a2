package gateway

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/peer"
)

// gossipTime is how long after its start a host looks for others often.
const gossipTime = 5 * time.Second

// freshness says how new a snapshot is.
func (ga *Gateway) freshness(snapshot *follow.Snapshot) peer.Digest {
	fr := peer.Digest{Version: snapshot.Version(), ListRevision: snapshot.ListRevision}
	if fr.ListRevision > 0 {
		fr.ListAge = mp.Duration(ga.clock.Since(snapshot.ListConfirmedAt))
	}
	return fr
}

// StateFor implements peer.Brain.
func (ga *Gateway) StateFor(other peer.State) peer.State {
	snapshot := ga.view.Load()
	known := peer.State{Digest: ga.freshness(snapshot)}
	if other.Version < known.Version {
		known.Configuration = snapshot.RawConfiguration
	}
	if other.ListRevision < known.ListRevision {
		known.Servers = snapshot.Servers
	}
	return known
}

// MergeState implements peer.Brain.
func (ga *Gateway) MergeState(at time.Time, told peer.State) {
	snapshot := ga.view.Load()
	if told.Configuration != nil && told.Version > snapshot.Version() {
		ga.follower.MergeConfiguration(told.Configuration)
	}
	current := at.Add(-told.ListAge.Std())
	if told.Servers != nil && told.ListRevision > snapshot.ListRevision {
		ga.follower.MergeServers(current, told.ListRevision, told.Servers)
		return
	}
	ga.confirm(current, told.Digest)
}

// confirm notes that another host knows the same list to be current at a time.
func (ga *Gateway) confirm(current time.Time, told peer.Digest) {
	snapshot := ga.view.Load()
	if told.ListRevision == snapshot.ListRevision && told.ListRevision > 0 && current.Sub(snapshot.ListConfirmedAt) > confirmStep {
		ga.follower.ConfirmServers(current, told.ListRevision)
	}
}

// confirmStep is by how much a confirmation must be newer to be noted.
const confirmStep = 100 * time.Millisecond

// FastGossip implements peer.Brain.
func (ga *Gateway) FastGossip() bool {
	return ga.view.Load().Version() == 0 || ga.follower.StoreUnavailable() || ga.clock.Since(ga.startedAt) < gossipTime
}

// LocalLoads implements peer.Reporter.
func (ga *Gateway) LocalLoads() (map[mp.ServerID]peer.Load, peer.Digest) {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	ga.sheets.Expire(ga.clock.Now())
	return ga.ownLoads(), ga.freshness(ga.view.Load())
}

// ownLoads returns what this host has outstanding. The caller holds the lock.
func (ga *Gateway) ownLoads() map[mp.ServerID]peer.Load {
	loads := map[mp.ServerID]peer.Load{}
	for id, load := range ga.placer.Loads() {
		loads[id] = peer.Load(load)
	}
	return loads
}

// DataCentreLoads implements peer.Reporter.
func (ga *Gateway) DataCentreLoads() (map[mp.ServerID]peer.Load, bool) {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	if ga.sheets.Rank(ga.clock.Now()) > 0 {
		return nil, false
	}
	return ga.sheets.DataCentreLoads(ga.ownLoads()), true
}

// ReceiveLoads implements peer.Reporter.
func (ga *Gateway) ReceiveLoads(sheet peer.LoadUpdate) {
	now := ga.clock.Now()
	ga.placerMu.Lock()
	ga.sheets.Add(now, sheet)
	ga.placerMu.Unlock()
	if sheet.Aggregate {
		return
	}
	if sheet.NewerThan(ga.freshness(ga.view.Load())) {
		ga.peers.TriggerExchange(sheet.From.Address)
		return
	}
	ga.confirm(now.Add(-sheet.ListAge.Std()), sheet.Digest)
}

// rank returns how many live hosts of the data centre read the store before this
// one.
func (ga *Gateway) rank() int {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	return ga.sheets.Rank(ga.clock.Now())
}
