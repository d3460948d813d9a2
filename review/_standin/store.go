package main

import (
	"encoding/json"
	"net/http"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          *int   `json:"lease,omitempty"` // 0, absent in the event of a deletion
	Deleted        bool   `json:"deleted,omitempty"`
}

// store is the platform's store: linearizable, with its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key. When it returns, the write is acknowledged.
func (st *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	it := item{Key: key, Value: data, Revision: st.revision, CreateRevision: st.revision, Lease: new(int)}
	if known, ok := st.items[key]; ok {
		it.CreateRevision = known.CreateRevision
	}
	st.items[key] = it
	st.add(it)
}

// beat writes the entry of an engine. It changes only when more than the sequence changes.
func (st *store) beat(key string, entry map[string]any) {
	st.mu.Lock()
	known, ok := st.items[key]
	st.mu.Unlock()
	if ok && sameEntry(known.Value, entry) {
		return
	}
	st.put(key, entry)
}

// sameEntry reports whether an entry differs from a stored one in no more than the sequence.
func sameEntry(stored []byte, entry map[string]any) bool {
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	var one, other map[string]any
	if json.Unmarshal(stored, &one) != nil || json.Unmarshal(data, &other) != nil {
		return false
	}
	delete(one, "sequence")
	delete(other, "sequence")
	return reflect.DeepEqual(one, other)
}

func (st *store) remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, ok := st.items[key]; !ok {
		return
	}
	st.revision++
	delete(st.items, key)
	st.add(item{Key: key, Revision: st.revision, Deleted: true})
}

func (st *store) add(it item) {
	st.history = append(st.history, it)
	close(st.changed)
	st.changed = make(chan struct{})
}

// pageItems is the most items of one page.
const pageItems = 500

func (st *store) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Store-Era", "1")
	switch rq.URL.Path {
	case "/v1/kv-key":
		st.mu.Lock()
		it, ok := st.items[query.Get("key")]
		asOf := st.revision
		st.mu.Unlock()
		if !ok {
			rw.WriteHeader(http.StatusNotFound)
		}
		reply(rw, struct {
			item
			AsOf uint64 `json:"as_of"`
		}{it, asOf})
	case "/v1/kv-range":
		st.serveRange(rw, query.Get("path_prefix"), query.Get("after"))
	case "/v1/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		st.serveWatch(rw, rq, query.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (st *store) serveRange(rw http.ResponseWriter, prefix, after string) {
	st.mu.Lock()
	entries := []item{}
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, it)
		}
	}
	asOf := st.revision
	st.mu.Unlock()
	sort.Slice(entries, func(a, b int) bool { return entries[a].Key < entries[b].Key })
	more := len(entries) > pageItems
	if more {
		entries = entries[:pageItems]
	}
	reply(rw, map[string]any{"entries": entries, "has_more": more, "as_of": asOf})
}

func (st *store) serveWatch(rw http.ResponseWriter, rq *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(min(wait, 30*time.Second))
	for {
		st.mu.Lock()
		asOf, changed := st.revision, st.changed
		events := []item{}
		for _, it := range st.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		st.mu.Unlock()
		if after > asOf {
			rw.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(rw, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(rw, map[string]any{"events": events, "as_of": asOf})
			return
		case <-rq.Context().Done():
			return
		}
	}
}

func reply(rw http.ResponseWriter, body any) {
	_ = json.NewEncoder(rw).Encode(body) // the host may have gone
}
