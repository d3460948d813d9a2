package soak

import (
	"sync"
	"time"

	"github.com/mangopaddle/mangopaddle/platform/fakestore"
)

// serverEntry is the entry of a backend server in the store.
type serverEntry struct {
	service, address, state string
}

// serverRegistry writes the entries of backend servers to the store, and writes them again
// after the store has lost them.
type serverRegistry struct {
	store *fakestore.Store

	mu      sync.Mutex
	entries map[string]serverEntry // by server ID; those that left have no state
	leftAt  map[string]time.Time   // when servers began to leave, by ID
}

func newServerRegistry(store *fakestore.Store) *serverRegistry {
	return &serverRegistry{store: store, entries: map[string]serverEntry{}, leftAt: map[string]time.Time{}}
}

// put writes an entry. state is "ready", "draining", or empty to remove it.
func (sr *serverRegistry) put(ba *backend, id, state string) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.entries[id] = serverEntry{service: ba.service, address: ba.proxy.Address(), state: state}
	sr.write(id)
	if _, ok := sr.leftAt[id]; !ok && state != "ready" {
		sr.leftAt[id] = time.Now()
	}
}

// write writes an entry to the store. The caller must hold mu.
func (sr *serverRegistry) write(id string) {
	en := sr.entries[id]
	if en.state == "" {
		sr.store.DeleteServer(id)
		return
	}
	sr.store.PutServer(id, en.service, en.address, en.state)
}

// beat writes all entries again, unchanged.
func (sr *serverRegistry) beat() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for id := range sr.entries {
		sr.write(id)
	}
}

// restore replaces the content of the store by a copy and writes all entries again.
func (sr *serverRegistry) restore(state *fakestore.State) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.store.Restore(state)
	for id := range sr.entries {
		sr.write(id)
	}
}

// sinceLeaving returns the time since a server began to leave, zero if it doesn't leave.
func (sr *serverRegistry) sinceLeaving(id string) time.Duration {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	at, ok := sr.leftAt[id]
	if !ok {
		return 0
	}
	return time.Since(at)
}
