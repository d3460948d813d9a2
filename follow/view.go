// Package follow keeps what a host believes of the platform: the configuration
// in force and the list of backend servers, from the platform's store or, while
// the store does not answer this host, from other hosts.
package follow

import (
	"sync"
	"sync/atomic"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/routing"
)

// Snapshot is what a host believes at one moment. It is immutable.
type Snapshot struct {
	// Table routes requests; nil before the first configuration.
	Table *routing.Table
	// RawConfiguration is the configuration as the operator wrote it.
	RawConfiguration []byte
	// Servers are the listed backend servers.
	Servers []directory.Server
	// ListRevision is the store's revision of the list.
	ListRevision mp.Revision
	// ListConfirmedAt is when the list was last known to be current.
	ListConfirmedAt time.Time
}

// Version returns the version of the configuration in force, zero for none.
func (sn *Snapshot) Version() mp.Version {
	if sn.Table == nil {
		return 0
	}
	return sn.Table.Version
}

// View holds the newest snapshot.
type View struct {
	snapshot atomic.Pointer[Snapshot]
	ready    chan struct{} // closed with the first configuration
	once     sync.Once
}

// NewView returns a view of an empty snapshot.
func NewView() *View {
	vi := &View{ready: make(chan struct{})}
	vi.snapshot.Store(&Snapshot{})
	return vi
}

// Load returns the newest snapshot.
func (vi *View) Load() *Snapshot { return vi.snapshot.Load() }

// Ready returns a channel that is closed with the first configuration.
func (vi *View) Ready() <-chan struct{} { return vi.ready }

func (vi *View) store(sn *Snapshot) {
	vi.snapshot.Store(sn)
	if sn.Table != nil {
		vi.once.Do(func() { close(vi.ready) })
	}
}
