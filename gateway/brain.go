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
func (ga *Gateway) freshness(snapshot *follow.Snapshot) peer.Freshness {
	fr := peer.Freshness{Version: snapshot.Version(), ListRevision: snapshot.ListRevision}
	if fr.ListRevision > 0 {
		fr.ListAge = mp.Duration(ga.clock.Since(snapshot.ListAt))
	}
	return fr
}

// Know implements peer.Brain.
func (ga *Gateway) Know(other peer.Knowledge) peer.Knowledge {
	snapshot := ga.view.Load()
	known := peer.Knowledge{Freshness: ga.freshness(snapshot)}
	if other.Version < known.Version {
		known.Configuration = snapshot.Raw
	}
	if other.ListRevision < known.ListRevision {
		known.Servers = snapshot.Servers
	}
	return known
}

// Learn implements peer.Brain.
func (ga *Gateway) Learn(at time.Time, told peer.Knowledge) {
	snapshot := ga.view.Load()
	if told.Configuration != nil && told.Version > snapshot.Version() {
		ga.follower.OfferConfiguration(told.Configuration)
	}
	current := at.Add(-told.ListAge.Std())
	if told.Servers != nil && told.ListRevision > snapshot.ListRevision {
		ga.follower.OfferServers(current, told.ListRevision, told.Servers)
		return
	}
	ga.confirm(current, told.Freshness)
}

// confirm notes that another host knows the same list to be current at a time.
func (ga *Gateway) confirm(current time.Time, told peer.Freshness) {
	snapshot := ga.view.Load()
	if told.ListRevision == snapshot.ListRevision && told.ListRevision > 0 && current.Sub(snapshot.ListAt) > confirmStep {
		ga.follower.ConfirmServers(current, told.ListRevision)
	}
}

// confirmStep is by how much a confirmation must be newer to be noted.
const confirmStep = 100 * time.Millisecond

// Urgent implements peer.Brain.
func (ga *Gateway) Urgent() bool {
	return ga.view.Load().Version() == 0 || ga.follower.Unavailable() || ga.clock.Since(ga.startedAt) < gossipTime
}

// Report implements peer.Reporter.
func (ga *Gateway) Report() (map[mp.ServerID]peer.Load, peer.Freshness) {
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

// ReportWhole implements peer.Reporter.
func (ga *Gateway) ReportWhole() (map[mp.ServerID]peer.Load, bool) {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	if ga.sheets.Rank(ga.clock.Now()) > 0 {
		return nil, false
	}
	return ga.sheets.Sum(ga.ownLoads()), true
}

// Received implements peer.Reporter.
func (ga *Gateway) Received(sheet peer.Sheet) {
	now := ga.clock.Now()
	ga.placerMu.Lock()
	ga.sheets.Add(now, sheet)
	ga.placerMu.Unlock()
	if sheet.Whole {
		return
	}
	if sheet.Newer(ga.freshness(ga.view.Load())) {
		ga.peers.Ask(sheet.From.Address)
		return
	}
	ga.confirm(now.Add(-sheet.ListAge.Std()), sheet.Freshness)
}

// rank returns how many live hosts of the data centre read the store before this
// one.
func (ga *Gateway) rank() int {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	return ga.sheets.Rank(ga.clock.Now())
}
