// Package follow replicates the platform's state to a host of the gateway: the
// operator's configuration and the list of backend servers. It reads them from the
// platform's store with periodic list calls and a watch, and merges what peers
// report, which is the only source while the store is unavailable to this host.
//
// The live hosts of a data centre have an order in which they read the store, the
// reader order. The first one reads it for the others; these read it only if they
// receive no current data from peers.
package follow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/evacuation"
	"github.com/mangopaddle/mangopaddle/routing"
)

// Snapshot is an immutable copy of the replicated state.
type Snapshot struct {
	// Table is the routing table; nil before the first configuration.
	Table *routing.Table
	// CompressedConfiguration is the configuration as the operator published it,
	// compressed by package compression.
	CompressedConfiguration []byte
	// Servers are the listed backend servers, ordered by identifier.
	Servers []directory.Server
	// Evacuated are the data centres whose servers get no new requests, sorted.
	Evacuated []mp.DataCentreID
	// Evacuations is their list as of the store, for other hosts; nil for none.
	Evacuations *evacuation.List
	packed      *packedServers
	// ListPosition is the position of the server list in the store's history; zero for
	// none.
	ListPosition mp.Position
	// ListConfirmedAt is the last time at which the server list is known to have
	// matched the store.
	ListConfirmedAt time.Time
	// ListReadAt is when this host last asked the store for the whole list; zero for never.
	// All servers that were listed by then are in the list, or have left it since.
	ListReadAt time.Time
	// ListGapEndedAt is the time before which servers may have come and gone unnoticed: the list
	// wasn't confirmed for the longest gap, or the store has come back from a copy. It is zero
	// for never, and may be ahead.
	ListGapEndedAt time.Time
	// ConfigurationConfirmedAt is the same for the configuration.
	ConfigurationConfirmedAt time.Time
}

// PackedServers returns the servers that the store lists, without retained ones, in the
// form in which hosts send them to each other.
func (sn *Snapshot) PackedServers() ([]byte, error) {
	if sn.packed == nil {
		return nil, errors.NotFoundf("list of servers")
	}
	return sn.packed.bytes()
}

// ConfirmedAt returns the last time at which both the configuration and the server list
// are known to have matched the store.
func (sn *Snapshot) ConfirmedAt() time.Time {
	if sn.ConfigurationConfirmedAt.Before(sn.ListConfirmedAt) {
		return sn.ConfigurationConfirmedAt
	}
	return sn.ListConfirmedAt
}

// Version returns the version of the configuration, zero for none.
func (sn *Snapshot) Version() mp.Version {
	if sn.Table == nil {
		return 0
	}
	return sn.Table.Version
}

// View holds the newest snapshot. It is safe for concurrent use.
type View struct {
	snapshot  atomic.Pointer[Snapshot]
	ready     chan struct{} // closed once a configuration is loaded
	readyOnce sync.Once
}

// NewView returns a view of an empty snapshot.
func NewView() *View {
	vi := &View{ready: make(chan struct{})}
	vi.snapshot.Store(&Snapshot{})
	return vi
}

// Load returns the newest snapshot. It is never nil.
func (vi *View) Load() *Snapshot { return vi.snapshot.Load() }

// Ready returns a channel that is closed when the first configuration is
// loaded.
func (vi *View) Ready() <-chan struct{} { return vi.ready }

func (vi *View) store(sn *Snapshot) {
	vi.snapshot.Store(sn)
	if sn.Table != nil {
		vi.readyOnce.Do(func() { close(vi.ready) })
	}
}
