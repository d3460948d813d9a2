package gateway

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/peer"
)

// oldList is the age from which a list is worth asking other hosts for a newer
// one.
const oldList = 2500 * time.Millisecond

// Know implements peer.Brain.
func (ga *Gateway) Know(other peer.Knowledge) peer.Knowledge {
	snapshot := ga.view.Load()
	known := peer.Knowledge{Version: snapshot.Version(), ListRevision: snapshot.ListRevision, ListAge: -1}
	if !snapshot.ListAt.IsZero() {
		known.ListAge = mp.Duration(ga.clock.Since(snapshot.ListAt))
	}
	if other.Version < known.Version {
		known.Configuration = snapshot.Raw
	}
	if known.ListAge >= 0 && (other.ListAge < 0 || (other.ListAge.Std() > oldList && known.ListAge < other.ListAge)) {
		known.Servers = snapshot.Servers
	}
	return known
}

// Learn implements peer.Brain.
func (ga *Gateway) Learn(at time.Time, told peer.Knowledge) {
	if told.Configuration != nil && told.Version > ga.view.Load().Version() {
		ga.follower.OfferConfiguration(told.Configuration)
	}
	if told.Servers != nil && told.ListAge >= 0 {
		ga.follower.OfferServers(at.Add(-told.ListAge.Std()), told.ListRevision, told.Servers)
	}
}

// Urgent implements peer.Brain.
func (ga *Gateway) Urgent() bool {
	return ga.view.Load().Version() == 0 || ga.follower.Unavailable()
}

// ownLoads returns what this host has outstanding at the backend servers.
func (ga *Gateway) ownLoads() map[mp.ServerID]peer.Load {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	ga.sheets.Expire(ga.clock.Now())
	loads := map[mp.ServerID]peer.Load{}
	for id, unread := range ga.placer.Unread() {
		loads[id] = peer.Load{Unread: unread}
	}
	return loads
}

// takeSheet takes another host's loads.
func (ga *Gateway) takeSheet(sheet peer.Sheet) {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	ga.sheets.Add(ga.clock.Now(), sheet)
}
