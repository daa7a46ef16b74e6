package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the metadata store, as PROTOCOL.md describes it.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Mod     uint64 `json:"mod_revision"`
	Created uint64 `json:"create_revision,omitempty"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store: linearizable reads, watches and one
// revision counter.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]storeItem
	history []storeItem
	changed chan struct{}
	server  *http.Server
	addr    string
}

func newStore() (*store, error) {
	s := &store{rev: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", ownIP(201)+":0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	s.addr, s.server = l.Addr().String(), &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s, nil
}

func (s *store) close() { s.server.Close() }

// put writes a value and returns the revision of the change.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := storeItem{Key: key, Value: value, Mod: s.rev, Created: s.rev}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return s.rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(storeItem{Key: key, Mod: s.rev, Deleted: true})
}

// record adds an event and wakes the watches. The lock is held.
func (s *store) record(it storeItem) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answerJSON(w http.ResponseWriter, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, found := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, struct {
		storeItem
		Current uint64 `json:"current_rev"`
	}{it, rev})
}

// pageItems is the number of items of one page.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	truncated := len(items) > pageItems
	if truncated {
		items = items[:pageItems]
	}
	answerJSON(w, struct {
		Items     []storeItem `json:"items"`
		Truncated bool        `json:"truncated"`
		Current   uint64      `json:"current_rev"`
	}{items, truncated, rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, it := range s.history {
			if it.Mod > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		over := len(events) > 0
		if !over {
			select {
			case <-changed:
				continue
			case <-end:
			case <-r.Context().Done():
				return
			}
		}
		answerJSON(w, struct {
			Events  []storeItem `json:"events"`
			Current uint64      `json:"current_rev"`
		}{events, rev})
		return
	}
}
