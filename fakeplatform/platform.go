// Package fakeplatform is a stand-in for the platform's services that can only
// be read: published configuration revisions with watches, and a lagging list of
// live and leaving machines, under a budget of calls.
package fakeplatform

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	mp "github.com/mangopaddle/mangopaddle"
)

// Platform is the stand-in.
type Platform struct {
	clock   clockwork.Clock
	budget  int
	listLag time.Duration

	mu       sync.Mutex
	revision mp.Revision
	values   map[mp.ConfigKey]mp.Value
	deleted  map[mp.ConfigKey]mp.Revision
	frozen   *View
	changed  chan struct{}
	down     bool
	lists    []timedList
	calls    int
	second   time.Time
	inSecond int
}

// View is a state of the published configuration.
type View struct {
	revision mp.Revision
	values   map[mp.ConfigKey]mp.Value
	deleted  map[mp.ConfigKey]mp.Revision
}

// timedList is a list of machines with the time from which readers see it.
type timedList struct {
	list mp.HostList
	from time.Time
}

// Option changes a stand-in under construction.
type Option func(*Platform)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(pl *Platform) { pl.clock = clock }
}

// WithBudget bounds the calls in a second; more are refused with 429.
func WithBudget(calls int) Option {
	return func(pl *Platform) { pl.budget = calls }
}

// WithListLag sets how late the list of machines is.
func WithListLag(lag time.Duration) Option {
	return func(pl *Platform) { pl.listLag = lag }
}

// defaultBudget is the number of calls in a second across all readers.
const defaultBudget = 2000

// New returns a stand-in that has published nothing.
func New(opts ...Option) *Platform {
	pl := &Platform{
		clock:   clockwork.NewRealClock(),
		budget:  defaultBudget,
		values:  map[mp.ConfigKey]mp.Value{},
		deleted: map[mp.ConfigKey]mp.Revision{},
		changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(pl)
	}
	return pl
}

// Publish writes values as one revision; a nil value deletes its key.
func (pl *Platform) Publish(values map[mp.ConfigKey][]byte) mp.Revision {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.revision++
	for key, value := range values {
		if value == nil {
			delete(pl.values, key)
			pl.deleted[key] = pl.revision
			continue
		}
		delete(pl.deleted, key)
		pl.values[key] = mp.Value{Key: key, Revision: pl.revision, Value: value}
	}
	close(pl.changed)
	pl.changed = make(chan struct{})
	return pl.revision
}

// SetHosts replaces the list of machines; readers see it after the lag.
func (pl *Platform) SetHosts(list mp.HostList) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.lists = append(pl.lists, timedList{list: list, from: pl.clock.Now().Add(pl.listLag)})
}

// SetDown makes every call fail, or ends that.
func (pl *Platform) SetDown(down bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.down = down
}

// Save returns what readers see now, for Show.
func (pl *Platform) Save() *View {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return &View{revision: pl.revision, values: maps.Clone(pl.values), deleted: maps.Clone(pl.deleted)}
}

// Show makes readers see a saved state, as a stale replica would; nil ends
// that.
func (pl *Platform) Show(vi *View) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.frozen = vi
	close(pl.changed)
	pl.changed = make(chan struct{})
}

// Calls counts the calls so far; a waiting watch is one.
func (pl *Platform) Calls() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.calls
}

// Handler returns the HTTP interface of the platform.
func (pl *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/changes", pl.serveChanges)
	mux.HandleFunc("GET /v1/keys/{key...}", pl.serveKey)
	mux.HandleFunc("GET /v1/hosts", pl.serveHosts)
	return mux
}

// admit counts a call. It reports whether the call may go on.
func (pl *Platform) admit(rw http.ResponseWriter) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.calls++
	now := pl.clock.Now()
	if now.Sub(pl.second) >= time.Second {
		pl.second, pl.inSecond = now, 0
	}
	pl.inSecond++
	if pl.down {
		http.Error(rw, "the configuration service is down", http.StatusServiceUnavailable)
		return false
	}
	if pl.inSecond > pl.budget {
		http.Error(rw, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

// current returns what readers see. The caller holds the lock.
func (pl *Platform) current() View {
	if pl.frozen != nil {
		return *pl.frozen
	}
	return View{revision: pl.revision, values: pl.values, deleted: pl.deleted}
}

func (pl *Platform) serveChanges(rw http.ResponseWriter, rq *http.Request) {
	if !pl.admit(rw) {
		return
	}
	query := rq.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	deadline := pl.clock.After(wait)
	for {
		found, changed := pl.changesAfter(mp.Revision(after))
		if found.Revision > mp.Revision(after) || wait == 0 {
			answer(rw, found)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(rw, found)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

func (pl *Platform) changesAfter(after mp.Revision) (mp.Changes, <-chan struct{}) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	vi := pl.current()
	found := mp.Changes{Revision: vi.revision, Changes: []mp.Change{}}
	for key, value := range vi.values {
		if value.Revision > after {
			found.Changes = append(found.Changes, mp.Change{Key: key, Revision: value.Revision})
		}
	}
	for key, revision := range vi.deleted {
		if revision > after {
			found.Changes = append(found.Changes, mp.Change{Key: key, Revision: revision, Deleted: true})
		}
	}
	sort.Slice(found.Changes, func(a, b int) bool { return found.Changes[a].Key < found.Changes[b].Key })
	return found, pl.changed
}

func (pl *Platform) serveKey(rw http.ResponseWriter, rq *http.Request) {
	if !pl.admit(rw) {
		return
	}
	pl.mu.Lock()
	value, ok := pl.current().values[mp.ConfigKey(rq.PathValue("key"))]
	pl.mu.Unlock()
	if !ok {
		http.Error(rw, "no such key", http.StatusNotFound)
		return
	}
	answer(rw, value)
}

func (pl *Platform) serveHosts(rw http.ResponseWriter, _ *http.Request) {
	if !pl.admit(rw) {
		return
	}
	pl.mu.Lock()
	now := pl.clock.Now()
	list := mp.HostList{Hosts: []mp.ListedHost{}, Servers: []mp.ListedServer{}}
	for _, tl := range pl.lists {
		if !tl.from.After(now) {
			list = tl.list
		}
	}
	pl.mu.Unlock()
	answer(rw, list)
}

func answer(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value)
}
