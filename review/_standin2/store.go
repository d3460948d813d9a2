package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: range reads and watches.
type store struct {
	mu       sync.Mutex // guards the fields up to changed
	revision int64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	server   *http.Server
	address  string
}

type storeItem struct {
	Key            string `json:"key"`
	Value          string `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	st := &store{revision: 100, items: map[string]storeItem{}, changed: make(chan struct{}), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", st.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", st.serveWatch)
	st.server = &http.Server{Handler: mux}
	go func() { _ = st.server.Serve(listener) }()
	return st, nil
}

func (st *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.write(storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

func (st *store) remove(key string) { st.write(storeItem{Key: key, Deleted: true}) }

func (st *store) write(it storeItem) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old, known := st.items[it.Key]
	if it.Deleted && !known {
		return
	}
	st.revision++
	it.Revision, it.CreateRevision = st.revision, st.revision
	if known {
		it.CreateRevision = old.CreateRevision
	}
	if it.Deleted {
		delete(st.items, it.Key)
	} else {
		st.items[it.Key] = it
	}
	st.history = append(st.history, it)
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) serveRange(rw http.ResponseWriter, rq *http.Request) {
	prefix, after := rq.URL.Query().Get("path_prefix"), rq.URL.Query().Get("after")
	st.mu.Lock()
	entries := []storeItem{}
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, it)
		}
	}
	revision := st.revision
	st.mu.Unlock()
	sort.Slice(entries, func(a, b int) bool { return entries[a].Key < entries[b].Key })
	writeJSON(rw, map[string]any{"entries": entries, "has_more": false, "as_of": revision})
}

func (st *store) serveWatch(rw http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		events := []storeItem{}
		for _, it := range st.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := st.revision, st.changed
		st.mu.Unlock()
		if len(events) > 0 {
			writeJSON(rw, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(rw, map[string]any{"events": events, "as_of": revision})
			return
		case <-rq.Context().Done():
			return
		}
	}
}

func writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(rw).Encode(value)
}
